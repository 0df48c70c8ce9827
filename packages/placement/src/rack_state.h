#ifndef FILBERTSPRING_PLACEMENT_RACK_STATE_H
#define FILBERTSPRING_PLACEMENT_RACK_STATE_H

/// \file
/// The state that a scheduler keeps for each rack and each worker.

#include "backoff.h"
#include "tracked_attempt.h"

#include "filbertspring/domain/endpoint.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/placement/placement_event.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace filbertspring::placement {

/// A transaction of a rack that was sent.
struct PendingCommit {
  Transaction Transaction_;
  TimePoint SentAt_{};
  RowVersion ExpectedRackVersion_ = AbsentVersion;
  bool Takeover_ = false;
  /// The outcome is unknown; the rows are read to determine it.
  bool OutcomeUnknown_ = false;
  RequestNumber ResolvingRead_ = UnsolicitedRead;
  /// Starts to send once the commit is confirmed, by attempt.
  std::map<AttemptRef, TrackedAttempt> Starts_;
};

/// A rack that this instance owns or should schedule.
struct RackState {
  RackName Name_;
  ZoneName Zone_;
  bool Assigned_ = false;
  /// The row was read, or is known to be absent.
  bool RowKnown_ = false;
  RowVersion Version_ = AbsentVersion;
  RackRecord Row_;
  /// Set when a takeover by this scheduler is committed and no later takeover
  /// is known.
  bool Owned_ = false;
  std::int64_t Epoch_ = 0;
  /// When the latest read or commit that confirmed the ownership was sent.
  TimePoint ConfirmedAt_{};
  TimePoint NextRead_{};
  TimePoint RetryAt_{};
  bool Reading_ = false;
  Backoff Backoff_;
  std::optional<PendingCommit> Pending_;
  std::map<AttemptRef, TrackedAttempt> TrackedAttempts_;
  /// When each contract last claimed capacity in this rack.
  std::map<ContractName, TimePoint> LastClaim_;
  /// The workers on which room is reserved for jobs.
  std::map<JobId, WorkerName> Reservations_;
  /// The generation of the job index at which no job could be placed.
  std::optional<std::uint64_t> BlockedGeneration_;
};

/// The commands of one exchange with a worker.
struct ExchangeInFlight {
  RequestNumber Number_ = 0;
  TimePoint SentAt_{};
  WorkerCommands Commands_;
  /// Attempts whose start is sent for the first time by these commands.
  std::vector<AttemptRef> FirstStarts_;
};

/// The known state of a worker.
struct WorkerState {
  WorkerName Name_;
  RackName Rack_;
  ZoneName Zone_;
  Address Address_;
  Resources Capacity_;
  bool Leaving_ = false;
  std::optional<TimePoint> ListedAt_;
  std::string Boot_;
  std::optional<ClockReading> LatestReading_;
  /// The epoch of the commands that the worker last accepted; it refuses
  /// commands of older epochs.
  std::int64_t AcceptedEpoch_ = 0;
  std::size_t Failures_ = 0;
  Backoff Backoff_;
  std::optional<ExchangeInFlight> InFlight_;
  TimePoint NextExchange_{};
  /// Ended attempts that the table no longer assigns.
  std::set<AttemptRef> EndedUnassigned_;
  /// Running attempts that the table does not assign.
  std::set<AttemptRef> UnassignedRunning_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_RACK_STATE_H
