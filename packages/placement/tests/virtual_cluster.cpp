#include "virtual_cluster.h"

#include "virtual_cluster_parts.h"

#include "filbertspring/base/overloaded.h"
#include "filbertspring/placement/job_rank.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring::placement::test {

using namespace std::chrono_literals;

namespace {

/// Limit on the events of a run. It stops runs in which messages trigger
/// further messages endlessly.
constexpr std::size_t MaxEvents = 400'000;

} // namespace

VirtualCluster::VirtualCluster(const ClusterCase &Case,
                               const SchedulerSettings &Settings)
    : Case_(Case), Settings_(Settings), Random_(Case.Seed_),
      Oracle_(Settings.Leases_.StartBound_) {
  fillTable();
  makeWorkers();
  makeNodes();
  submitJobs(Case_.Jobs_);
}

VirtualCluster::~VirtualCluster() = default;

ClusterResult VirtualCluster::run() {
  assignRacks();
  publishWorkerList();
  for (const Fault &Scheduled : Case_.Faults_)
    schedule(Scheduled.At_, [this, Scheduled] { injectFault(Scheduled); });
  schedule(Case_.FaultsEnd_, [this] { endFaults(); });
  schedule(Case_.FaultsEnd_ + Case_.CalmAfter_, [this] { beginCalm(); });
  Duration End = Case_.FaultsEnd_ + Case_.SettleTime_;
  bool Ended = false;
  std::size_t EventCount = 0;
  while (!Queue_.empty() && Now_ < End && !Ended) {
    if (++EventCount > MaxEvents) {
      Oracle_.addViolation("more events than a correct run needs");
      break;
    }
    auto NextEvent = Queue_.extract(Queue_.begin());
    Now_ = std::max(Now_, NextEvent.key().first);
    NextEvent.mapped()();
    bool MoreJobsCome = !Calm_ && Case_.CalmJobs_ > 0;
    Ended = FaultFree_ && !MoreJobsCome && allEnded();
  }
  checkFinalState();
  return {Oracle_.violations(), Oracle_.jobs(), attemptRuns().size(),
          Oracle_.racks(), Usage_};
}

void VirtualCluster::schedule(Duration When, std::function<void()> Action) {
  Queue_.emplace(std::pair(std::max(When, Now_), ++Sequence_),
                 std::move(Action));
}

bool VirtualCluster::chance(double Probability) {
  return Random_() < Probability * 4294967296.0;
}

Duration VirtualCluster::drawDuration(Duration Low, Duration High) {
  auto Span = static_cast<std::uint32_t>((High - Low).count());
  return Low + Duration(Span == 0 ? 0 : Random_(Span));
}

Duration VirtualCluster::drawLatency() {
  bool Late = !FaultFree_ && chance(Case_.MessageFaultRate_);
  return Late ? drawDuration(10ms, 8s) : drawDuration(200us, 5ms);
}

TableUsage &VirtualCluster::currentUsage() {
  return Usage_[std::chrono::duration_cast<std::chrono::seconds>(Now_).count()];
}

void VirtualCluster::commitDirectly(Transaction Request) {
  Request.Id_ = TransactionId(fmt::format("harness/{}", ++HarnessWrites_));
  apply(std::move(Request));
}

void VirtualCluster::fillTable() {
  Transaction Rows;
  for (int Zone = 0; Zone < Case_.Zones_; ++Zone) {
    AvailabilityZone Value;
    Value.Name_ = zoneName(Zone);
    Rows.Changes_.push_back(
        {{RowKind::Zone, Value.Name_.str()}, AbsentVersion, Value});
  }
  for (int Index = 0; Index < ContractCount; ++Index) {
    ContractRecord Value = makeContract(Index, totalCapacity(Case_));
    Rows.Changes_.push_back(
        {{RowKind::Contract, Value.Terms_.Name_.str()}, AbsentVersion, Value});
  }
  commitDirectly(std::move(Rows));
}

