#include "filbertspring/node/run_node.h"
#ifdef FILBERTSPRING_HAS_ENTRY
#include "filbertspring/entry/run.h"
#endif

#include <string_view>

int main(int ArgumentCount, char **Arguments) {
#ifdef FILBERTSPRING_HAS_ENTRY
  bool IsNode = ArgumentCount > 1 && std::string_view(Arguments[1]) == "node";
  if (!IsNode)
    return filbertspring::runFilbertspring(ArgumentCount, Arguments);
#endif
  int Skipped = ArgumentCount > 1 ? 1 : 0;
  return filbertspring::node::runNode(ArgumentCount - Skipped,
                                      Arguments + Skipped);
}
