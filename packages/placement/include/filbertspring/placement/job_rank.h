#ifndef FILBERTSPRING_PLACEMENT_JOB_RANK_H
#define FILBERTSPRING_PLACEMENT_JOB_RANK_H

/// \file
/// How waiting jobs are divided between entry instances.

#include "filbertspring/base/id.h"

#include <cstddef>
#include <span>

namespace filbertspring::placement {

/// Returns how many of \p Alive come before \p Self for \p Job by rendezvous
/// hashing: 0 for the instance that should place it. Linear in \p Alive.
std::size_t jobRank(const JobId &Job, const InstanceName &Self,
                    std::span<const InstanceName> Alive);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_JOB_RANK_H
