#ifndef FILBERTSPRING_CONFIG_SRC_SPELLING_H
#define FILBERTSPRING_CONFIG_SRC_SPELLING_H

/// \file
/// Suggestions for misspelt keys.

#include <string>
#include <string_view>
#include <vector>

namespace filbertspring::config_detail {

/// Returns 'did you mean "KEY"?' for the nearest of \p Known when it differs
/// from \p Key by few edits, and otherwise the list of all known keys. For each
/// known key the cost is the product of both lengths.
std::string suggestKeys(std::string_view Key,
                        const std::vector<std::string> &Known);

} // namespace filbertspring::config_detail

#endif // FILBERTSPRING_CONFIG_SRC_SPELLING_H
