#ifndef FILBERTSPRING_MEMBERSHIP_SRC_RENDEZVOUS_H
#define FILBERTSPRING_MEMBERSHIP_SRC_RENDEZVOUS_H

/// \file
/// The hash by which instances reach the same decisions without communication.

#include <cstdint>
#include <string_view>

namespace filbertspring::membership {

/// Returns the score of the pair (\p Left, \p Right); the highest wins.
std::uint64_t rendezvousScore(std::string_view Left, std::string_view Right);

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_SRC_RENDEZVOUS_H
