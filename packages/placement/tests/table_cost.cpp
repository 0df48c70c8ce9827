#include "table_cost.h"

#include "virtual_cluster_parts.h"

#include "filbertspring/placement/job_rank.h"

#include <algorithm>

namespace filbertspring::placement::test {
namespace {

using namespace std::chrono_literals;

void add(TableUsage &Sum, const TableUsage &Addend) {
  Sum.Commits_ += Addend.Commits_;
  Sum.RowsWritten_ += Addend.RowsWritten_;
  Sum.Reads_ += Addend.Reads_;
  Sum.RowsRead_ += Addend.RowsRead_;
}

/// Returns a case whose tasks run for longer than the measurement.
ClusterCase makeLongTaskCase(int Zones, int Racks, int Workers, int Nodes) {
  ClusterCase Case;
  Case.Seed_ = 7;
  Case.Zones_ = Zones;
  Case.RacksPerZone_ = Racks;
  Case.WorkersPerRack_ = Workers;
  Case.Nodes_ = Nodes;
  Case.RunTime_ = 10min;
  Case.StableRackAssignment_ = true;
  return Case;
}

/// Returns the index of the node that schedules the most racks.
std::uint32_t nodeWithMostRacks(const ClusterCase &Case) {
  std::vector<InstanceName> LiveNodes;
  LiveNodes.reserve(Case.Nodes_);
  for (int Node = 0; Node < Case.Nodes_; ++Node)
    LiveNodes.push_back(nodeName(Node));
  std::vector<int> Racks(LiveNodes.size());
  for (int Zone = 0; Zone < Case.Zones_; ++Zone)
    for (int Rack = 0; Rack < Case.RacksPerZone_; ++Rack)
      for (std::size_t Node = 0; Node < LiveNodes.size(); ++Node) {
        JobId Key(rackName(Zone, Rack).str());
        Racks[Node] += jobRank(Key, LiveNodes[Node], LiveNodes) == 0 ? 1 : 0;
      }
  return std::ranges::max_element(Racks) - Racks.begin();
}

} // namespace

StartCost measureStartCost(std::size_t StartsPerCommit) {
  ClusterCase Case = makeLongTaskCase(1, 1, 30, 1);
  Case.Jobs_ = 240;
  Case.TasksPerJob_ = 1;
  Case.FaultsEnd_ = 10s;
  Case.SettleTime_ = 0s;
  SchedulerSettings Settings;
  Settings.Batch_.MaxStartsPerCommit_ = StartsPerCommit;
  ClusterResult Result = VirtualCluster(Case, Settings).run();
  StartCost Cost;
  Cost.Starts_ = Result.RunCount_;
  for (const auto &[Second, Usage] : Result.Usage_)
    add(Cost.Usage_, Usage);
  return Cost;
}

RecoveryCost measureRecoveryCost(int Zones, int RacksPerZone,
                                 int WorkersPerRack, int Nodes) {
  constexpr std::int64_t CrashSecond = 40;
  ClusterCase Case =
      makeLongTaskCase(Zones, RacksPerZone, WorkersPerRack, Nodes);
  Case.TasksPerJob_ = 8;
  Case.Jobs_ = Zones * RacksPerZone * WorkersPerRack * 3 / 4;
  Case.Faults_ = {{FaultKind::CrashNode, std::chrono::seconds(CrashSecond),
                   nodeWithMostRacks(Case), 10min}};
  Case.FaultsEnd_ = 70s;
  Case.SettleTime_ = 0s;
  ClusterResult Result = VirtualCluster(Case, SchedulerSettings{}).run();
  RecoveryCost Cost;
  for (const auto &[Second, Usage] : Result.Usage_) {
    if (Second < CrashSecond)
      continue;
    add(Cost.Usage_, Usage);
    Cost.PeakCommitsPerSecond_ =
        std::max(Cost.PeakCommitsPerSecond_, Usage.Commits_);
  }
  for (const auto &[Name, Rack] : Result.Racks_) {
    if (Rack.Epoch_ < 2)
      continue;
    ++Cost.RacksMoved_;
    for (const RackWorker &Worker : Rack.Workers_)
      Cost.AssignedAttempts_ += Worker.Assignments_.size();
  }
  return Cost;
}

} // namespace filbertspring::placement::test
