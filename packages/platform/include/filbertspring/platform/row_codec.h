#ifndef FILBERTSPRING_PLATFORM_ROW_CODEC_H
#define FILBERTSPRING_PLATFORM_ROW_CODEC_H

/// \file
/// Encodes row keys as text and row values as JSON.
///
/// Text fields must be UTF-8, except the stored answer of a request key. It may
/// contain any bytes; each byte is stored as the code point with its value.

#include "filbertspring/base/result.h"
#include "filbertspring/domain/store.h"

#include <string>
#include <string_view>

namespace filbertspring {

/// Returns the kind of row that \p Value belongs to.
RowKind kindOf(const RowValue &Value);

/// Returns the text form of \p Key, such as "rack/r1".
std::string encodeRowKey(const RowKey &Key);

/// Parses the text form of a key. Errors: InvalidInput for an unknown prefix
/// or a missing slash.
Result<RowKey> decodeRowKey(std::string_view Text);

/// Returns \p Value as a JSON document. Errors: InvalidInput for text that is
/// not UTF-8 and for numbers that are not finite.
Result<std::string> encodeRowValue(const RowValue &Value);

/// Parses the JSON document of a row of \p Kind. Unknown fields are
/// ignored. Errors: InvalidJson for bad syntax, a missing field, a wrong type,
/// a number out of range or an unknown enumeration name.
Result<RowValue> decodeRowValue(RowKind Kind, std::string_view Text);

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_ROW_CODEC_H
