#ifndef FILBERTSPRING_PLACEMENT_TESTS_SAFETY_ORACLE_H
#define FILBERTSPRING_PLACEMENT_TESTS_SAFETY_ORACLE_H

/// \file
/// Checks what must hold, from committed rows and from what workers really ran.

#include "filbertspring/domain/store.h"
#include "filbertspring/domain/worker_protocol.h"

#include <map>
#include <string>
#include <vector>

namespace filbertspring::placement::test {

/// One attempt's run in real time.
struct RealRun {
  AttemptRef Attempt_;
  WorkerName Worker_;
  ZoneName Zone_;
  Duration From_{};
  Duration Until_{};
};

/// Collects objections.
class SafetyOracle {
public:
  explicit SafetyOracle(Duration StartBound) : StartBound_(StartBound) {}

  /// A row was committed at \p Now.
  void rowWritten(const StoredRow &Row, Duration Now);
  /// All rows of a transaction were seen.
  void transactionEnded();
  /// A worker obeyed a start for the first time.
  void started(const StartCommand &Start);
  /// A worker was told to forget the end of an attempt.
  void acknowledged(const AttemptReport &Report);
  /// The owner of a rack under \p Epoch heard \p Report of an attempt.
  void heard(const RackName &Rack, std::int64_t Epoch,
             const AttemptReport &Report);
  /// Checks all runs at the end.
  void checkRuns(std::vector<RealRun> Runs,
                 const std::map<WorkerName, Resources> &Capacities);

  void object(std::string Text);
  const std::vector<std::string> &objections() const { return Objections_; }
  const std::map<JobId, JobRecord> &jobs() const { return Jobs_; }
  const std::map<RackName, RackRecord> &racks() const { return Racks_; }

private:
  void checkRack(const RackRecord &Rack);
  void checkJob(const JobRecord &Job, Duration Now);
  void checkTask(const JobRecord &Job, std::int32_t Index, const Task &Before,
                 const Task &After, Duration Now);
  void checkResume(const AttemptRef &Attempt, const Task &After);
  void checkQuota(const ContractName &Contract);
  void checkOverlap(const RealRun &Earlier, const RealRun &Later);
  void checkZone(const RealRun &Run);
  void checkLoad(const WorkerName &Worker, const std::vector<RealRun> &Runs,
                 const Resources &Capacity);

  Duration StartBound_;
  std::map<JobId, JobRecord> Jobs_;
  std::map<RackName, RackRecord> Racks_;
  std::map<ContractName, QuotaLedgerRecord> Ledgers_;
  std::map<ContractName, Resources> Quotas_;
  std::map<ContractName, Resources> GrantedBefore_;
  struct ZoneChange {
    Duration At_{};
    bool InService_ = true;
  };
  std::map<ZoneName, std::vector<ZoneChange>> ZoneChanges_;
  std::map<AttemptRef, Resources> Sizes_;
  std::map<AttemptRef, CheckpointRef> ClaimedFrom_;
  std::map<TaskRef, Duration> EndedAt_;
  /// Checkpoints of stopped attempts, as a rack's owner heard of them.
  struct HeardCheckpoint {
    RackName Rack_;
    std::int64_t Epoch_ = 0;
    CheckpointRef Checkpoint_;
  };
  std::map<AttemptRef, HeardCheckpoint> Heard_;
  std::vector<std::string> Objections_;
};

} // namespace filbertspring::placement::test

#endif // FILBERTSPRING_PLACEMENT_TESTS_SAFETY_ORACLE_H
