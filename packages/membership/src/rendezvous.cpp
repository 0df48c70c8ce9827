#include "rendezvous.h"

#include <xxhash.h>

namespace filbertspring::membership {

std::uint64_t rendezvousScore(std::string_view Left, std::string_view Right) {
  const std::uint64_t Seed = XXH64(Left.data(), Left.size(), 0);
  return XXH64(Right.data(), Right.size(), Seed);
}

} // namespace filbertspring::membership
