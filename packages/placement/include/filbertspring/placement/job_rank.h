#ifndef FILBERTSPRING_PLACEMENT_JOB_RANK_H
#define FILBERTSPRING_PLACEMENT_JOB_RANK_H

/// \file
/// Distribution of waiting jobs among entry instances.

#include "filbertspring/base/id.h"

#include <cstddef>
#include <span>

namespace filbertspring::placement {

/// Returns the rank of \p Self among the instances in \p Alive for \p Job by
/// rendezvous hashing: the number of instances with a higher score. The
/// instance of rank 0 places the job. Linear in \p Alive.
std::size_t jobRank(const JobId &Job, const InstanceName &Self,
                    std::span<const InstanceName> Alive);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_JOB_RANK_H
