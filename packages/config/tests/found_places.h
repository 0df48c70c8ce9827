#ifndef FILBERTSPRING_CONFIG_TESTS_FOUND_PLACES_H
#define FILBERTSPRING_CONFIG_TESTS_FOUND_PLACES_H

/// \file
/// Findings in a form that tests compare.

#include "filbertspring/base/finding.h"

#include <string>
#include <vector>

namespace filbertspring {

/// Returns "PLACE: PROBLEM" of each finding, in order.
inline std::vector<std::string> foundAt(const Findings &Found) {
  std::vector<std::string> Lines;
  for (const Finding &Item : Found.items())
    Lines.push_back(Item.Place_ + ": " + Item.Problem_);
  return Lines;
}

} // namespace filbertspring

#endif // FILBERTSPRING_CONFIG_TESTS_FOUND_PLACES_H
