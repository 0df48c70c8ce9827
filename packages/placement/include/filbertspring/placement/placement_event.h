#ifndef FILBERTSPRING_PLACEMENT_PLACEMENT_EVENT_H
#define FILBERTSPRING_PLACEMENT_PLACEMENT_EVENT_H

/// \file
/// The input events of a scheduler.

#include "filbertspring/base/id.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/domain/worker_protocol.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace filbertspring::placement {

/// Matches the answer to a read or an exchange with the action that sent it.
using RequestNumber = std::uint64_t;

/// The number of rows that the scheduler did not request, such as a job that
/// this instance has just accepted.
inline constexpr RequestNumber UnsolicitedRead = 0;

/// Rows were read. Rows with UnsolicitedRead update the state but do not count
/// as proof that the table can be reached.
struct RowsRead {
  RequestNumber Read_ = UnsolicitedRead;
  std::vector<StoredRow> Rows_;
  /// Requested keys that do not exist.
  std::vector<RowKey> Absent_;
};

/// A read failed.
struct ReadFailed {
  RequestNumber Read_ = UnsolicitedRead;
};

/// A commit ended.
struct CommitDone {
  TransactionId Id_;
  CommitResult Result_;
};

/// A worker answered the commands of an exchange.
struct WorkerAnswered {
  WorkerName Worker_;
  RequestNumber Exchange_ = 0;
  WorkerAnswer Answer_;
};

/// The commands of an exchange were not answered.
struct WorkerUnreachable {
  WorkerName Worker_;
  RequestNumber Exchange_ = 0;
  /// Set when it is certain that no byte of the commands reached the worker.
  bool NeverReceived_ = false;
};

/// The platform's list of instances was read. Only its workers are used.
struct WorkersListed {
  std::vector<ListedInstance> Instances_;
};

/// A rack that an instance should schedule.
struct AssignedRack {
  RackName Rack_;
  ZoneName Zone_;
};

/// The racks that this instance should schedule, and the live entry instances
/// including this one.
struct RacksAssigned {
  std::vector<AssignedRack> Racks_;
  std::vector<InstanceName> LiveInstances_;
};

/// Whether the platform answers. While it does not, the scheduler sends it
/// nothing except a periodic read that probes it.
struct PlatformState {
  bool Reachable_ = true;
};

/// The instance is shutting down: it makes no further claims, and renews leases
/// until other instances have taken over its racks.
struct DrainStarted {};

/// Requests that an attempt is stopped with a checkpoint and its task queued
/// again.
struct EvictRequested {
  AttemptRef Attempt_;
  std::string Reason_;
};

/// Requests a limit on the processor time of an attempt.
struct ThrottleRequested {
  AttemptRef Attempt_;
  double Fraction_ = 1.0;
};

/// The time returned by Scheduler::nextWake() was reached.
struct Tick {};

/// Any input event of a scheduler.
using PlacementEvent =
    std::variant<RowsRead, ReadFailed, CommitDone, WorkerAnswered,
                 WorkerUnreachable, WorkersListed, RacksAssigned, PlatformState,
                 DrainStarted, EvictRequested, ThrottleRequested, Tick>;

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_PLACEMENT_EVENT_H
