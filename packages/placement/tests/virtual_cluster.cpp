#include "virtual_cluster.h"

#include "virtual_cluster_parts.h"

#include "filbertspring/base/overloaded.h"
#include "filbertspring/placement/job_rank.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring::placement::test {

using namespace std::chrono_literals;

namespace {

/// Ends a run in which messages breed messages without end.
constexpr std::size_t MaxSteps = 400'000;

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
  listWorkers();
  for (const Fault &Each : Case_.Faults_)
    at(Each.At_, [this, Each] { inject(Each); });
  at(Case_.FaultsEnd_, [this] { heal(); });
  Duration End = Case_.FaultsEnd_ + Case_.Settle_;
  bool Ended = false;
  std::size_t Steps = 0;
  while (!Queue_.empty() && Now_ < End && !Ended) {
    if (++Steps > MaxSteps) {
      Oracle_.object("more messages than any sound run needs");
      break;
    }
    auto First = Queue_.extract(Queue_.begin());
    Now_ = std::max(Now_, First.key().first);
    First.mapped()();
    Ended = Quiet_ && allEnded();
  }
  checkEnd();
  return {Oracle_.objections(), Oracle_.jobs(), realRuns().size(),
          Oracle_.racks(), Use_};
}

void VirtualCluster::at(Duration When, std::function<void()> Action) {
  Queue_.emplace(std::pair(std::max(When, Now_), ++Sequence_),
                 std::move(Action));
}

bool VirtualCluster::chance(double Probability) {
  return Random_() < Probability * 4294967296.0;
}

Duration VirtualCluster::pick(Duration Low, Duration High) {
  auto Span = static_cast<std::uint32_t>((High - Low).count());
  return Low + Duration(Span == 0 ? 0 : Random_(Span));
}

Duration VirtualCluster::latency() {
  bool Late = !Quiet_ && chance(Case_.Noise_);
  return Late ? pick(10ms, 8s) : pick(200us, 5ms);
}

TableUse &VirtualCluster::useNow() {
  return Use_[std::chrono::duration_cast<std::chrono::seconds>(Now_).count()];
}

void VirtualCluster::commitHere(Transaction Request) {
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
    ContractRecord Value = contractOf(Index, totalCapacity(Case_));
    Rows.Changes_.push_back(
        {{RowKind::Contract, Value.Terms_.Name_.str()}, AbsentVersion, Value});
  }
  commitHere(std::move(Rows));
}

void VirtualCluster::makeWorkers() {
  for (int Zone = 0; Zone < Case_.Zones_; ++Zone)
    for (int Rack = 0; Rack < Case_.RacksPerZone_; ++Rack)
      for (int Index = 0; Index < Case_.WorkersPerRack_; ++Index) {
        RackName Home = rackName(Zone, Rack);
        WorkerName Name(fmt::format("{}-w{}", Home.str(), Index));
        // The model accepts more than the worker has, so that the oracle and
        // not the model notices too much.
        Resources Ample = WorkerCapacity + WorkerCapacity + WorkerCapacity;
        auto Made = std::make_unique<Worker>(
            Worker{Name, zoneName(Zone), Home, WorkerModel({Name, Ample, {}})});
        Made->Rate_ = clockRate(Random_, Settings_.Leases_);
        Made->Boots_[Made->Model_.boot()] = 0us;
        Workers_.push_back(std::move(Made));
      }
}

void VirtualCluster::makeNodes() {
  for (int Index = 0; Index < Case_.Nodes_; ++Index) {
    auto Made = std::make_unique<Node>();
    Made->Name_ = nodeName(Index);
    Made->Rate_ = clockRate(Random_, Settings_.Leases_);
    Made->Offset_ = pick(0s, 1000s);
    startNode(*Made);
    Nodes_.push_back(std::move(Made));
  }
}

void VirtualCluster::submitJobs(int Count) {
  for (int Index = 0; Index < Count; ++Index) {
    JobRecord Job = makeJob(++JobCount_, Case_.TasksPerJob_, Random_);
    if (Case_.RunTime_ > 0s)
      makePlain(Job, Case_.RunTime_);
    Transaction Rows;
    Rows.Changes_.push_back(
        {{RowKind::Job, Job.Id_.str()}, AbsentVersion, std::move(Job)});
    commitHere(std::move(Rows));
  }
}

VirtualCluster::Node &VirtualCluster::nodeOf(std::uint32_t Target) {
  return *Nodes_[Target % Nodes_.size()];
}

