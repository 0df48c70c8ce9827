#ifndef FILBERTSPRING_SCHEDULING_TESTS_SIMULATED_WORKER_H
#define FILBERTSPRING_SCHEDULING_TESTS_SIMULATED_WORKER_H

/// \file
/// A simulated worker in virtual time that implements the control protocol.

#include "filbertspring/scheduling/scheduler.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace filbertspring::scheduling::test {

/// Receives the events of a worker.
struct WorkerObserver {
  virtual ~WorkerObserver() = default;
  virtual void started(const std::string &Worker, const StartTask &Start,
                       std::uint64_t Token, TimePoint Now) = 0;
  virtual void ended(const std::string &Worker, const TaskName &Name,
                     std::uint64_t Run, EndReason Reason, TimePoint Now) = 0;
  /// The end was forgotten; \p HasLeaseExpired: a lease expired since.
  virtual void acknowledged(const std::string &Worker, const TaskName &Name,
                            std::uint64_t Run, EndReason Reason,
                            bool HasLeaseExpired, TimePoint Now) = 0;
  /// A run produced the checkpoint \p Checkpoint.
  virtual void checkpointed(const TaskName & /*Name*/, std::uint64_t /*Run*/,
                            const std::string & /*Checkpoint*/) {}
};

/// The run time of a task and whether it fails.
struct TaskOutcome {
  Duration Work_;
  bool Fails_ = false;
  /// Time between two checkpoints; 0 if the task produces none.
  Duration CheckpointInterval_{};
};

/// A worker that restarts with the same id and a new start time after a crash.
class SimulatedWorker {
public:
  SimulatedWorker(
      WorkerEntry Entry, double ClockRate, WorkerObserver &Observer,
      std::function<TaskOutcome(const TaskName &, std::uint64_t)> DrawOutcome);

  const WorkerEntry &entry() const { return Entry_; }
  /// Ends tasks whose run time has passed, and all tasks if the lease has
  /// expired.
  void advance(TimePoint Now);
  CallOutcome start(const StartTask &Start, std::uint64_t Token,
                    std::int64_t BornMs, TimePoint Now);
  CallOutcome stop(const StopTask &Stop, std::uint64_t Token,
                   std::int64_t BornMs, TimePoint Now);
  CallOutcome pace(std::uint64_t Token, TimePoint Now);
  CallOutcome renew(const RenewLease &Renewal, std::uint64_t Token,
                    std::int64_t BornMs, TimePoint Now, WorkerReport &Report);
  void crash(TimePoint Now);
  void setCapacity(const Resources &Capacity) { Entry_.Capacity_ = Capacity; }
  /// Returns the next registration.
  WorkerEntry registerAgain() {
    ++Entry_.Sequence_;
    return Entry_;
  }
  bool holds(const std::string &Text) const { return Runs_.contains(Text); }
  bool hasEnds() const { return !Ends_.empty(); }
  std::int64_t clockMs(TimePoint Now) const;

private:
  struct ActiveRun {
    TaskName Name_;
    std::uint64_t Run_ = 0;
    TimePoint EndsAt_;
    bool Fails_ = false;
    std::string Checkpoint_;
    Duration CheckpointInterval_{};
    TimePoint NextCheckpointAt_{};
  };
  struct UnacknowledgedEnd {
    EndedTask Task_;
    bool HasLeaseExpired_ = false;
  };
  void end(const std::string &Text, EndReason Reason, TimePoint Now);
  void saveCheckpoint(ActiveRun &Saved);

  WorkerEntry Entry_;
  double ClockRate_;
  WorkerObserver &Observer_;
  std::function<TaskOutcome(const TaskName &, std::uint64_t)> DrawOutcome_;
  TimePoint StartedAt_{};
  std::uint64_t Token_ = 0;
  std::int64_t DeadlineMs_ = 0;
  std::uint64_t NextEnd_ = 1;
  std::uint64_t NextCheckpoint_ = 1;
  std::map<std::string, ActiveRun> Runs_;
  std::map<std::string, std::uint64_t> HighestEndedRuns_;
  std::deque<UnacknowledgedEnd> Ends_;
};

} // namespace filbertspring::scheduling::test

#endif // FILBERTSPRING_SCHEDULING_TESTS_SIMULATED_WORKER_H
