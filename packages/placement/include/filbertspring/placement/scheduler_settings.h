#ifndef FILBERTSPRING_PLACEMENT_SCHEDULER_SETTINGS_H
#define FILBERTSPRING_PLACEMENT_SCHEDULER_SETTINGS_H

/// \file
/// The settings of a scheduler.

#include "filbertspring/base/time.h"

#include <cstddef>
#include <cstdint>

namespace filbertspring::placement {

/// Lease settings. They must be equal on all entry instances, since an instance
/// waits for the leases that another one may still extend.
struct LeaseSettings {
  /// Length of a lease, from the reading of the worker's clock on which it is
  /// based.
  Duration Lease_ = std::chrono::seconds(30);
  /// A worker refuses a start this long after the clock reading that precedes
  /// the claim. This also bounds how long after its zone went out of service a
  /// task can start.
  Duration StartBound_ = std::chrono::seconds(3);
  /// An owner that cannot reach the table goes on renewing leases for this long
  /// after it last read its ownership there.
  Duration CutOffGrace_ = std::chrono::minutes(10);
  /// Upper bound on the difference between the rates of two clocks, in parts
  /// per million.
  std::int64_t DriftPpm_ = 1000;
  /// Added to each wait for the end of a lease measured by another clock.
  Duration Margin_ = std::chrono::milliseconds(200);
};

/// Intervals and timeouts of reads, commits and worker exchanges.
struct TimingSettings {
  /// Time between two exchanges with an idle worker.
  Duration WorkerPollInterval_ = std::chrono::seconds(2);
  /// A claim requires a clock reading of the worker that is at most this old.
  Duration MaxReadingAge_ = std::chrono::seconds(1);
  /// An exchange without an answer is abandoned after this time.
  Duration ExchangeTimeout_ = std::chrono::seconds(5);
  /// After this time a read without an answer counts as failed, and the outcome
  /// of a commit without an answer as unknown.
  Duration TableTimeout_ = std::chrono::seconds(10);
  /// Time between two scans of the job rows.
  Duration JobScanInterval_ = std::chrono::seconds(2);
  /// Time between two scans of the contract and zone rows.
  Duration ConfigurationScanInterval_ = std::chrono::seconds(4);
  /// Time between two reads that confirm the ownership of a rack.
  Duration OwnershipReadInterval_ = std::chrono::seconds(5);
  /// First delay after a conflict or failure. It doubles with each failure up
  /// to MaxBackoff_, and is reduced at random by up to half.
  Duration InitialBackoff_ = std::chrono::milliseconds(20);
  Duration MaxBackoff_ = std::chrono::seconds(2);
  /// Instances are ranked for each job. An instance waits this long for each
  /// rank before its own, for at most MaxFallbackRank_ ranks, before it
  /// considers the job.
  Duration FallbackDelayPerRank_ = std::chrono::seconds(1);
  std::size_t MaxFallbackRank_ = 3;
  /// A task that has waited this long for room gets room reserved.
  Duration ReserveAfter_ = std::chrono::seconds(5);
};

/// Bounds on the work of one decision or transaction.
struct BatchLimits {
  std::size_t MaxStartsPerCommit_ = 32;
  std::size_t MaxEndsPerCommit_ = 64;
  /// Jobs of one contract that a decision skips before it stops looking.
  std::size_t MaxSkipsPerContract_ = 16;
  /// Takeovers of racks in flight at the same time.
  std::size_t MaxConcurrentTakeovers_ = 4;
};

/// How quota moves between the ledger and the racks.
struct QuotaSettings {
  /// The smallest grant from a ledger to a rack is the quota divided by this.
  std::int64_t MinGrantDivisor_ = 32;
  /// A rack returns a grant that it has not used for this long.
  Duration IdleGrantTimeout_ = std::chrono::seconds(10);
};

/// Rate limits for draining zones and workers and for filling zones again.
struct DrainSettings {
  /// Attempts of one rack that write checkpoints at the same time.
  std::size_t MaxConcurrentEvictions_ = 8;
  /// Starts per second in a zone that has just returned to service. The limit
  /// rises linearly and ends after RampDuration_.
  double RampStartsPerSecond_ = 10.0;
  Duration RampDuration_ = std::chrono::seconds(60);
};

/// Conditions for rejecting a job as impossible to run.
struct RejectionSettings {
  /// The worker list must have shown nothing new for this long.
  Duration ListStableTime_ = std::chrono::seconds(5);
  /// A worker list older than this is not used.
  Duration MaxListAge_ = std::chrono::seconds(15);
  /// A worker that left the list is still considered available for this long.
  Duration WorkerRetention_ = std::chrono::minutes(10);
};

/// All settings of a scheduler.
struct SchedulerSettings {
  /// Whether placement and eviction take measured interference into account.
  bool Interference_ = true;
  LeaseSettings Leases_;
  TimingSettings Timing_;
  BatchLimits Batch_;
  QuotaSettings Quota_;
  DrainSettings Drain_;
  RejectionSettings Rejection_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_SCHEDULER_SETTINGS_H