void VirtualCluster::startNode(Node &Each) {
  SchedulerSettings Settings = Settings_;
  if (Case_.Sabotage_ == Sabotage::RecoverAtOnce)
    Settings.Leases_.Margin_ = -Settings.Leases_.Lease_;
  if (Case_.Sabotage_ == Sabotage::IgnoreDrift) {
    Settings.Leases_.DriftPpm_ = 0;
    Settings.Leases_.Margin_ = 0s;
  }
  if (Case_.Sabotage_ == Sabotage::RenewBeyondGrace && Nodes_.empty())
    Settings.Leases_.CutOffGrace_ = 60s;
  ++Each.Incarnation_;
  std::uint64_t Seed = Case_.Seed_ * 1000 + Random_(1'000'000);
  Each.Scheduler_ = std::make_unique<Scheduler>(Settings, Each.Name_, Seed);
  Each.Inbox_.clear();
  Each.WakeAt_.reset();
  Each.Exchanges_.clear();
  deliver(Each, Tick{});
}

void VirtualCluster::deliver(Node &Each, PlacementEvent Event) {
  if (!Each.Scheduler_)
    return;
  if (Now_ < Each.PausedUntil_) {
    Each.Inbox_.push_back(std::move(Event));
    return;
  }
  handle(Each, Event);
}

void VirtualCluster::handle(Node &Each, const PlacementEvent &Event) {
  std::vector<PlacementAction> Actions;
  Each.Scheduler_->handle(Event, Each.clock(Now_), Actions);
  for (PlacementAction &Action : Actions) {
    if (const auto *Commands = std::get_if<SendCommands>(&Action))
      Each.Exchanges_[Commands->Exchange_] = Now_;
    // A pause may begin between a decision and its message.
    std::uint64_t Incarnation = Each.Incarnation_;
    at(Now_ + pick(0us, 1ms),
       [this, &Each, Incarnation, Action = std::move(Action)] {
         if (Each.Incarnation_ == Incarnation)
           send(Each, Action);
       });
  }
  armWake(Each);
}

void VirtualCluster::armWake(Node &Each) {
  std::optional<TimePoint> Next = Each.Scheduler_->nextWake();
  if (!Next)
    return;
  Duration When = std::max(Each.realTime(*Next), Now_ + 1us);
  if (Each.WakeAt_ && *Each.WakeAt_ <= When)
    return;
  Each.WakeAt_ = When;
  std::uint64_t Incarnation = Each.Incarnation_;
  at(When, [this, &Each, When, Incarnation] {
    if (Each.Incarnation_ != Incarnation || Each.WakeAt_ != When)
      return;
    Each.WakeAt_.reset();
    deliver(Each, Tick{});
  });
}

void VirtualCluster::send(Node &Each, PlacementAction Action) {
  if (Now_ < Each.PausedUntil_) {
    std::uint64_t Incarnation = Each.Incarnation_;
    at(Each.PausedUntil_, [this, &Each, Incarnation, Action] {
      if (Each.Incarnation_ == Incarnation)
        send(Each, Action);
    });
    return;
  }
  std::visit(
      Overloaded{[&](const CommitRows &Request) {
                   commit(Each, Request.Transaction_);
                 },
                 [&](const ReadRows &Request) { read(Each, Request); },
                 [&](const SendCommands &Request) { exchange(Each, Request); },
                 [](const LogRecord &) {}},
      Action);
}

bool VirtualCluster::isAssigned(const Node &Each, const RackName &Rack,
                                std::size_t Number,
                                const std::vector<InstanceName> &Alive) {
  if (ScrambledRacks_)
    return chance(0.5);
  if (std::ranges::count(Alive, Each.Name_) == 0)
    return false;
  if (Case_.StableRacks_)
    return jobRank(JobId(Rack.str()), Each.Name_, Alive) == 0;
  return Alive[Number % Alive.size()] == Each.Name_;
}

void VirtualCluster::assignRacks() {
  RacksAssigned Common;
  for (const auto &Each : Nodes_)
    if (Each->Scheduler_ && Now_ >= Each->SuspectedUntil_)
      Common.LiveInstances_.push_back(Each->Name_);
  for (const auto &Each : Nodes_) {
    RacksAssigned Event = Common;
    std::size_t Number = 0;
    for (int Zone = 0; Zone < Case_.Zones_; ++Zone)
      for (int Rack = 0; Rack < Case_.RacksPerZone_; ++Rack) {
        RackName Name = rackName(Zone, Rack);
        if (isAssigned(*Each, Name, Number++, Common.LiveInstances_))
          Event.Racks_.push_back({Name, zoneName(Zone)});
      }
    deliver(*Each, Event);
  }
  at(Now_ + 2s, [this] { assignRacks(); });
}

void VirtualCluster::listWorkers() {
  WorkersListed List;
  for (const auto &Each : Workers_)
    List.Instances_.push_back(Each->listed());
  for (const auto &Each : Nodes_)
    if (tableReachable(*Each))
      deliver(*Each, List);
  at(Now_ + 2s, [this] { listWorkers(); });
}

bool VirtualCluster::tableReachable(const Node &Each) const {
  return Now_ >= TableDownUntil_ && Now_ >= Each.CutUntil_;
}

} // namespace filbertspring::placement::test
