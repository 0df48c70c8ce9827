#ifndef FILBERTSPRING_PLACEMENT_TRACKED_ATTEMPT_H
#define FILBERTSPRING_PLACEMENT_TRACKED_ATTEMPT_H

/// \file
/// An attempt that is assigned in a rack of this instance.

#include "filbertspring/base/time.h"
#include "filbertspring/domain/rack.h"
#include "filbertspring/domain/worker_protocol.h"
#include "filbertspring/placement/lease_rules.h"

#include <optional>
#include <string>

namespace filbertspring::placement {

/// What is known of the progress of an attempt.
enum class AttemptPhase {
  /// Claimed by this scheduler; no report contains it yet.
  Starting,
  /// Read from the rack's row; its state on the worker is not known yet.
  Unconfirmed,
  /// Reported as running by its worker.
  Running,
  /// Certainly ended; the table does not record the end yet.
  Ended
};

/// How an attempt ended.
enum class AttemptEnd { Finished, Failed, Evicted, Lost };

/// Whether and how an attempt is to be stopped.
enum class StopMode { None, WithCheckpoint, Immediate };

/// An assigned attempt.
struct TrackedAttempt {
  Assignment Assignment_;
  WorkerName Worker_;
  AttemptPhase State_ = AttemptPhase::Unconfirmed;
  /// The boot of the worker that its start is addressed to or that reported it
  /// as running.
  std::string Boot_;
  /// Set while Starting: the command, and the clock reading that precedes the
  /// claim.
  std::optional<StartCommand> Start_;
  ClockReading ClaimReading_;
  /// The local time by which every lease that was sent has ended; nothing while
  /// no start can have reached the worker.
  std::optional<TimePoint> LatestLeaseExpiry_;
  StopMode Stop_ = StopMode::None;
  std::string StopReason_;
  std::optional<double> Throttle_;
  Duration DeclaredRunTime_{};
  double Progress_ = 0.0;
  /// When a report first showed it running.
  std::optional<TimePoint> RunningSince_;
  CheckpointRef Checkpoint_;
  /// Set when Ended.
  AttemptEnd End_ = AttemptEnd::Lost;
  std::string EndReason_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_TRACKED_ATTEMPT_H
