#ifndef FILBERTSPRING_PLATFORM_BYTE_TEXT_H
#define FILBERTSPRING_PLATFORM_BYTE_TEXT_H

/// \file
/// Encodes a string of arbitrary bytes as a JSON field.

#include "json_fields.h"

#include <string>
#include <string_view>

namespace filbertspring {

/// A reference to a string of arbitrary bytes that is encoded as text of the
/// code points 0 to 255.
template <typename Self> struct ByteText { Self &Bytes_; };
template <typename Self> ByteText(Self &) -> ByteText<Self>;

/// Returns \p Bytes as UTF-8 text, one code point for each byte.
std::string bytesToText(std::string_view Bytes);
/// Inverse of bytesToText(). Errors: InvalidJson for code points above 255.
Result<std::string> textToBytes(std::string_view Text);

template <typename Self> Json toField(const ByteText<Self> &Value) {
  return bytesToText(Value.Bytes_);
}

inline bool fromField(const Json &Source, ByteText<std::string> &Value) {
  const auto *Text = Source.get_ptr<const std::string *>();
  if (!Text)
    return false;
  Result<std::string> Bytes = textToBytes(*Text);
  if (Bytes)
    Value.Bytes_ = std::move(*Bytes);
  return Bytes.has_value();
}

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_BYTE_TEXT_H
