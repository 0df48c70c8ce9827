#include "virtual_cluster_parts.h"

#include <algorithm>

namespace filbertspring::placement::test {

using namespace std::chrono_literals;

void VirtualCluster::inject(const Fault &Each) {
  Node &Instance = nodeOf(Each.Target_);
  Worker &Machine = *Workers_[Each.Target_ % Workers_.size()];
  Duration Until = std::min(Now_ + Each.Length_, Case_.FaultsEnd_);
  switch (Each.Kind_) {
  case FaultKind::PauseNode:
    Instance.PausedUntil_ = std::max(Instance.PausedUntil_, Until);
    Instance.SuspectedUntil_ = Until;
    at(Instance.PausedUntil_, [this, &Instance] {
      while (!Instance.Inbox_.empty() && Now_ >= Instance.PausedUntil_) {
        PlacementEvent Event = std::move(Instance.Inbox_.front());
        Instance.Inbox_.pop_front();
        handle(Instance, Event);
      }
    });
    break;
  case FaultKind::CrashNode:
    Instance.Scheduler_.reset();
    ++Instance.Incarnation_;
    Instance.PausedUntil_ = Now_;
    Instance.Inbox_.clear();
    at(Until, [this, &Instance] {
      if (!Instance.Scheduler_)
        startNode(Instance);
    });
    break;
  case FaultKind::CutNodeFromTable:
    Instance.CutUntil_ = Until;
    Instance.SuspectedUntil_ = Until;
    break;
  case FaultKind::CutNodeFromWorkers:
    Instance.WorkersCutUntil_ = Until;
    break;
  case FaultKind::TableDown:
    TableDownUntil_ = Until;
    break;
  case FaultKind::SilenceWorker:
    Machine.SilentUntil_ = Until;
    break;
  case FaultKind::RefuseWorker:
    Machine.RefusingUntil_ = Until;
    break;
  case FaultKind::RestartWorker:
    restartWorker(Machine);
    break;
  case FaultKind::ZoneOut:
    setZone(Each.Target_, ZoneState::OutOfService);
    break;
  case FaultKind::ZoneIn:
    setZone(Each.Target_, ZoneState::InService);
    break;
  case FaultKind::CancelJobs:
    cancelJobs(Each.Target_);
    break;
  case FaultKind::SubmitJobs:
    submitJobs(5);
    break;
  case FaultKind::ChangeQuota:
    changeQuota(Each.Target_);
    break;
  case FaultKind::ReassignRacks:
    ScrambledRacks_ = !ScrambledRacks_;
    break;
  }
}

void VirtualCluster::setZone(std::uint32_t Target, ZoneState State) {
  ZoneName Name = zoneName(static_cast<int>(Target) % Case_.Zones_);
  StoredRow Row = *Table_.read({RowKind::Zone, Name.str()});
  auto Value = std::get<AvailabilityZone>(Row.Value_);
  Value.State_ = State;
  Transaction Rows;
  Rows.Changes_.push_back({Row.Key_, Row.Version_, Value});
  commitHere(std::move(Rows));
}

void VirtualCluster::cancelJobs(std::uint32_t Target) {
  for (const StoredRow &Row : Table_.scan(RowKind::Job)) {
    if (Random_(4) != Target % 4)
      continue;
    Job Subject = Job::restore(std::get<JobRecord>(Row.Value_)).value();
    Subject.cancel();
    Transaction Rows;
    Rows.Changes_.push_back({Row.Key_, Row.Version_, Subject.record()});
    commitHere(std::move(Rows));
  }
}

void VirtualCluster::changeQuota(std::uint32_t Target) {
  ContractName Name = contractName(static_cast<int>(Target) % ContractCount);
  StoredRow Row = *Table_.read({RowKind::Contract, Name.str()});
  Resources Quota = totalCapacity(Case_);
  bool Lower = Random_(2) == 0;
  if (Lower && !Quiet_)
    Quota = WorkerCapacity;
  ContractRecord Value =
      contractOf(static_cast<int>(Target) % ContractCount, Quota);
  Transaction Rows;
  Rows.Changes_.push_back({Row.Key_, Row.Version_, Value});
  commitHere(std::move(Rows));
}

void VirtualCluster::heal() {
  Quiet_ = true;
  ScrambledRacks_ = false;
  for (int Zone = 0; Zone < Case_.Zones_; ++Zone)
    setZone(Zone, ZoneState::InService);
  for (int Index = 0; Index < ContractCount; ++Index)
    changeQuota(Index);
}

bool VirtualCluster::allEnded() {
  return std::ranges::all_of(Oracle_.jobs(), [](const auto &Item) {
    return Job::restore(Item.second).value().ended();
  });
}

void VirtualCluster::checkEnd() {
  std::map<WorkerName, Resources> Capacities;
  for (const auto &Each : Workers_) {
    Each->Model_.advance(Each->clock(Now_));
    Capacities[Each->Name_] = WorkerCapacity;
  }
  Oracle_.checkRuns(realRuns(), Capacities);
  for (const auto &[Name, Entry] : Oracle_.jobs())
    for (const Task &Each : Entry.Tasks_) {
      bool Open = Each.State_ == TaskState::Waiting ||
                  Each.State_ == TaskState::Claimed;
      if (Open)
        Oracle_.object(fmt::format("{} has not ended: {} {}", Name.str(),
                                   nameOf(TaskStateNames, Each.State_),
                                   Each.Reason_));
      bool TooLarge = !Entry.Size_.fitsIn(WorkerCapacity);
      if (TooLarge != (Each.State_ == TaskState::Impossible) &&
          Each.State_ != TaskState::Cancelled && !Open)
        Oracle_.object("wrongly judged as impossible or not: " + Name.str());
    }
}

std::vector<RealRun> VirtualCluster::realRuns() {
  std::vector<RealRun> Runs;
  for (const auto &Each : Workers_)
    for (const RunInterval &Run : Each->Model_.runs()) {
      Duration From = Each->realTime(Run.Boot_, Run.From_);
      Duration Until =
          Run.Until_ ? Each->realTime(Run.Boot_, *Run.Until_) : Now_;
      Runs.push_back({Run.Attempt_, Each->Name_, Each->Zone_, From, Until});
    }
  return Runs;
}

} // namespace filbertspring::placement::test