void VirtualCluster::makeWorkers() {
  for (int Zone = 0; Zone < Case_.Zones_; ++Zone)
    for (int Rack = 0; Rack < Case_.RacksPerZone_; ++Rack)
      for (int Index = 0; Index < Case_.WorkersPerRack_; ++Index) {
        RackName Home = rackName(Zone, Rack);
        WorkerName Name(fmt::format("{}-w{}", Home.str(), Index));
        // The model accepts three times the capacity of the worker, so that the
        // oracle and not the model detects an overload.
        Resources ExtraCapacity =
            WorkerCapacity + WorkerCapacity + WorkerCapacity;
        auto NewWorker = std::make_unique<Worker>(
            Worker{Name, zoneName(Zone), Home,
                   WorkerModel({Name, ExtraCapacity, {}})});
        NewWorker->ClockRate_ = clockRate(Random_, Settings_.Leases_);
        NewWorker->BootTimes_[NewWorker->Model_.boot()] = 0us;
        Workers_.push_back(std::move(NewWorker));
      }
}

void VirtualCluster::makeNodes() {
  for (int Index = 0; Index < Case_.Nodes_; ++Index) {
    auto NewNode = std::make_unique<Node>();
    NewNode->Name_ = nodeName(Index);
    NewNode->ClockRate_ = clockRate(Random_, Settings_.Leases_);
    NewNode->ClockOffset_ = drawDuration(0s, 1000s);
    startNode(*NewNode);
    Nodes_.push_back(std::move(NewNode));
  }
}

void VirtualCluster::submitJobs(int Count) {
  for (int Index = 0; Index < Count; ++Index) {
    JobRecord Job = makeJob(++JobCount_, Case_.TasksPerJob_, Random_);
    if (Case_.RunTime_ > 0s)
      makeUniform(Job, Case_.RunTime_);
    Transaction Rows;
    Rows.Changes_.push_back(
        {{RowKind::Job, Job.Id_.str()}, AbsentVersion, std::move(Job)});
    commitDirectly(std::move(Rows));
  }
}

VirtualCluster::Node &VirtualCluster::selectNode(std::uint32_t Target) {
  return *Nodes_[Target % Nodes_.size()];
}

void VirtualCluster::startNode(Node &Instance) {
  SchedulerSettings Settings = Settings_;
  if (Case_.Mutation_ == Mutation::SkipLeaseWait)
    Settings.Leases_.Margin_ = -Settings.Leases_.Lease_;
  if (Case_.Mutation_ == Mutation::IgnoreClockDrift) {
    Settings.Leases_.DriftPpm_ = 0;
    Settings.Leases_.Margin_ = 0s;
  }
  if (Case_.Mutation_ == Mutation::RenewBeyondGrace && Nodes_.empty())
    Settings.Leases_.CutOffGrace_ = 60s;
  ++Instance.Incarnation_;
  std::uint64_t Seed = Case_.Seed_ * 1000 + Random_(1'000'000);
  Instance.Scheduler_ =
      std::make_unique<Scheduler>(Settings, Instance.Name_, Seed);
  Instance.Inbox_.clear();
  Instance.WakeAt_.reset();
  Instance.Exchanges_.clear();
  deliver(Instance, Tick{});
}

void VirtualCluster::deliver(Node &Instance, PlacementEvent Event) {
  if (!Instance.Scheduler_)
    return;
  if (Now_ < Instance.PausedUntil_) {
    Instance.Inbox_.push_back(std::move(Event));
    return;
  }
  handle(Instance, Event);
}

