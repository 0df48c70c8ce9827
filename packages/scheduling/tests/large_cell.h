#ifndef FILBERTSPRING_SCHEDULING_TESTS_LARGE_CELL_H
#define FILBERTSPRING_SCHEDULING_TESTS_LARGE_CELL_H

/// \file
/// A cell of hundreds of workers under constant load, in virtual time, with
/// transactions that take as long as in production and may fail.

#include "simulated_worker.h"

#include "filbertspring/scheduling/scheduler.h"

#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace filbertspring::scheduling::test {

/// Size and load of a cell.
struct CellSize {
  std::size_t Workers_ = 490;
  /// Each job has one step of TasksOfJob_ tasks.
  double JobsPerSecond_ = 50;
  std::uint32_t TasksOfJob_ = 6;
  /// Bounds of a task's run time.
  Duration ShortestTask_ = std::chrono::milliseconds(500);
  Duration LongestTask_ = std::chrono::milliseconds(12'000);
  /// Long-running jobs, whose tasks fail from time to time.
  std::size_t LongRunningJobs_ = 100;
};

/// What happened to the ends of runs.
struct EndStatistics {
  std::size_t Ended_ = 0;
  std::size_t Acknowledged_ = 0;
  /// Ends that were not acknowledged within the limit.
  std::size_t Late_ = 0;
  Duration Longest_{};
};

/// The scheduler, the workers and the store of a large cell.
class LargeCell : public WorkerObserver {
public:
  explicit LargeCell(const CellSize &Size);
  ~LargeCell() override;
  LargeCell(const LargeCell &) = delete;
  LargeCell &operator=(const LargeCell &) = delete;

  /// How long a transaction takes.
  void setCommitTime(Duration Time) { CommitTime_ = Time; }
  /// Each transaction whose number is a multiple of \p Period fails after
  /// \p Time; no transaction if \p Period is 0.
  void failCommits(std::uint64_t Period, Duration Time);
  /// No transaction succeeds, and the tenure is not confirmed, until
  /// restoreStore().
  void loseStore() { IsStoreLost_ = true; }
  void restoreStore();
  /// Another instance loads the cell \p LoadTime after the end of the previous
  /// tenure.
  void takeOver(Duration LoadTime);
  void submitJobs(std::size_t Count);
  /// Lets \p Time pass.
  void run(Duration Time);
  /// Until this time, the limit for acknowledgements does not apply; later ends
  /// and those of before are counted from then.
  void restartLimit() { LimitStart_ = Now_; }

  /// Returns the ends since the last call. An end is late if it is not
  /// acknowledged \p Limit after it was listed, or after the last
  /// restartLimit().
  EndStatistics takeStatistics(Duration Limit);
  std::size_t openJobs() const;
  std::size_t largestJournalRow() const { return LargestJournalRow_; }

  void started(const std::string &, const StartTask &, std::uint64_t,
               TimePoint) override {}
  void ended(const std::string &Worker, const TaskName &Name, std::uint64_t Run,
             EndReason Reason, TimePoint Now) override;
  void acknowledged(const std::string &Worker, const TaskName &Name,
                    std::uint64_t Run, EndReason Reason, bool HasLeaseExpired,
                    TimePoint Now) override;

private:
  struct WaitingRenewal {
    RenewLease Renewal_;
    TimePoint AnswerAt_;
  };
  struct ObservedEnd {
    TimePoint At_;
    std::optional<TimePoint> AcknowledgedAt_;
  };
  void step();
  void execute(const Action &NextAction);
  void answerRenewals();
  void commit();
  void apply(const PendingWrites &Writes);
  void startTenure();
  void submit(bool IsLongRunning);

  CellSize Size_;
  TimePoint Now_{std::chrono::seconds(1000)};
  std::mt19937_64 Random_{7};
  std::map<std::string, std::unique_ptr<SimulatedWorker>> Workers_;
  std::map<std::string, WaitingRenewal> Renewals_;
  /// Workers on which a run ended since their last report.
  std::map<std::string, bool> HasNewEnd_;
  std::map<std::string, AcceptedJob> Jobs_;
  double JobsDue_ = 0;
  std::size_t NextJob_ = 0;

  std::unique_ptr<Scheduler> Scheduler_;
  std::shared_ptr<const QueueTable> Queues_;
  std::uint64_t Tenure_ = 0;
  TimePoint ConfirmedAt_{};
  std::optional<TimePoint> LoadedAt_;
  /// Answers to start and stop commands, which arrive in the next step.
  std::vector<std::pair<Action, CallOutcome>> Answers_;

  Duration CommitTime_ = std::chrono::milliseconds(30);
  std::uint64_t FailurePeriod_ = 0;
  Duration FailureTime_{};
  bool IsStoreLost_ = false;
  std::uint64_t Commits_ = 0;
  std::optional<PendingWrites> Outstanding_;
  TimePoint CommitEndsAt_{};
  bool CommitFails_ = false;
  std::map<std::string, std::string> Snapshots_;
  std::map<std::uint64_t, std::string> Journal_;
  std::map<std::string, WorkerEntry> StoredWorkers_;
  std::size_t LargestJournalRow_ = 0;

  TimePoint LimitStart_{};
  /// By worker, task and run.
  std::map<std::string, ObservedEnd> Ends_;
};

} // namespace filbertspring::scheduling::test

#endif // FILBERTSPRING_SCHEDULING_TESTS_LARGE_CELL_H
