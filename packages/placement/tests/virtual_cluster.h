#ifndef FILBERTSPRING_PLACEMENT_TESTS_VIRTUAL_CLUSTER_H
#define FILBERTSPRING_PLACEMENT_TESTS_VIRTUAL_CLUSTER_H

/// \file
/// Schedulers, a table and workers joined by faulty messages in virtual time.

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

/// What the schedulers asked of the table during one second.
struct TableUse {
  std::uint64_t Commits_ = 0;
  std::uint64_t RowsWritten_ = 0;
  std::uint64_t Reads_ = 0;
  std::uint64_t RowsRead_ = 0;
};

/// What is left at the end of a run.
struct ClusterResult {
  /// Broken rules; empty when all is well.
  std::vector<std::string> Objections_;
  std::map<JobId, JobRecord> Jobs_;
  std::size_t Runs_ = 0;
  std::map<RackName, RackRecord> Racks_;
  /// By seconds since the start.
  std::map<std::int64_t, TableUse> Use_;
};

/// Runs one case. Time is real time since the start; each node and worker has
/// a clock with a rate and an offset of its own.
class VirtualCluster {
public:
  explicit VirtualCluster(const ClusterCase &Case,
                          const SchedulerSettings &Settings = shortSettings());
  ~VirtualCluster();

  /// Runs to the end and returns what the oracle says.
  ClusterResult run();

private:
  struct Node;
  struct Worker;

  // Time.
  void at(Duration When, std::function<void()> Action);
  bool chance(double Probability);
  Duration pick(Duration Low, Duration High);
  Duration latency();

  // Set-up.
  void fillTable();
  void makeWorkers();
  void makeNodes();
  void submitJobs(int Count);
  TableUse &useNow();
  void commitHere(Transaction Request);

  // Nodes.
  Node &nodeOf(std::uint32_t Target);
  void startNode(Node &Each);
  void deliver(Node &Each, PlacementEvent Event);
  void handle(Node &Each, const PlacementEvent &Event);
  void armWake(Node &Each);
  void send(Node &Each, PlacementAction Action);
  bool isAssigned(const Node &Each, const RackName &Rack, std::size_t Number,
                  const std::vector<InstanceName> &Alive);
  void assignRacks();
  void listWorkers();

  // Table.
  bool tableReachable(const Node &Each) const;
  void commit(Node &Each, const Transaction &Request);
  void answerCommit(Node &Each, const TransactionId &Id, CommitResult Answer);
  CommitResult apply(Transaction Request);
  void sabotageTransaction(Transaction &Request);
  void read(Node &Each, const ReadRows &Request);

  // Workers.
  void exchange(Node &Each, const SendCommands &Request);
  void obey(Node &Each, const SendCommands &Request, bool Answered);
  void hear(Node &Each, const Worker &Target, const SendCommands &Request,
            const WorkerAnswer &Answer);
  void sabotageCommands(Worker &Target, WorkerCommands &Commands);
  void observe(Worker &Target, const WorkerCommands &Commands);
  void restartWorker(Worker &Target);

  // Faults.
  void inject(const Fault &Each);
  void setZone(std::uint32_t Target, ZoneState State);
  void cancelJobs(std::uint32_t Target);
  void changeQuota(std::uint32_t Target);
  void heal();

  // End.
  bool allEnded();
  void checkEnd();
  std::vector<RealRun> realRuns();

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
  bool Quiet_ = false;
  bool ScrambledRacks_ = false;
  int JobCount_ = 0;
  std::map<std::int64_t, TableUse> Use_;
  int HarnessWrites_ = 0;
};

} // namespace filbertspring::placement::test

#endif // FILBERTSPRING_PLACEMENT_TESTS_VIRTUAL_CLUSTER_H
