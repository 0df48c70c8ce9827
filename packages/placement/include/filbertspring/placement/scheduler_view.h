#ifndef FILBERTSPRING_PLACEMENT_SCHEDULER_VIEW_H
#define FILBERTSPRING_PLACEMENT_SCHEDULER_VIEW_H

/// \file
/// Snapshots and explanations of the state of a scheduler.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/quantity.h"
#include "filbertspring/domain/job.h"
#include "filbertspring/domain/task.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace filbertspring::placement {

/// Why a waiting task was last skipped.
enum class WaitReason {
  NotConsidered,
  LeftToPeer,
  PlatformUnreachable,
  ContractUnknown,
  NoRack,
  ZoneNotAllowed,
  ZoneOutOfService,
  ZoneReturning,
  QuotaUsed,
  NoRoom,
  WorkersOnTrial,
  NoFreshWorker,
  SlowsService,
  CommitUnderWay,
  Draining
};

inline constexpr EnumTable<WaitReason, 15> WaitReasonNames{
    {{WaitReason::NotConsidered, "not considered yet"},
     {WaitReason::LeftToPeer, "left to another entry instance"},
     {WaitReason::PlatformUnreachable, "platform unreachable"},
     {WaitReason::ContractUnknown, "contract not known here"},
     {WaitReason::NoRack, "this instance schedules no rack"},
     {WaitReason::ZoneNotAllowed, "zone not allowed"},
     {WaitReason::ZoneOutOfService, "zone out of service"},
     {WaitReason::ZoneReturning, "zone is being filled slowly"},
     {WaitReason::QuotaUsed, "quota used up"},
     {WaitReason::NoRoom, "no worker has room"},
     {WaitReason::WorkersOnTrial,
      "the workers with room are quarantined or on trial"},
     {WaitReason::NoFreshWorker, "no fresh report of a worker with room"},
     {WaitReason::SlowsService, "would slow a service beside it"},
     {WaitReason::CommitUnderWay, "commit under way"},
     {WaitReason::Draining, "this instance is draining"}}};

/// The state of one task and the reason for it.
struct TaskExplanation {
  TaskRef Task_;
  TaskState State_ = TaskState::Waiting;
  std::string Explanation_;
};

/// One worker, as known to its scheduler.
struct WorkerSnapshot {
  WorkerName Name_;
  RackName Rack_;
  ZoneName Zone_;
  bool Reachable_ = false;
  bool Leaving_ = false;
  Resources Capacity_;
  Resources Committed_;
  std::size_t Attempts_ = 0;
};

/// One rack, as known to its scheduler.
struct RackSnapshot {
  RackName Name_;
  ZoneName Zone_;
  bool Owned_ = false;
  std::int64_t Epoch_ = 0;
  std::size_t Attempts_ = 0;
};

/// The state of a scheduler, ordered by name.
struct SchedulerSnapshot {
  std::vector<RackSnapshot> Racks_;
  std::vector<WorkerSnapshot> Workers_;
  std::size_t WaitingTasks_ = 0;
  /// Set after DrainStarted when no commit is in flight.
  bool Drained_ = false;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_SCHEDULER_VIEW_H
