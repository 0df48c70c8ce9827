#ifndef FILBERTSPRING_PLACEMENT_LEASE_RULES_H
#define FILBERTSPRING_PLACEMENT_LEASE_RULES_H

/// \file
/// Arithmetic of leases between two clocks.

#include "filbertspring/base/time.h"
#include "filbertspring/domain/worker_protocol.h"
#include "filbertspring/placement/scheduler_settings.h"

namespace filbertspring::placement {

/// A reading of a worker's clock, and when it arrived on the own clock. The
/// worker read it at or before ReceivedAt_.
struct ClockReading {
  WorkerTime Clock_ = 0;
  TimePoint ReceivedAt_{};
};

/// Returns the longest time that \p Span of another clock takes on this one.
Duration maxLocalDuration(Duration Span, const LeaseSettings &Settings);

/// Returns the worker's clock at which a lease based on \p Reading ends.
WorkerTime leaseEnd(const ClockReading &Reading, const LeaseSettings &Settings);

/// Returns the worker's clock after which a start that was claimed after
/// \p Reading is refused.
WorkerTime startDeadline(const ClockReading &Reading,
                         const LeaseSettings &Settings);

/// Returns when, on the own clock, a lease based on \p Reading has surely ended
/// on the worker.
TimePoint latestLeaseExpiry(const ClockReading &Reading,
                            const LeaseSettings &Settings);

/// Returns when every lease that an earlier owner may still extend has surely
/// ended, for a takeover that is known since \p SeenAt.
TimePoint latestPriorOwnerLeaseExpiry(TimePoint SeenAt,
                                      const LeaseSettings &Settings);

/// Returns true when the worker's clock has surely passed \p Limit.
bool hasPassedOnWorker(const ClockReading &Reading, TimePoint Now,
                       WorkerTime Limit, const LeaseSettings &Settings);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_LEASE_RULES_H
