#include "table_cost.h"

#include "virtual_cluster_parts.h"

#include "filbertspring/placement/job_rank.h"

#include <algorithm>

namespace filbertspring::placement::test {
namespace {

using namespace std::chrono_literals;

void add(TableUse &Sum, const TableUse &Each) {
  Sum.Commits_ += Each.Commits_;
  Sum.RowsWritten_ += Each.RowsWritten_;
  Sum.Reads_ += Each.Reads_;
  Sum.RowsRead_ += Each.RowsRead_;
}

/// A cluster in which nothing ends before the count does.
ClusterCase longTasks(int Zones, int Racks, int Workers, int Nodes) {
  ClusterCase Case;
  Case.Seed_ = 7;
  Case.Zones_ = Zones;
  Case.RacksPerZone_ = Racks;
  Case.WorkersPerRack_ = Workers;
  Case.Nodes_ = Nodes;
  Case.RunTime_ = 10min;
  Case.StableRacks_ = true;
  return Case;
}

/// Returns the number of the node that schedules most racks.
std::uint32_t busiestNode(const ClusterCase &Case) {
  std::vector<InstanceName> Alive;
  Alive.reserve(Case.Nodes_);
  for (int Node = 0; Node < Case.Nodes_; ++Node)
    Alive.push_back(nodeName(Node));
  std::vector<int> Racks(Alive.size());
  for (int Zone = 0; Zone < Case.Zones_; ++Zone)
    for (int Rack = 0; Rack < Case.RacksPerZone_; ++Rack)
      for (std::size_t Node = 0; Node < Alive.size(); ++Node) {
        JobId Key(rackName(Zone, Rack).str());
        Racks[Node] += jobRank(Key, Alive[Node], Alive) == 0 ? 1 : 0;
      }
  return std::ranges::max_element(Racks) - Racks.begin();
}

} // namespace

StartCost costOfStarts(std::size_t StartsPerCommit) {
  ClusterCase Case = longTasks(1, 1, 30, 1);
  Case.Jobs_ = 240;
  Case.TasksPerJob_ = 1;
  Case.FaultsEnd_ = 10s;
  Case.Settle_ = 0s;
  SchedulerSettings Settings;
  Settings.Batch_.MaxStartsPerCommit_ = StartsPerCommit;
  ClusterResult Result = VirtualCluster(Case, Settings).run();
  StartCost Cost;
  Cost.Starts_ = Result.Runs_;
  for (const auto &[Second, Use] : Result.Use_)
    add(Cost.Use_, Use);
  return Cost;
}

RecoveryCost costOfRecovery(int Zones, int RacksPerZone, int WorkersPerRack,
                            int Nodes) {
  constexpr std::int64_t DiesAtSecond = 40;
  ClusterCase Case = longTasks(Zones, RacksPerZone, WorkersPerRack, Nodes);
  Case.TasksPerJob_ = 8;
  Case.Jobs_ = Zones * RacksPerZone * WorkersPerRack * 3 / 4;
  Case.Faults_ = {{FaultKind::CrashNode, std::chrono::seconds(DiesAtSecond),
                   busiestNode(Case), 10min}};
  Case.FaultsEnd_ = 70s;
  Case.Settle_ = 0s;
  ClusterResult Result = VirtualCluster(Case, SchedulerSettings{}).run();
  RecoveryCost Cost;
  for (const auto &[Second, Use] : Result.Use_) {
    if (Second < DiesAtSecond)
      continue;
    add(Cost.Use_, Use);
    Cost.BusiestSecond_ = std::max(Cost.BusiestSecond_, Use.Commits_);
  }
  for (const auto &[Name, Rack] : Result.Racks_) {
    if (Rack.Epoch_ < 2)
      continue;
    ++Cost.RacksMoved_;
    for (const RackWorker &Worker : Rack.Workers_)
      Cost.AttemptsHeld_ += Worker.Assignments_.size();
  }
  return Cost;
}

} // namespace filbertspring::placement::test
