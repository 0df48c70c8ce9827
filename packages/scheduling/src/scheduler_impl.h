#ifndef FILBERTSPRING_SCHEDULING_SCHEDULER_IMPL_H
#define FILBERTSPRING_SCHEDULING_SCHEDULER_IMPL_H

/// \file
/// State and steps of the scheduler. Reports are in scheduler_reports.cpp,
/// answers to orders in scheduler_orders.cpp, placement in
/// scheduler_placement.cpp, storage in scheduler_writes.cpp.

#include "worker_state.h"

#include <map>
#include <set>
#include <span>
#include <unordered_map>

namespace filbertspring::scheduling {

/// A job and what the scheduler keeps beside it.
struct OwnedJob {
  Job Job_;
  /// When it became final.
  std::optional<TimePoint> FinalAt_;

  OwnedJob(AcceptedJob Accepted, TimePoint Now)
      : Job_(std::move(Accepted), Now) {}
};

/// A run that is not ordered yet.
struct PlannedRun {
  std::string Worker_;
  TaskName Name_;
  std::uint64_t Number_ = 0;
};

/// A task that looks for a worker.
struct PlacementRequest {
  const StepSpec &Step_;
  const std::string &Service_;
  TaskName Name_;
  /// Name_ as text; a worker that has the task is not used. Empty for any task
  /// of the step.
  std::string Text_;
  /// What is counted against a worker's capacity.
  Resources Needed_;
};

/// Requests for which one pass over the workers found no room. Room only
/// shrinks during a pass, so what asks for as much finds none either.
class RoomlessRequests {
public:
  void clear() { Known_.clear(); }
  void add(const PlacementRequest &Request);
  bool covers(const PlacementRequest &Request) const;

private:
  struct Entry {
    std::string Service_;
    std::string RequiredLabel_;
    /// The image of a filler; empty for what counts against capacity.
    std::string FillerImage_;
    Resources Asked_;
  };
  std::vector<Entry> Known_;
};

struct Scheduler::Impl {
  Impl(SchedulerSettings Settings, TimePoint Now);

  // Jobs.
  OwnedJob *findJob(const std::string &Id);
  void jobChanged(OwnedJob &Owned, TimePoint Now);
  void stopAllRuns(const Job &Stopped, TimePoint Now);
  std::uint32_t attemptsOf(const Job &Owned) const;

  // Workers.
  WorkerState *findWorker(const std::string &Id);
  void beginLife(WorkerState &Worker, const WorkerEntry &Entry);
  void loseRuns(WorkerState &Worker, TimePoint Now, const char *Cause);
  void expireWorkers(TimePoint Now, TimePoint ConfirmedAt);
  void renewLeases(TimePoint Now, bool MaySendCommands);
  void renew(WorkerState &Worker, TimePoint Now, bool MayGrant);
  void orderStops(TimePoint Now);
  void pace(WorkerState &Worker, TimePoint Now);
  void moveSlowFillers(WorkerState &Worker, TimePoint Now);
  /// Whether another worker could run \p Filler at full speed.
  bool hasBetterWorker(const WorkerState &Present, const Run &Filler,
                       TimePoint Now);

  // Reports.
  void noteEnd(WorkerState &Worker, const EndedTask &Ended, TimePoint Now);
  void noteDone(WorkerState &Worker, OwnedJob &Owned, const EndedTask &Ended,
                TimePoint Now);
  void noteFailed(WorkerState &Worker, OwnedJob &Owned, const EndedTask &Ended,
                  TimePoint Now);
  void noteInterrupted(WorkerState &Worker, OwnedJob &Owned,
                       const EndedTask &Ended, TimePoint Now);
  void noteRunning(WorkerState &Worker, const RunningTask &Running,
                   TimePoint Now);
  void adopt(WorkerState &Worker, OwnedJob *Owned, const RunningTask &Running,
             TimePoint Now);
  void dropUnlisted(WorkerState &Worker, TimePoint SentAt, TimePoint Now);
  void observeTails(WorkerState &Worker, TimePoint Now);
  /// Puts the task back if \p Run on \p Worker is its present run.
  void requeueRun(WorkerState &Worker, OwnedJob &Owned, const TaskName &Name,
                  std::uint64_t Run, TimePoint Now, Duration Delay);

  // Orders.
  void sendStart(WorkerState &Worker, Run &Ordered, OwnedJob &Owned,
                 TimePoint Now);
  void beginStop(WorkerState &Worker, Run &Stopped, TimePoint Now);
  Run makeRun(const Job &Owner, const TaskName &Name,
              std::uint64_t Number) const;

  // Placement.
  void openDueSteps(TimePoint Now);
  void placeWaiting(TimePoint Now);
  void placeJob(OwnedJob &Owned, const Queue *Policy, TimePoint Now);
  void placeStep(OwnedJob &Owned, const std::string &Service,
                 std::span<const std::uint32_t> Slots, TimePoint Now);
  bool mayUse(const WorkerState &Worker, const PlacementRequest &Request,
              TimePoint Now) const;
  std::optional<double> costOf(WorkerState &Worker, const StepSpec &Step) const;
  double headroom(WorkerState &Worker, const std::string &Image) const;
  double flexibility(WorkerState &Worker) const;
  void plan(WorkerState &Worker, OwnedJob &Owned, const TaskName &Name,
            Task &Waiting);
  void orderPlanned(TimePoint Now);

  void note(LogEvent Event,
            std::vector<std::pair<std::string, std::string>> Fields);

  SchedulerSettings Settings_;
  TimePoint TenureStart_;
  std::int64_t WallMs_ = 0;
  std::shared_ptr<const QueueTable> Queues_;
  std::set<std::string> ClosedZones_;
  std::map<std::string, OwnedJob> Jobs_;
  std::unordered_map<std::string, WorkerState> Workers_;
  /// Jobs with open steps to look for or tasks to place.
  std::set<std::string> Unopened_;
  std::set<std::string> WithWaiting_;
  std::set<std::string> DirtyJobs_;
  std::set<std::string> WorkersToStore_;
  std::set<std::string> WorkersToForget_;
  std::set<std::string> JobsToRemove_;
  /// Ends that are stored once the outstanding transaction is.
  std::map<std::string, std::uint64_t> EndsInFlight_;
  /// Runs whose placement is to be stored.
  std::vector<PlannedRun> Plans_;
  /// Runs whose placement the outstanding transaction stores.
  std::vector<PlannedRun> PlansInFlight_;
  std::uint64_t WriteSequence_ = 0;
  std::vector<Action> Actions_;
  std::vector<LogRecord> Notes_;
  RoomlessRequests Roomless_;
  InterferenceModel Model_;
  bool IsFenced_ = false;
  bool HasNewRoom_ = true;
  /// Ends were noted since the last transaction was taken.
  bool HasNewEnds_ = false;
  TimePoint NextPlacementAt_{};
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_SCHEDULER_IMPL_H
