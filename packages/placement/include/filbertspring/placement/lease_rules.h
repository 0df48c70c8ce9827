#ifndef FILBERTSPRING_PLACEMENT_LEASE_RULES_H
#define FILBERTSPRING_PLACEMENT_LEASE_RULES_H

/// \file
/// Lease arithmetic between the local clock and a worker's clock, whose rates
/// differ by at most LeaseSettings::DriftPpm_.

#include "filbertspring/base/time.h"
#include "filbertspring/domain/worker_protocol.h"
#include "filbertspring/placement/scheduler_settings.h"

namespace filbertspring::placement {

/// A reading of a worker's clock, and the local time at which it arrived. The
/// worker took the reading at or before ReceivedAt_.
struct ClockReading {
  WorkerTime Clock_ = 0;
  TimePoint ReceivedAt_{};
};

/// Returns the longest local duration in which a clock of another machine may
/// advance by \p Span.
Duration maxLocalDuration(Duration Span, const LeaseSettings &Settings);

/// Returns the worker time at which a lease based on \p Reading ends.
WorkerTime leaseEnd(const ClockReading &Reading, const LeaseSettings &Settings);

/// Returns the worker time after which the worker refuses a start whose claim
/// was made after \p Reading.
WorkerTime startDeadline(const ClockReading &Reading,
                         const LeaseSettings &Settings);

/// Returns the local time by which a lease based on \p Reading has ended on the
/// worker, allowing for clock drift and LeaseSettings::Margin_.
TimePoint latestLeaseExpiry(const ClockReading &Reading,
                            const LeaseSettings &Settings);

/// Returns the local time by which every lease that a previous owner may still
/// extend has ended, for a takeover that was observed at \p SeenAt.
TimePoint latestPriorOwnerLeaseExpiry(TimePoint SeenAt,
                                      const LeaseSettings &Settings);

/// Returns true when the worker's clock has passed \p Limit even if it runs as
/// slowly as the drift bound permits.
bool hasPassedOnWorker(const ClockReading &Reading, TimePoint Now,
                       WorkerTime Limit, const LeaseSettings &Settings);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_LEASE_RULES_H
