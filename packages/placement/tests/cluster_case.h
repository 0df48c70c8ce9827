#ifndef FILBERTSPRING_PLACEMENT_TESTS_CLUSTER_CASE_H
#define FILBERTSPRING_PLACEMENT_TESTS_CLUSTER_CASE_H

/// \file
/// Size, workload and fault schedule of one run of a virtual cluster.

#include "filbertspring/base/time.h"
#include "filbertspring/placement/scheduler_settings.h"

#include <cstdint>
#include <vector>

namespace filbertspring::placement::test {

/// A fault or an operator action.
enum class FaultKind {
  PauseNode,
  CrashNode,
  PartitionNodeFromTable,
  PartitionNodeFromWorkers,
  TableDown,
  DropWorkerMessages,
  RefuseWorkerConnections,
  RestartWorker,
  SetZoneOutOfService,
  SetZoneInService,
  CancelJobs,
  SubmitJobs,
  ChangeQuota,
  ReassignRacks
};

inline constexpr int FaultKindCount = 14;

/// A fault at time At_ since the start of the run. Target_ selects the node,
/// worker, zone or jobs that it affects.
struct Fault {
  FaultKind Kind_ = FaultKind::PauseNode;
  Duration At_{};
  std::uint32_t Target_ = 0;
  Duration Length_{};
};

/// A safety mechanism that the test harness disables. The oracle must then
/// report a violation.
enum class Mutation {
  None,
  /// Commits with an unknown outcome are treated as committed.
  AssumeUnknownCommitted,
  /// Recovery does not wait until the leases of unreachable workers expire.
  SkipLeaseWait,
  /// Waiting times do not account for clock drift.
  IgnoreClockDrift,
  /// One instance, cut off from the table, renews leases for longer than the
  /// other instances wait before a takeover.
  RenewBeyondGrace,
  /// Claims are committed without a guard on the row of the zone.
  NoZoneGuard,
  /// Workers accept start commands that arrive too late.
  NoStartBound,
  /// Workers accept commands of previous owners.
  NoEpochCheck,
  /// Rack rows are written without a version check.
  UnconditionalRackWrites,
  /// Quota ledger rows are written without a version check.
  UnconditionalLedgerWrites,
  /// The end of an attempt is acknowledged before it is committed.
  AcknowledgeBeforeCommit,
  /// Schedulers do not see some of the jobs.
  LeaveOutJobs
};

/// Parameters of one run. Equal cases with equal settings give equal runs.
struct ClusterCase {
  std::uint64_t Seed_ = 0;
  std::vector<Fault> Faults_;
  Mutation Mutation_ = Mutation::None;
  /// Probability that a message is lost, duplicated or delayed. A commit
  /// fails or has an unknown outcome with four times this probability.
  double MessageFaultRate_ = 0.0;
  int Zones_ = 2;
  int RacksPerZone_ = 2;
  int WorkersPerRack_ = 2;
  int Nodes_ = 3;
  int Jobs_ = 20;
  int TasksPerJob_ = 2;
  /// Run time of each task; if zero, sizes, run times and payloads are random.
  Duration RunTime_{};
  /// If true, the crash of a node moves only the racks of that node. If false,
  /// it moves most racks.
  bool StableRackAssignment_ = false;
  Duration FaultsEnd_ = std::chrono::seconds(60);
  /// From this time after FaultsEnd_ on no fault has an effect any more; more
  /// jobs are submitted then, and the rule on waiting holds.
  Duration CalmAfter_ = std::chrono::seconds(30);
  int CalmJobs_ = 0;
  /// All jobs must end within this time after FaultsEnd_.
  Duration SettleTime_ = std::chrono::seconds(240);
};

/// Returns settings with short leases, so that one run spans many lease
/// periods.
inline SchedulerSettings shortLeaseSettings() {
  SchedulerSettings Settings;
  Settings.Leases_.Lease_ = std::chrono::seconds(6);
  Settings.Leases_.CutOffGrace_ = std::chrono::seconds(8);
  Settings.Leases_.DriftPpm_ = 50'000;
  Settings.Timing_.WorkerPollInterval_ = std::chrono::seconds(1);
  Settings.Timing_.ExchangeTimeout_ = std::chrono::seconds(2);
  Settings.Timing_.TableTimeout_ = std::chrono::seconds(3);
  Settings.Timing_.JobScanInterval_ = std::chrono::seconds(1);
  Settings.Timing_.OwnershipReadInterval_ = std::chrono::seconds(2);
  Settings.Quota_.IdleGrantTimeout_ = std::chrono::seconds(3);
  Settings.Quota_.MinGrantDivisor_ = 8;
  Settings.Drain_.RampDuration_ = std::chrono::seconds(5);
  return Settings;
}

} // namespace filbertspring::placement::test

#endif // FILBERTSPRING_PLACEMENT_TESTS_CLUSTER_CASE_H
