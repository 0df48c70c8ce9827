#include "virtual_cluster_parts.h"

#include <algorithm>

namespace filbertspring::placement::test {

using namespace std::chrono_literals;

void VirtualCluster::injectFault(const Fault &Injected) {
  Node &Instance = selectNode(Injected.Target_);
  Worker &TargetWorker = *Workers_[Injected.Target_ % Workers_.size()];
  Duration Until = std::min(Now_ + Injected.Length_, Case_.FaultsEnd_);
  switch (Injected.Kind_) {
  case FaultKind::PauseNode:
    Instance.PausedUntil_ = std::max(Instance.PausedUntil_, Until);
    Instance.SuspectedUntil_ = Until;
    schedule(Instance.PausedUntil_, [this, &Instance] {
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
    schedule(Until, [this, &Instance] {
      if (!Instance.Scheduler_)
        startNode(Instance);
    });
    break;
  case FaultKind::PartitionNodeFromTable:
    Instance.TablePartitionedUntil_ = Until;
    Instance.SuspectedUntil_ = Until;
    break;
  case FaultKind::PartitionNodeFromWorkers:
    Instance.WorkersPartitionedUntil_ = Until;
    break;
  case FaultKind::TableDown:
    TableDownUntil_ = Until;
    break;
  case FaultKind::DropWorkerMessages:
    TargetWorker.MessagesDroppedUntil_ = Until;
    break;
  case FaultKind::RefuseWorkerConnections:
    TargetWorker.ConnectionsRefusedUntil_ = Until;
    break;
  case FaultKind::RestartWorker:
    restartWorker(TargetWorker);
    break;
  case FaultKind::SetZoneOutOfService:
    setZoneState(Injected.Target_, ZoneState::OutOfService);
    break;
  case FaultKind::SetZoneInService:
    setZoneState(Injected.Target_, ZoneState::InService);
    break;
  case FaultKind::CancelJobs:
    cancelJobs(Injected.Target_);
    break;
  case FaultKind::SubmitJobs:
    submitJobs(5);
    break;
  case FaultKind::ChangeQuota:
    changeQuota(Injected.Target_);
    break;
  case FaultKind::ReassignRacks:
    RandomRackAssignment_ = !RandomRackAssignment_;
    break;
  }
}

void VirtualCluster::setZoneState(std::uint32_t Target, ZoneState State) {
  ZoneName Name = zoneName(static_cast<int>(Target) % Case_.Zones_);
  StoredRow Row = *Table_.read({RowKind::Zone, Name.str()});
  auto Value = std::get<AvailabilityZone>(Row.Value_);
  Value.State_ = State;
  Transaction Rows;
  Rows.Changes_.push_back({Row.Key_, Row.Version_, Value});
  commitDirectly(std::move(Rows));
}

void VirtualCluster::cancelJobs(std::uint32_t Target) {
  for (const StoredRow &Row : Table_.scan(RowKind::Job)) {
    if (Random_(4) != Target % 4)
      continue;
    Job Subject = Job::restore(std::get<JobRecord>(Row.Value_)).value();
    Subject.cancel();
    Transaction Rows;
    Rows.Changes_.push_back({Row.Key_, Row.Version_, Subject.record()});
    commitDirectly(std::move(Rows));
  }
}

void VirtualCluster::changeQuota(std::uint32_t Target) {
  ContractName Name = contractName(static_cast<int>(Target) % ContractCount);
  StoredRow Row = *Table_.read({RowKind::Contract, Name.str()});
  Resources Quota = totalCapacity(Case_);
  bool Lower = Random_(2) == 0;
  if (Lower && !FaultFree_)
    Quota = WorkerCapacity;
  ContractRecord Value =
      makeContract(static_cast<int>(Target) % ContractCount, Quota);
  Transaction Rows;
  Rows.Changes_.push_back({Row.Key_, Row.Version_, Value});
  commitDirectly(std::move(Rows));
}

void VirtualCluster::endFaults() {
  FaultFree_ = true;
  RandomRackAssignment_ = false;
  for (int Zone = 0; Zone < Case_.Zones_; ++Zone)
    setZoneState(Zone, ZoneState::InService);
  for (int Index = 0; Index < ContractCount; ++Index)
    changeQuota(Index);
}

void VirtualCluster::beginCalm() {
  Calm_ = true;
  submitJobs(Case_.CalmJobs_);
  checkWaits();
}

void VirtualCluster::checkWaits() {
  Oracle_.checkWaits(Now_);
  schedule(Now_ + 500ms, [this] { checkWaits(); });
}

bool VirtualCluster::allEnded() {
  return std::ranges::all_of(Oracle_.jobs(), [](const auto &Item) {
    return Job::restore(Item.second).value().ended();
  });
}

void VirtualCluster::checkFinalState() {
  std::map<WorkerName, Resources> Capacities;
  for (const auto &WorkerPtr : Workers_) {
    WorkerPtr->Model_.advance(WorkerPtr->clock(Now_));
    Capacities[WorkerPtr->Name_] = WorkerCapacity;
  }
  Oracle_.checkRuns(attemptRuns(), Capacities);
  for (const auto &[Name, Entry] : Oracle_.jobs())
    for (const Task &CheckedTask : Entry.Tasks_) {
      bool Open = CheckedTask.State_ == TaskState::Waiting ||
                  CheckedTask.State_ == TaskState::Claimed;
      if (Open)
        Oracle_.addViolation(fmt::format(
            "{} has not ended: {} {}", Name.str(),
            nameOf(TaskStateNames, CheckedTask.State_), CheckedTask.Reason_));
      bool TooLarge = !Entry.Size_.fitsIn(WorkerCapacity);
      if (TooLarge != (CheckedTask.State_ == TaskState::Impossible) &&
          CheckedTask.State_ != TaskState::Cancelled && !Open)
        Oracle_.addViolation("wrong decision whether a task can ever run: " +
                             Name.str());
    }
}

std::vector<AttemptRun> VirtualCluster::attemptRuns() {
  std::vector<AttemptRun> Runs;
  for (const auto &WorkerPtr : Workers_)
    for (const RunInterval &Run : WorkerPtr->Model_.runs()) {
      Duration From = WorkerPtr->realTime(Run.Boot_, Run.From_);
      Duration Until =
          Run.Until_ ? WorkerPtr->realTime(Run.Boot_, *Run.Until_) : Now_;
      Runs.push_back(
          {Run.Attempt_, WorkerPtr->Name_, WorkerPtr->Zone_, From, Until});
    }
  return Runs;
}

} // namespace filbertspring::placement::test
