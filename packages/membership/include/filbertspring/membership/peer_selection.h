#ifndef FILBERTSPRING_MEMBERSHIP_PEER_SELECTION_H
#define FILBERTSPRING_MEMBERSHIP_PEER_SELECTION_H

/// \file
/// The peers to which an instance keeps a stream.

#include "filbertspring/membership/rack_assignment.h"

#include <cstddef>
#include <vector>

namespace filbertspring::membership {

/// Links between each two zones, over all their instances.
inline constexpr std::size_t LinksPerZonePair = 2;

/// Returns the peers of \p Self among \p Live in name order: all of its zone,
/// and those at the other end of its links across zones. The links are divided
/// evenly, and by rendezvous hashing where that leaves a choice. Both ends of a
/// link select each other when they know the same instances. Quadratic in
/// \p Live; call it when that changes.
std::vector<InstancePlace> selectPeers(const InstancePlace &Self,
                                       const std::vector<InstancePlace> &Live);

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_PEER_SELECTION_H
