#ifndef FILBERTSPRING_CONFIG_TESTS_FINDING_LINES_H
#define FILBERTSPRING_CONFIG_TESTS_FINDING_LINES_H

/// \file
/// Findings as lines of text that tests can compare.

#include "filbertspring/base/finding.h"

#include <string>
#include <vector>

namespace filbertspring {

/// Returns "PLACE: PROBLEM" of each finding, in order.
inline std::vector<std::string> findingLines(const Findings &Report) {
  std::vector<std::string> Lines;
  for (const Finding &Item : Report.items())
    Lines.push_back(Item.Place_ + ": " + Item.Problem_);
  return Lines;
}

} // namespace filbertspring

#endif // FILBERTSPRING_CONFIG_TESTS_FINDING_LINES_H