void VirtualCluster::handle(Node &Instance, const PlacementEvent &Event) {
  std::vector<PlacementAction> Actions;
  Instance.Scheduler_->handle(Event, Instance.clock(Now_), Actions);
  for (PlacementAction &Action : Actions) {
    if (const auto *Commands = std::get_if<SendCommands>(&Action))
      Instance.Exchanges_[Commands->Exchange_] = Now_;
    // A pause may begin between a decision and the dispatch of its message.
    std::uint64_t Incarnation = Instance.Incarnation_;
    schedule(Now_ + drawDuration(0us, 1ms),
             [this, &Instance, Incarnation, Action = std::move(Action)] {
               if (Instance.Incarnation_ == Incarnation)
                 dispatch(Instance, Action);
             });
  }
  scheduleWakeUp(Instance);
}

void VirtualCluster::scheduleWakeUp(Node &Instance) {
  std::optional<TimePoint> Next = Instance.Scheduler_->nextWake();
  if (!Next)
    return;
  Duration When = std::max(Instance.realTime(*Next), Now_ + 1us);
  if (Instance.WakeAt_ && *Instance.WakeAt_ <= When)
    return;
  Instance.WakeAt_ = When;
  std::uint64_t Incarnation = Instance.Incarnation_;
  schedule(When, [this, &Instance, When, Incarnation] {
    if (Instance.Incarnation_ != Incarnation || Instance.WakeAt_ != When)
      return;
    Instance.WakeAt_.reset();
    deliver(Instance, Tick{});
  });
}

void VirtualCluster::dispatch(Node &Instance, PlacementAction Action) {
  if (Now_ < Instance.PausedUntil_) {
    std::uint64_t Incarnation = Instance.Incarnation_;
    schedule(Instance.PausedUntil_, [this, &Instance, Incarnation, Action] {
      if (Instance.Incarnation_ == Incarnation)
        dispatch(Instance, Action);
    });
    return;
  }
  std::visit(
      Overloaded{
          [&](const CommitRows &Request) {
            commit(Instance, Request.Transaction_);
          },
          [&](const ReadRows &Request) { read(Instance, Request); },
          [&](const SendCommands &Request) { exchange(Instance, Request); },
          [](const LogRecord &) {}},
      Action);
}

bool VirtualCluster::isAssigned(const Node &Instance, const RackName &Rack,
                                std::size_t RackNumber,
                                const std::vector<InstanceName> &LiveNodes) {
  if (RandomRackAssignment_)
    return chance(0.5);
  if (std::ranges::count(LiveNodes, Instance.Name_) == 0)
    return false;
  if (Case_.StableRackAssignment_)
    return jobRank(JobId(Rack.str()), Instance.Name_, LiveNodes) == 0;
  return LiveNodes[RackNumber % LiveNodes.size()] == Instance.Name_;
}

void VirtualCluster::assignRacks() {
  RacksAssigned Common;
  for (const auto &Instance : Nodes_)
    if (Instance->Scheduler_ && Now_ >= Instance->SuspectedUntil_)
      Common.LiveInstances_.push_back(Instance->Name_);
  for (const auto &Instance : Nodes_) {
    RacksAssigned Event = Common;
    std::size_t RackNumber = 0;
    for (int Zone = 0; Zone < Case_.Zones_; ++Zone)
      for (int Rack = 0; Rack < Case_.RacksPerZone_; ++Rack) {
        RackName Name = rackName(Zone, Rack);
        if (isAssigned(*Instance, Name, RackNumber++, Common.LiveInstances_))
          Event.Racks_.push_back({Name, zoneName(Zone)});
      }
    deliver(*Instance, Event);
  }
  schedule(Now_ + 2s, [this] { assignRacks(); });
}

void VirtualCluster::publishWorkerList() {
  WorkersListed List;
  for (const auto &WorkerPtr : Workers_)
    List.Instances_.push_back(WorkerPtr->listed());
  for (const auto &Instance : Nodes_)
    if (isTableReachable(*Instance))
      deliver(*Instance, List);
  schedule(Now_ + 2s, [this] { publishWorkerList(); });
}

bool VirtualCluster::isTableReachable(const Node &Instance) const {
  return Now_ >= TableDownUntil_ && Now_ >= Instance.TablePartitionedUntil_;
}

} // namespace filbertspring::placement::test
