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

/// How far an attempt is known to be.
enum class AttemptPhase {
  /// Claimed by this scheduler; no report shows it yet.
  Starting,
  /// Found in the rack's row; what its worker does is not known yet.
  Unconfirmed,
  /// A report showed it running.
  Running,
  /// It is surely over; the table does not say so yet.
  Ended
};

/// How an attempt ended.
enum class AttemptEnd { Finished, Failed, Evicted, Lost };

/// Whether an attempt is to be stopped.
enum class StopMode { None, WithCheckpoint, Immediate };

/// An assigned attempt.
struct TrackedAttempt {
  Assignment Assignment_;
  WorkerName Worker_;
  AttemptPhase State_ = AttemptPhase::Unconfirmed;
  /// The boot that its start was meant for or that showed it running.
  std::string Boot_;
  /// Set while Starting: the command, and the reading that precedes the claim.
  std::optional<StartCommand> Start_;
  ClockReading ClaimReading_;
  /// When any lease that was sent has surely ended; nothing while no start
  /// can have reached the worker.
  std::optional<TimePoint> LatestLeaseExpiry_;
  StopMode Stop_ = StopMode::None;
  std::string StopReason_;
  std::optional<double> Throttle_;
  Duration DeclaredRunTime_{};
  double Progress_ = 0.0;
  CheckpointRef Checkpoint_;
  /// Set when Over.
  AttemptEnd End_ = AttemptEnd::Lost;
  std::string EndReason_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_TRACKED_ATTEMPT_H
