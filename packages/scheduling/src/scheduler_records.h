#ifndef FILBERTSPRING_SCHEDULING_SCHEDULER_RECORDS_H
#define FILBERTSPRING_SCHEDULING_SCHEDULER_RECORDS_H

/// \file
/// What the scheduler notes about jobs, placed runs and outstanding
/// transactions.

#include "job_order.h"
#include "progress_queue.h"
#include "worker_state.h"
#include "workspace_usage.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace filbertspring::scheduling {

/// A job and the scheduler's own data about it.
struct JobRecord {
  Job Job_;
  /// When the job reached a final state.
  std::optional<TimePoint> FinalAt_;
  /// When the job was last cancelled, also in a final state.
  std::optional<TimePoint> CancelledAt_;
  /// The state in the stored snapshot, which callers see.
  JobState StoredState_ = JobState::Queued;
  /// The last row of the journal with changes of the job, 0 if there is none.
  std::uint64_t LastJournalRow_ = 0;
  /// The workspace that the job belongs to, or that of jobs without one. Never
  /// null once the job is added.
  WorkspaceState *Workspace_ = nullptr;
  /// The number of the job among those that the workspace submitted in the same
  /// interval.
  std::uint32_t Arrival_ = 0;

  JobRecord(AcceptedJob Accepted, TimePoint Now)
      : Job_(std::move(Accepted), Now) {}
};

/// A job that waits in the present placement pass.
struct PlacementCandidate {
  JobRank Rank_;
  JobRecord *Record_ = nullptr;
};

/// A placed run whose start command has not been sent.
struct PlannedRun {
  std::string Worker_;
  TaskName Name_;
  std::uint64_t Number_ = 0;
};

/// A time at which a worker's renewal may be due.
struct RenewalTime {
  TimePoint At_;
  std::string Worker_;
  bool operator<(const RenewalTime &Other) const { return Other.At_ < At_; }
};

/// A worker that gets tasks in the present placement pass.
struct UsableWorker {
  WorkerState *Worker_ = nullptr;
  Resources Free_;
};

/// The ends of one incarnation of a worker up to a number.
struct EndsOfWorker {
  std::uint64_t LastNumber_ = 0;
  std::int64_t StartedAtMs_ = 0;
};

/// The remaining room in a transaction.
struct WriteRoom {
  std::size_t Rows_ = 0;
  std::size_t Bytes_ = 0;

  bool fits(std::size_t Rows, std::size_t Bytes) const {
    return Rows <= Rows_ && Bytes <= Bytes_;
  }
  void take(std::size_t Rows, std::size_t Bytes) {
    Rows_ -= std::min(Rows, Rows_);
    Bytes_ -= std::min(Bytes, Bytes_);
  }
};

/// A job whose changes are part of the outstanding transaction.
struct JobInFlight {
  ProgressQueue::Entry Queued_;
  std::vector<std::uint32_t> Slots_;
};

/// The crashes of a worker whose cause is unknown.
struct UnexplainedCrashes {
  std::uint32_t Count_ = 0;
  TimePoint LastAt_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_SCHEDULER_RECORDS_H
