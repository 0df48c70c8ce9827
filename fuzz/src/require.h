#ifndef FILBERTSPRING_FUZZ_REQUIRE_H
#define FILBERTSPRING_FUZZ_REQUIRE_H

/// \file
/// Helpers shared by the fuzz targets.

#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace filbertspring {

/// Aborts when \p Condition is false, so that libFuzzer reports the input.
inline void require(bool Condition) {
  if (!Condition)
    std::abort();
}

/// Returns the input of a fuzz target as text.
inline std::string_view toText(const std::uint8_t *Data, std::size_t Size) {
  return {reinterpret_cast<const char *>(Data), Size};
}

} // namespace filbertspring

#endif // FILBERTSPRING_FUZZ_REQUIRE_H
