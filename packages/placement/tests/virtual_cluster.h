#ifndef FILBERTSPRING_PLACEMENT_TESTS_VIRTUAL_CLUSTER_H
#define FILBERTSPRING_PLACEMENT_TESTS_VIRTUAL_CLUSTER_H

/// \file
/// Discrete-event simulation of schedulers, a table and workers that exchange
/// messages over an unreliable network.

#include "cluster_case.h"
#include "safety_oracle.h"

#include "filbertspring/placement/scheduler.h"
#include "filbertspring/standins/memory_table.h"
#include "filbertspring/standins/worker_model.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

namespace filbertspring::placement::test {

/// Commits and reads that the schedulers sent to the table in one second.
struct TableUsage {
  std::uint64_t Commits_ = 0;
  std::uint64_t RowsWritten_ = 0;
  std::uint64_t Reads_ = 0;
  std::uint64_t RowsRead_ = 0;
};

/// Outcome of a run.
struct ClusterResult {
  /// Violated invariants; empty if the run is correct.
  std::vector<std::string> Violations_;
  std::map<JobId, JobRecord> Jobs_;
  std::size_t RunCount_ = 0;
  std::map<RackName, RackRecord> Racks_;
  /// Table usage by seconds since the start.
  std::map<std::int64_t, TableUsage> Usage_;
};

/// Runs one case. Time is simulated real time since the start; each node and
/// worker has its own clock, with its own rate and offset.
class VirtualCluster {
public:
  explicit VirtualCluster(
      const ClusterCase &Case,
      const SchedulerSettings &Settings = shortLeaseSettings());
  ~VirtualCluster();

  /// Runs the case to its end and returns the violations found by the oracle
  /// and the final rows.
  ClusterResult run();

private:
  struct Node;
  struct Worker;

  // Time.
  void schedule(Duration When, std::function<void()> Action);
  bool chance(double Probability);
  Duration drawDuration(Duration Low, Duration High);
  Duration drawLatency();

  // Set-up.
  void fillTable();
  void makeWorkers();
  void makeNodes();
  void submitJobs(int Count);
  TableUsage &currentUsage();
  void commitDirectly(Transaction Request);

  // Nodes.
  Node &selectNode(std::uint32_t Target);
  void startNode(Node &Instance);
  void deliver(Node &Instance, PlacementEvent Event);
  void handle(Node &Instance, const PlacementEvent &Event);
  void scheduleWakeUp(Node &Instance);
  void dispatch(Node &Instance, PlacementAction Action);
  bool isAssigned(const Node &Instance, const RackName &Rack,
                  std::size_t RackNumber,
                  const std::vector<InstanceName> &LiveNodes);
  void assignRacks();
  void publishWorkerList();

  // Table.
  bool isTableReachable(const Node &Instance) const;
  void commit(Node &Instance, const Transaction &Request);
  void answerCommit(Node &Instance, const TransactionId &Id,
                    CommitResult Answer);
  CommitResult apply(Transaction Request);
  void mutateTransaction(Transaction &Request);
  void mutateScan(std::vector<StoredRow> &Rows) const;
  void read(Node &Instance, const ReadRows &Request);

  // Workers.
  void exchange(Node &Instance, const SendCommands &Request);
  void executeCommands(Node &Instance, const SendCommands &Request,
                       bool SendsAnswer);
  void recordAnswer(Node &Instance, const Worker &Target,
                    const SendCommands &Request, const WorkerAnswer &Answer);
  void mutateCommands(Worker &Target, WorkerCommands &Commands);
  void reportAcknowledgements(Worker &Target, const WorkerCommands &Commands);
  void restartWorker(Worker &Target);

  // Faults.
  void injectFault(const Fault &Injected);
  void setZoneState(std::uint32_t Target, ZoneState State);
  void cancelJobs(std::uint32_t Target);
  void changeQuota(std::uint32_t Target);
  void endFaults();
  void beginCalm();
  void checkWaits();

  // End.
  bool allEnded();
  void checkFinalState();
  std::vector<AttemptRun> attemptRuns();

  ClusterCase Case_;
  SchedulerSettings Settings_;
  pcg32 Random_;
  Duration Now_{};
  std::uint64_t Sequence_ = 0;
  std::map<std::pair<Duration, std::uint64_t>, std::function<void()>> Queue_;
  MemoryTable Table_;
  SafetyOracle Oracle_;
  std::vector<std::unique_ptr<Node>> Nodes_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  Duration TableDownUntil_{};
  bool FaultFree_ = false;
  bool Calm_ = false;
  bool RandomRackAssignment_ = false;
  int JobCount_ = 0;
  std::map<std::int64_t, TableUsage> Usage_;
  int HarnessWrites_ = 0;
};

} // namespace filbertspring::placement::test

#endif // FILBERTSPRING_PLACEMENT_TESTS_VIRTUAL_CLUSTER_H
