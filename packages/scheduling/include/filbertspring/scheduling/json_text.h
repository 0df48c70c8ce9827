#ifndef FILBERTSPRING_SCHEDULING_JSON_TEXT_H
#define FILBERTSPRING_SCHEDULING_JSON_TEXT_H

/// \file
/// JSON that is assembled as text, where a document would cost too much.

#include <string>
#include <string_view>

namespace filbertspring::scheduling {

/// Appends \p Value to \p Into as a JSON string. Bytes that are not UTF-8 are
/// replaced.
void appendJsonString(std::string &Into, std::string_view Value);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_JSON_TEXT_H
