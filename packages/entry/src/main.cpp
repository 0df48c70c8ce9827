#include "filbertspring/entry/run.h"

int main(int ArgumentCount, char **Arguments) {
  return filbertspring::runFilbertspring(ArgumentCount, Arguments);
}
