#ifndef FILBERTSPRING_FUZZ_REQUIRE_H
#define FILBERTSPRING_FUZZ_REQUIRE_H

/// \file
/// The check of a fuzz target.

#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace filbertspring {

/// Aborts, so that libFuzzer reports the input, when \p Holds is false.
inline void require(bool Holds) {
  if (!Holds)
    std::abort();
}

/// Returns the input of a fuzz target as text.
inline std::string_view toText(const std::uint8_t *Data, std::size_t Size) {
  return {reinterpret_cast<const char *>(Data), Size};
}

} // namespace filbertspring

#endif // FILBERTSPRING_FUZZ_REQUIRE_H
