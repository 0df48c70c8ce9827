#ifndef FILBERTSPRING_SCHEDULING_TESTS_SLOW_OWNER_H
#define FILBERTSPRING_SCHEDULING_TESTS_SLOW_OWNER_H

/// \file
/// The owner of a large cell whose event loop takes time for all that it does,
/// in virtual time. Events wait in the order of their arrival while it is busy,
/// and the leases of the workers go on.

#include "simulated_worker.h"

#include "filbertspring/scheduling/scheduler.h"
#include "filbertspring/scheduling/start_admission.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace filbertspring::scheduling::test {

/// Processor time that the work of the loop takes, and the part of a processor
/// that it has.
struct LoopCosts {
  double Processors_ = 0.25;
  Duration Answer_ = std::chrono::microseconds(40);
  Duration Command_ = std::chrono::microseconds(30);
  Duration StoredTask_ = std::chrono::microseconds(40);
  Duration Transaction_ = std::chrono::microseconds(300);
  Duration WorkerRow_ = std::chrono::microseconds(10);
  Duration JobRow_ = std::chrono::microseconds(20);
  Duration WaitingJob_ = std::chrono::microseconds(1);
  Duration ThousandWorkers_ = std::chrono::microseconds(50);
};

/// Size and load of the cell.
struct SlowOwnerLoad {
  std::size_t Workers_ = 1100;
  /// Tasks that wait at the beginning, in jobs of TasksOfJob_.
  std::size_t Backlog_ = 20'000;
  std::uint32_t TasksOfJob_ = 5;
  double TasksPerSecond_ = 2000;
  /// The part of them in the urgent queue.
  double Urgent_ = 0.2;
  Duration ShortestTask_ = std::chrono::milliseconds(500);
  Duration LongestTask_ = std::chrono::milliseconds(3000);
  double DrainsPerSecond_ = 5;
  double CancellationsPerSecond_ = 10;
  bool IsLimited_ = true;
};

/// What workers and callers saw.
struct SlowOwnerStatistics {
  std::size_t Starts_ = 0;
  std::size_t UrgentStarts_ = 0;
  std::size_t LeasesExpired_ = 0;
  std::size_t RunsTwice_ = 0;
  /// Starts of other tasks while an urgent job had waited for MaxUrgentWait.
  std::size_t StartsOutOfOrder_ = 0;
  Duration LongestDelay_{};
  /// The longest times from a drain to a start there, from a cancellation to
  /// the end of its last run, from an end to its acknowledgement, and from the
  /// submission of an urgent job to its first start.
  Duration LatestStartAfterDrain_{};
  Duration LongestStop_{};
  Duration LongestEnd_{};
  Duration LongestUrgentWait_{};
};

/// Half of the latency objective of urgent jobs.
inline constexpr Duration MaxUrgentWait = std::chrono::milliseconds(1000);

/// The owner and the workers of the cell.
class SlowOwner : public WorkerObserver {
public:
  SlowOwner(const SlowOwnerLoad &Load, const LoopCosts &Costs);

  /// Lets \p Time pass.
  void run(Duration Time);
  /// Returns what was seen, with the times of what is still outstanding.
  SlowOwnerStatistics statistics() const;

  void started(const std::string &Worker, const StartTask &Start,
               std::uint64_t Token, TimePoint Now) override;
  void ended(const std::string &Worker, const TaskName &Name, std::uint64_t Run,
             EndReason Reason, TimePoint Now) override;
  void acknowledged(const std::string &Worker, const TaskName &Name,
                    std::uint64_t Run, EndReason Reason, bool HasLeaseExpired,
                    TimePoint Now) override;

private:
  /// Work of the loop; returns the processor time that it takes.
  using Work = std::function<Duration()>;
  struct Later {
    TimePoint At_;
    std::uint64_t Number_;
    std::function<void()> Do_;
    bool operator<(const Later &Other) const {
      return std::tie(Other.At_, Other.Number_) < std::tie(At_, Number_);
    }
  };
  struct WaitingRenewal {
    RenewLease Renewal_;
    TimePoint SentAt_;
    TimePoint AnswerAt_;
  };
  struct SubmittedJob {
    bool IsUrgent_ = false;
    TimePoint SubmittedAt_;
    std::optional<TimePoint> CancelledAt_;
    bool HasStarted_ = false;
    std::size_t ActiveRuns_ = 0;
  };

  void step();
  void runLoop();
  void after(Duration Delay, std::function<void()> Do);
  /// Adds \p Item to the work of the loop after \p Delay.
  void arrive(Duration Delay, Work Item);
  void probe();
  void tick();
  void requestCycle();
  Duration cycle();
  Duration commitIfDue();
  void execute(const Action &Decided);
  void renew(const RenewLease &Renewal);
  void answerRenewals();
  template <typename Command>
  void call(const Command &Sent,
            CallOutcome (SimulatedWorker::*Carry)(const Command &,
                                                  std::uint64_t, TimePoint),
            void (Scheduler::*Report)(const std::string &, const TaskName &,
                                      std::uint64_t, CallOutcome, TimePoint));
  void followWorkers();
  void submit(bool IsUrgent);
  void drainOne();
  void cancelOne();

  SlowOwnerLoad Load_;
  LoopCosts Costs_;
  TimePoint Now_{std::chrono::seconds(1000)};
  std::mt19937_64 Random_{11};
  std::map<std::string, std::unique_ptr<SimulatedWorker>> Workers_;
  std::vector<std::string> WorkerIds_;
  std::map<std::string, TimePoint> Drains_;
  std::vector<WorkerEntry> ChangedEntries_;
  std::map<std::string, WaitingRenewal> Renewals_;
  std::map<std::string, bool> HasNewEnd_;

  std::unique_ptr<Scheduler> Scheduler_;
  StartAdmission Admission_;
  std::priority_queue<Later> Later_;
  std::uint64_t NextNumber_ = 0;
  std::deque<Work> Inbox_;
  TimePoint BusyUntil_{};
  TimePoint ProbeDueAt_{};
  Duration LastDelay_{};
  bool IsCycleRequested_ = false;
  bool IsCommitting_ = false;
  TimePoint NextCommitAt_{};
  TimePoint ConfirmedAt_{};

  std::map<std::string, SubmittedJob> Jobs_;
  std::size_t NextJob_ = 0;
  double JobsDue_ = 0;
  double DrainsDue_ = 0;
  double CancellationsDue_ = 0;
  /// The urgent jobs that wait for their first start, by their submission.
  std::set<std::pair<TimePoint, std::string>> WaitingUrgentJobs_;
  /// Active runs by task.
  std::map<std::string, std::size_t> ActiveRuns_;
  std::map<std::string, bool> IsDone_;
  std::map<std::string, TimePoint> UnacknowledgedEnds_;
  SlowOwnerStatistics Seen_;
};

} // namespace filbertspring::scheduling::test

#endif // FILBERTSPRING_SCHEDULING_TESTS_SLOW_OWNER_H
