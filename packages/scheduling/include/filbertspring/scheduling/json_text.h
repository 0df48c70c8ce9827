#ifndef FILBERTSPRING_SCHEDULING_JSON_TEXT_H
#define FILBERTSPRING_SCHEDULING_JSON_TEXT_H

/// \file
/// Writes JSON directly as text, where building a document would be too slow.

#include <string>
#include <string_view>

namespace filbertspring::scheduling {

/// Appends \p Value to \p Into as a JSON string. Invalid UTF-8 is replaced by
/// U+FFFD.
void appendJsonString(std::string &Into, std::string_view Value);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_JSON_TEXT_H
