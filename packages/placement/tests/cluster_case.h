#ifndef FILBERTSPRING_PLACEMENT_TESTS_CLUSTER_CASE_H
#define FILBERTSPRING_PLACEMENT_TESTS_CLUSTER_CASE_H

/// \file
/// What a virtual cluster is made of, and what happens to it.

#include "filbertspring/base/time.h"
#include "filbertspring/placement/scheduler_settings.h"

#include <cstdint>
#include <vector>

namespace filbertspring::placement::test {

/// A fault or an operator's action.
enum class FaultKind {
  PauseNode,
  CrashNode,
  CutNodeFromTable,
  CutNodeFromWorkers,
  TableDown,
  SilenceWorker,
  RefuseWorker,
  RestartWorker,
  ZoneOut,
  ZoneIn,
  CancelJobs,
  SubmitJobs,
  ChangeQuota,
  ReassignRacks
};

inline constexpr int FaultKindCount = 14;

/// One fault, at a time since the start, of a node, worker, zone or job chosen
/// by Target_.
struct Fault {
  FaultKind Kind_ = FaultKind::PauseNode;
  Duration At_{};
  std::uint32_t Target_ = 0;
  Duration Length_{};
};

/// A mechanism that the harness takes out, so that the oracle must object.
enum class Sabotage {
  None,
  /// An unanswered commit is taken for committed.
  TrustUnknownCommits,
  /// Recovery does not wait for leases of unreachable workers.
  RecoverAtOnce,
  /// Waits do not allow for clocks of different rates.
  IgnoreDrift,
  /// One instance renews leases for longer than the others wait.
  RenewBeyondGrace,
  /// Claims do not depend on the zone's row.
  NoZoneGuard,
  /// Workers do not refuse late starts.
  NoStartBound,
  /// Workers do not refuse commands of old owners.
  NoEpochs,
  /// Rack rows are written whatever their version.
  BlindRackWrites,
  /// Ledger rows are written whatever their version.
  BlindLedgerWrites,
  /// Ended attempts are acknowledged before the table knows.
  AcknowledgeAtOnce
};

/// Everything that decides one run.
struct ClusterCase {
  std::uint64_t Seed_ = 0;
  std::vector<Fault> Faults_;
  Sabotage Sabotage_ = Sabotage::None;
  /// Messages lost, repeated, delayed; commits refused or unanswered.
  double Noise_ = 0.0;
  int Zones_ = 2;
  int RacksPerZone_ = 2;
  int WorkersPerRack_ = 2;
  int Nodes_ = 3;
  int Jobs_ = 20;
  int TasksPerJob_ = 2;
  /// Run time of each task; zero draws sizes, run times and payloads.
  Duration RunTime_{};
  /// The death of a node moves its racks only; otherwise it moves most.
  bool StableRacks_ = false;
  Duration FaultsEnd_ = std::chrono::seconds(60);
  /// Everything must have ended this long after the faults did.
  Duration Settle_ = std::chrono::seconds(240);
};

/// Returns settings with short leases, so that a run passes many of them.
inline SchedulerSettings shortSettings() {
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
