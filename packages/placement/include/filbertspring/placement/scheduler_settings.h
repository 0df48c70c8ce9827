#ifndef FILBERTSPRING_PLACEMENT_SCHEDULER_SETTINGS_H
#define FILBERTSPRING_PLACEMENT_SCHEDULER_SETTINGS_H

/// \file
/// The settings of a scheduler.

#include "filbertspring/base/time.h"

#include <cstddef>
#include <cstdint>

namespace filbertspring::placement {

/// Settings that all entry instances must share, since one instance waits for
/// what another may still do.
struct LeaseSettings {
  /// A worker runs an attempt this long after the clock reading on which its
  /// lease is based.
  Duration Lease_ = std::chrono::seconds(30);
  /// A start is refused this long after the clock reading that precedes its
  /// claim, and so no later after its zone went out of service.
  Duration StartBound_ = std::chrono::seconds(3);
  /// An owner renews leases this long after it last saw its ownership in the
  /// table.
  Duration CutOffGrace_ = std::chrono::minutes(10);
  /// The largest difference between the rates of two clocks, in parts per
  /// million.
  std::int64_t DriftPpm_ = 1000;
  /// Added to every wait for a lease of another clock.
  Duration Margin_ = std::chrono::milliseconds(200);
};

/// How often a scheduler reads and talks.
struct TimingSettings {
  /// Between two exchanges with an idle worker.
  Duration WorkerPollInterval_ = std::chrono::seconds(2);
  /// A claim needs a clock reading of its worker that is at most this old.
  Duration MaxReadingAge_ = std::chrono::seconds(1);
  /// An exchange without an answer is given up after this time.
  Duration ExchangeTimeout_ = std::chrono::seconds(5);
  /// A read or commit without an answer counts as failed or unknown.
  Duration TableTimeout_ = std::chrono::seconds(10);
  /// Between two scans of the job rows.
  Duration JobScanInterval_ = std::chrono::seconds(2);
  /// Between two scans of the contract and zone rows.
  Duration ConfigurationScanInterval_ = std::chrono::seconds(4);
  /// Between two reads that confirm the ownership of a rack.
  Duration OwnershipReadInterval_ = std::chrono::seconds(5);
  /// First wait after a conflict or failure; doubled up to MaxBackoff_, and
  /// shortened at random by up to a half.
  Duration InitialBackoff_ = std::chrono::milliseconds(20);
  Duration MaxBackoff_ = std::chrono::seconds(2);
  /// An instance of the next rank leaves a waiting job to those before it for
  /// this long; at most MaxFallbackRank_ steps.
  Duration FallbackDelayPerRank_ = std::chrono::seconds(1);
  std::size_t MaxFallbackRank_ = 3;
};

/// Bounds on what one decision or transaction holds.
struct BatchLimits {
  std::size_t MaxStartsPerCommit_ = 32;
  std::size_t MaxEndsPerCommit_ = 64;
  /// Jobs of one contract that a decision passes over before it gives up.
  std::size_t MaxSkipsPerContract_ = 16;
  /// Takeovers under way at one time.
  std::size_t MaxConcurrentTakeovers_ = 4;
};

/// How quota moves between the ledger and the racks.
struct QuotaSettings {
  /// A rack takes at least this part of a quota at one time.
  std::int64_t MinGrantDivisor_ = 32;
  /// A rack gives back what it has not used for this long.
  Duration IdleGrantTimeout_ = std::chrono::seconds(10);
};

/// How zones and workers are emptied and filled again.
struct DrainSettings {
  /// Attempts of one rack that write checkpoints at one time.
  std::size_t MaxConcurrentEvictions_ = 8;
  /// Starts per second in a zone just after its return, growing linearly to no
  /// limit at the end of RampDuration_.
  double RampStartsPerSecond_ = 10.0;
  Duration RampDuration_ = std::chrono::seconds(60);
};

/// When a job may be named impossible.
struct RejectionSettings {
  /// Worker lists must agree for this long.
  Duration ListStableTime_ = std::chrono::seconds(5);
  /// A list older than this says nothing.
  Duration MaxListAge_ = std::chrono::seconds(15);
  /// A worker that left the list counts as possible for this long.
  Duration WorkerRetention_ = std::chrono::minutes(10);
};

/// All settings of a scheduler.
struct SchedulerSettings {
  /// Whether placement and eviction follow the measured interference.
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
