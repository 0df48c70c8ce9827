#ifndef FILBERTSPRING_SCHEDULING_PLACEMENT_TYPES_H
#define FILBERTSPRING_SCHEDULING_PLACEMENT_TYPES_H

/// \file
/// Requests for places, and what a placement pass notes about them.

#include "doubtful_starts.h"
#include "scheduler_records.h"
#include "worker_state.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace filbertspring::scheduling {

/// What a task that may crash its worker requires of the other runs there. Each
/// value includes the ones before it.
enum class Isolation {
  None,
  /// They have been listed for SettlingTime.
  Settled,
  /// They have been listed for LongSettlingTime.
  LongSettled,
};

/// The requirements for placing a task.
struct PlacementRequest {
  const StepSpec &Step_;
  const std::string &Service_;
  TaskName Name_;
  /// Name_ as text; a worker that has a run of this task is not eligible. Empty
  /// if the request is for any task of the step.
  std::string TaskText_;
  /// The resources that are counted against a worker's capacity.
  Resources Needed_;
  Isolation Isolation_ = Isolation::None;
  /// Suspected tasks that start together crash together. One that has crashed
  /// often is not placed beside another one, since it would be given up soon.
  bool IsNearlyGivenUp_ = false;
  /// An earlier start command for it may still be executed.
  std::optional<StartDoubt> Doubt_ = {};
};

/// The task that has waited longest of some jobs.
struct LongestWait {
  JobRecord *Record_ = nullptr;
  std::uint32_t Slot_ = 0;
  /// The number of the jobs.
  std::int64_t Jobs_ = 0;

  /// \p Slot: the task of \p Record that has waited longest.
  void add(JobRecord &Record, std::uint32_t Slot);
};

/// A worker that can take a task; lower costs are better. The heap functions of
/// the standard library put the best one first.
struct WorkerOffer {
  double Cost_ = 0;
  WorkerState *Worker_ = nullptr;
  bool operator<(const WorkerOffer &Other) const { return Cost_ > Other.Cost_; }
};

/// A task that must not wait any longer.
struct OverdueTask {
  JobRecord *Record_ = nullptr;
  std::uint32_t Slot_ = 0;
  TimePoint WaitsSince_;
};

/// The tasks that must not wait any longer, each in the order of their waits.
struct OverdueTasks {
  std::vector<OverdueTask> LongRunning_;
  /// One for each step of a timed job without a placed task.
  std::vector<OverdueTask> Timed_;
};

/// Which of the overdue tasks are searched for next.
struct OverdueSweep {
  std::size_t Position_ = 0;
  bool ContinuesNext_ = false;
};

/// A worker that is reserved for a step of a job until it has capacity for one
/// of its tasks.
struct CapacityReservation {
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::string Worker_;
  /// When the worker is next compared with others.
  TimePoint ReviewAt_{};
};

/// Returns whether \p Waiting has waited for so long that a worker is reserved
/// for it.
bool hasWaitedForCapacity(const Task &Waiting, TimePoint Now);

/// Requests for which no worker was found in the present placement pass. Free
/// capacity only decreases during a pass, so a request for at least as much can
/// be skipped.
class UnplaceableRequests {
public:
  void clear() { Entries_.clear(); }
  void add(const PlacementRequest &Request);
  bool covers(const PlacementRequest &Request) const;

private:
  struct Entry {
    std::string Service_;
    std::string RequiredLabel_;
    /// The image of a filler; empty for other tasks.
    std::string FillerImage_;
    Resources Requested_;
    Isolation Isolation_ = Isolation::None;
  };
  std::vector<Entry> Entries_;
};

/// How many tasks of a step a rack can take.
struct RackRoom {
  /// The labels of its workers.
  const std::vector<std::string> *Labels_ = nullptr;
  std::size_t Now_ = 0;
  /// Once all runs have ended that will.
  std::size_t Empty_ = 0;
};

/// To which workers the tasks of a step are restricted.
struct RackChoice {
  /// The tasks go on waiting.
  bool Waits_ = false;
  /// The labels of the workers; empty if there is no restriction.
  std::optional<std::vector<std::string>> Labels_;

  bool admits(const WorkerState &Worker) const {
    return !Labels_ || Worker.Entry_.Labels_ == *Labels_;
  }
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_PLACEMENT_TYPES_H
