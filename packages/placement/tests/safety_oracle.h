#ifndef FILBERTSPRING_PLACEMENT_TESTS_SAFETY_ORACLE_H
#define FILBERTSPRING_PLACEMENT_TESTS_SAFETY_ORACLE_H

/// \file
/// Checks the safety invariants of the schedulers against the committed rows
/// and the intervals in which workers ran attempts.

#include "filbertspring/domain/store.h"
#include "filbertspring/domain/worker_protocol.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace filbertspring::placement::test {

/// The interval, in real time, in which a worker ran an attempt.
struct AttemptRun {
  AttemptRef Attempt_;
  WorkerName Worker_;
  ZoneName Zone_;
  Duration From_{};
  Duration Until_{};
};

/// Checks the safety invariants and collects the violations.
class SafetyOracle {
public:
  explicit SafetyOracle(Duration StartBound) : StartBound_(StartBound) {}

  /// Records and checks a row that was committed at \p Now.
  void recordRow(const StoredRow &Row, Duration Now);
  /// Checks the invariants over several rows after all rows of a transaction
  /// have been recorded.
  void checkTransaction();
  /// Records and checks the first execution of a start command by a worker.
  void recordStart(const StartCommand &Start);
  /// Checks an acknowledgement, after which the worker discards the final
  /// report of the attempt.
  void checkAcknowledgement(const AttemptReport &Report);
  /// Records that the owner of \p Rack under \p Epoch received \p Report.
  void recordReport(const RackName &Rack, std::int64_t Epoch,
                    const AttemptReport &Report);
  /// Checks that no task has waited for more than 6.4 s while most of the
  /// capacity and of its contract's quota was free and a worker had room for it
  /// twice over. Workers on which three jobs failed do not count. To be called
  /// often in times without faults.
  void checkWaits(Duration Now);
  /// Checks all runs of attempts at the end of the simulation.
  void checkRuns(std::vector<AttemptRun> Runs,
                 const std::map<WorkerName, Resources> &Capacities);

  void addViolation(std::string Text);
  const std::vector<std::string> &violations() const { return Violations_; }
  const std::map<JobId, JobRecord> &jobs() const { return Jobs_; }
  const std::map<RackName, RackRecord> &racks() const { return Racks_; }

private:
  void checkRack(const RackRecord &Rack);
  void checkJob(const JobRecord &Job, Duration Now);
  void checkTask(const JobRecord &Job, std::int32_t Index, const Task &Before,
                 const Task &After, Duration Now);
  void checkResume(const AttemptRef &Attempt, const Task &After);
  void checkQuota(const ContractName &Contract);
  void checkOverlap(const AttemptRun &Earlier, const AttemptRun &Later);
  void checkZone(const AttemptRun &Run);
  bool couldRun(const JobRecord &Job) const;
  void checkLoad(const WorkerName &Worker, const std::vector<AttemptRun> &Runs,
                 const Resources &Capacity);

  Duration StartBound_;
  std::map<JobId, JobRecord> Jobs_;
  std::map<RackName, RackRecord> Racks_;
  std::map<ContractName, QuotaLedgerRecord> Ledgers_;
  std::map<ContractName, Resources> Quotas_;
  std::map<ContractName, Resources> PreviouslyGranted_;
  struct ZoneChange {
    Duration At_{};
    bool InService_ = true;
  };
  std::map<ZoneName, std::vector<ZoneChange>> ZoneChanges_;
  std::map<AttemptRef, Resources> Sizes_;
  std::map<AttemptRef, CheckpointRef> ClaimCheckpoints_;
  std::map<TaskRef, Duration> EndedAt_;
  std::map<WorkerName, std::set<JobId>> FailedJobs_;
  /// Since when a task could run, by the attempt that is next.
  std::map<AttemptRef, Duration> CouldRunSince_;
  /// A checkpoint of a stopped attempt, as reported to the owner of the rack.
  struct ReportedCheckpoint {
    RackName Rack_;
    std::int64_t Epoch_ = 0;
    CheckpointRef Checkpoint_;
  };
  std::map<AttemptRef, ReportedCheckpoint> ReportedCheckpoints_;
  std::vector<std::string> Violations_;
};

} // namespace filbertspring::placement::test

#endif // FILBERTSPRING_PLACEMENT_TESTS_SAFETY_ORACLE_H
