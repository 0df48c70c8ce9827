#ifndef FILBERTSPRING_MEMBERSHIP_PEER_SELECTION_H
#define FILBERTSPRING_MEMBERSHIP_PEER_SELECTION_H

/// \file
/// Selects the peers with which an instance maintains a stream.

#include "filbertspring/membership/rack_assignment.h"

#include <cstddef>
#include <vector>

namespace filbertspring::membership {

/// Number of links between each pair of zones, over all their instances.
inline constexpr std::size_t LinksPerZonePair = 2;

/// Returns the peers of \p Self among \p Live in name order: all instances of
/// its zone, and those at the other end of its links to other zones. Links are
/// distributed evenly over the instances, with rendezvous hashing between equal
/// candidates. Both ends of a link select each other when they know the same
/// instances. Quadratic in \p Live; should be called only when \p Live changes.
std::vector<InstancePlace> selectPeers(const InstancePlace &Self,
                                       const std::vector<InstancePlace> &Live);

} // namespace filbertspring::membership

#endif // FILBERTSPRING_MEMBERSHIP_PEER_SELECTION_H
