#ifndef FILBERTSPRING_PLACEMENT_PLACEMENT_EVENT_H
#define FILBERTSPRING_PLACEMENT_PLACEMENT_EVENT_H

/// \file
/// What a scheduler is told.

#include "filbertspring/base/id.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/domain/worker_protocol.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace filbertspring::placement {

/// Joins the answer of a read or of an exchange to its action.
using RequestNumber = std::uint64_t;

/// The number of rows that nobody asked for, such as a job just accepted here.
inline constexpr RequestNumber UnsolicitedRead = 0;

/// Rows were read. With UnsolicitedRead they only inform: they prove no
/// contact with the table.
struct RowsRead {
  RequestNumber Read_ = UnsolicitedRead;
  std::vector<StoredRow> Rows_;
  /// Keys that were asked for and do not exist.
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

/// The commands of an exchange got no answer.
struct WorkerUnreachable {
  WorkerName Worker_;
  RequestNumber Exchange_ = 0;
  /// Set when no byte of them can have reached the worker.
  bool NeverReceived_ = false;
};

/// The platform's list was read; only its workers matter.
struct WorkersListed {
  std::vector<ListedInstance> Instances_;
};

/// A rack that an instance should schedule.
struct AssignedRack {
  RackName Rack_;
  ZoneName Zone_;
};

/// Which racks this instance should schedule, and which entry instances are
/// seen alive, itself among them.
struct RacksAssigned {
  std::vector<AssignedRack> Racks_;
  std::vector<InstanceName> LiveInstances_;
};

/// Whether the platform answers. Nothing is sent to it while it does not, but
/// for one read now and then.
struct PlatformState {
  bool Reachable_ = true;
};

/// The instance is going to stop: it claims nothing more, and goes on renewing
/// leases until other instances have taken its racks over.
struct DrainStarted {};

/// Asks for an attempt to be stopped with a checkpoint and to wait again.
struct EvictRequested {
  AttemptRef Attempt_;
  std::string Reason_;
};

/// Asks for an attempt's processor time to be limited.
struct ThrottleRequested {
  AttemptRef Attempt_;
  double Fraction_ = 1.0;
};

/// The time of nextWake() has come.
struct Tick {};

/// Anything that a scheduler is told.
using PlacementEvent =
    std::variant<RowsRead, ReadFailed, CommitDone, WorkerAnswered,
                 WorkerUnreachable, WorkersListed, RacksAssigned, PlatformState,
                 DrainStarted, EvictRequested, ThrottleRequested, Tick>;

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_PLACEMENT_EVENT_H
