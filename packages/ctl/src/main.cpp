/// \file
/// The program filbertctl.

#include "filbertspring/ctl/command_line.h"

#include <fmt/core.h>

int main(int Count, char **Arguments) {
  filbertspring::CommandOutput Output =
      filbertspring::runCommandLine({Arguments + 1, Arguments + Count});
  fmt::print(stdout, "{}", Output.Out_);
  fmt::print(stderr, "{}", Output.Error_);
  return static_cast<int>(Output.Code_);
}
