#include "configuration_cluster.h"

#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <memory>

namespace filbertspring::membership::test {

namespace {

constexpr Duration Step = std::chrono::milliseconds(50);
constexpr Duration TickInterval = std::chrono::milliseconds(250);
constexpr std::int64_t MicrosPerSecond = 1'000'000;
constexpr int InstancesPerZone = 4;
constexpr int Zones = 3;
constexpr int Contracts = 6;
constexpr RowVersion ForgedVersionBase = 1'000'000'000;
const RowKey HeadKey{RowKind::Head, ""};

/// Returns the number of a change, which writers store in the field for their
/// name.
std::int64_t contentOf(const RowValue &Value) {
  if (const auto *Zone = std::get_if<AvailabilityZone>(&Value))
    return std::stoll(Zone->ChangedBy_);
  return std::stoll(std::get<ContractRecord>(Value).ChangedBy_);
}

RowValue makeValue(const RowKey &Key, std::int64_t Content) {
  if (Key.Kind_ == RowKind::Zone)
    return AvailabilityZone{ZoneName(Key.Name_), RegionName("r"),
                            Content % 2 ? ZoneState::OutOfService
                                        : ZoneState::InService,
                            std::to_string(Content), ""};
  ContractRecord Record;
  Record.Terms_.Name_ = ContractName(Key.Name_);
  Record.ChangedBy_ = std::to_string(Content);
  Record.Removed_ = Content % 5 == 0;
  return Record;
}

} // namespace

ConfigurationCluster::ConfigurationCluster(
    int Instances, std::uint64_t Seed, ConfigurationFaults Faults,
    DisabledConfigurationMechanism Disabled)
    : Faults_(Faults), Disabled_(Disabled), Random_(Seed) {
  Instances_.resize(static_cast<std::size_t>(Instances));
  const int ZonesOfInstances = std::max(1, Instances / InstancesPerZone);
  for (int Index = 0; Index < Instances; ++Index)
    Places_.push_back({InstanceName(std::to_string(Index)),
                       ZoneName(std::to_string(Index % ZonesOfInstances))});
  for (int Count = 0; Count < Zones + Contracts; ++Count)
    writeRow();
}

Duration ConfigurationCluster::delay() {
  const bool Slow = Faulty_ && drawChance(Faults_.Slow_);
  return std::chrono::milliseconds(Random_(Slow ? 8000 : 40));
}

void ConfigurationCluster::schedule(Duration After, std::function<void()> Run) {
  Queue_.push({Now_ + After, ++Order_, std::move(Run)});
}

RowVersion ConfigurationCluster::headVersion() {
  auto Row = Table_.read(HeadKey);
  return Row ? Row->Version_ : AbsentVersion;
}

std::vector<StoredRow> ConfigurationCluster::configurationRows() {
  std::vector<StoredRow> Rows = Table_.scan(RowKind::Contract);
  for (StoredRow &Row : Table_.scan(RowKind::Zone))
    Rows.push_back(std::move(Row));
  return Rows;
}

void ConfigurationCluster::writeRow() {
  const bool IsZone = drawChance(500);
  const auto Number = std::to_string(Random_(IsZone ? Zones : Contracts));
  const RowKey Key = IsZone ? RowKey{RowKind::Zone, "z" + Number}
                            : RowKey{RowKind::Contract, "c" + Number};
  auto Row = Table_.read(Key);
  const RowVersion Version = Row ? Row->Version_ : AbsentVersion;
  ++Writes_;
  Table_.commit({TransactionId("operator"),
                 {},
                 {{Key, Version, makeValue(Key, Writes_)},
                  {HeadKey, headVersion(), HeadRecord{Writes_, ""}}}});
  if (IsZone)
    History_[Key][Now_] = Writes_;
}

void ConfigurationCluster::run(Duration Length) {
  const Duration End = Now_ + Length;
  while (Now_ < End) {
    Now_ += Step;
    while (!Queue_.empty() && Queue_.top().At_ <= Now_) {
      auto Run = Queue_.top().Run_;
      Queue_.pop();
      Run();
    }
    if (Now_.count() % MicrosPerSecond == 0) {
      drawFaults();
      exchange();
    }
    if (Now_.count() % TickInterval.count() == 0)
      for (std::size_t Index = 0; Index < Instances_.size(); ++Index)
        feed(Index, SyncTick{});
  }
}

void ConfigurationCluster::drawFaults() {
  if (!Faulty_)
    return;
  if (drawChance(Faults_.Writes_))
    writeRow();
  for (int Index = 0; Index < static_cast<int>(Instances_.size()); ++Index) {
    if (drawChance(Faults_.Disconnect_))
      disconnectFromTable(Index, std::chrono::seconds(Random_(30)));
    if (drawChance(Faults_.Restart_))
      restart(Index);
  }
}

void ConfigurationCluster::endFaults() {
  Faulty_ = false;
  for (InstanceState &State : Instances_)
    State.DisconnectedUntil_ = std::min(State.DisconnectedUntil_, Now_);
}

void ConfigurationCluster::disconnectFromTable(int Instance, Duration Length) {
  Instances_[static_cast<std::size_t>(Instance)].DisconnectedUntil_ =
      Now_ + Length;
}

void ConfigurationCluster::restart(int Instance) {
  InstanceState &State = Instances_[static_cast<std::size_t>(Instance)];
  State.Sync_ = ConfigurationSync();
  State.Newest_.clear();
  ++State.Incarnation_;
}

const ConfigurationView &ConfigurationCluster::view(int Instance) const {
  return Instances_[static_cast<std::size_t>(Instance)].Sync_.view();
}

bool ConfigurationCluster::converged() {
  const std::vector<StoredRow> Rows = configurationRows();
  return std::ranges::all_of(Instances_, [&](const InstanceState &State) {
    const ConfigurationView &View = State.Sync_.view();
    return std::ranges::all_of(Rows, [&](const StoredRow &Row) {
      return View.versionOf(Row.Key_) == Row.Version_;
    });
  });
}

void ConfigurationCluster::feed(std::size_t Index,
                                const ConfigurationEvent &Event) {
  const auto Actions = Instances_[Index].Sync_.handle(Event, currentTime());
  check(Index);
  for (const ConfigurationAction &Action : Actions)
    perform(Index, Action);
}

void ConfigurationCluster::perform(std::size_t Index,
                                   const ConfigurationAction &Action) {
  std::visit(
      Overloaded{[&](const ReadHead &) { readHead(Index); },
                 [&](const ScanConfiguration &) { scan(Index); },
                 [&](const RequestDelta &Request) { request(Index, Request); },
                 [](const ConfigurationChanged &) {}},
      Action);
}

void ConfigurationCluster::operate(std::size_t Index,
                                   std::function<void()> AtTable,
                                   std::function<void()> OnAnswer) {
  const Duration RequestDelay = delay();
  const Duration AnswerDelay = RequestDelay + delay();
  const bool IsDisconnected = Instances_[Index].DisconnectedUntil_ > Now_;
  if (IsDisconnected || (Faulty_ && drawChance(Faults_.Lost_)))
    return;
  schedule(RequestDelay, std::move(AtTable));
  schedule(AnswerDelay,
           [this, Index, Incarnation = Instances_[Index].Incarnation_,
            Run = std::move(OnAnswer)] {
             if (Instances_[Index].Incarnation_ == Incarnation)
               Run();
           });
}

void ConfigurationCluster::readHead(std::size_t Index) {
  auto Answer = std::make_shared<HeadReadCompleted>();
  Answer->SentAt_ = currentTime();
  operate(
      Index, [this, Answer] { Answer->Head_ = headVersion(); },
      [this, Index, Answer] {
        HeadReadCompleted Event = *Answer;
        const bool Current =
            Event.Head_ <= Instances_[Index].Sync_.view().completeTo();
        if (Disabled_ == DisabledConfigurationMechanism::SendTime && Current)
          Event.SentAt_ = currentTime();
        feed(Index, Event);
      });
}

void ConfigurationCluster::scan(std::size_t Index) {
  auto Answer = std::make_shared<ScanCompleted>();
  Answer->SentAt_ = currentTime();
  operate(
      Index, [this, Answer] { Answer->Rows_ = configurationRows(); },
      [this, Index, Answer] {
        feed(Index, *Answer);
        if (Disabled_ != DisabledConfigurationMechanism::HeadFirst)
          return;
        const RowVersion Since = Instances_[Index].Sync_.view().completeTo();
        feed(Index,
             DeltaReceived{InstanceName("self"), {Since, headVersion(), {}}});
      });
}

void ConfigurationCluster::request(std::size_t Index,
                                   const RequestDelta &Action) {
  const auto Peer = static_cast<std::size_t>(std::stoi(Action.Peer_.str()));
  if (Faulty_ && drawChance(Faults_.Lost_))
    return;
  schedule(delay(), [this, Index, Peer, Action] {
    auto Delta = Instances_[Peer].Sync_.view().delta(Action.Since_);
    if (!Delta)
      return; // The peer is not ready.
    ++Deltas_;
    if (Disabled_ == DisabledConfigurationMechanism::Versions)
      for (StoredRow &Row : Delta->Rows_)
        Row.Version_ = ForgedVersionBase + static_cast<RowVersion>(Order_);
    schedule(delay(), [this, Index, Action, Delta] {
      feed(Index, DeltaReceived{Action.Peer_, *Delta});
    });
  });
}

void ConfigurationCluster::exchange() {
  for (std::size_t From = 0; From < Instances_.size(); ++From) {
    const ConfigurationView &View = Instances_[From].Sync_.view();
    if (!View.ready())
      continue;
    const PeerVersionReported Event{InstanceName(std::to_string(From)),
                                    View.completeTo()};
    for (const InstancePlace &Peer : selectPeers(Places_[From], Places_)) {
      const Duration Interval = Peer.Zone_ == Places_[From].Zone_
                                    ? OwnZoneDigestInterval
                                    : OtherZoneDigestInterval;
      if (Now_ % Interval != Duration::zero())
        continue;
      const auto To = static_cast<std::size_t>(std::stoi(Peer.Name_.str()));
      if (!(Faulty_ && drawChance(Faults_.Lost_)))
        schedule(delay(), [this, To, Event] { feed(To, Event); });
    }
  }
}

void ConfigurationCluster::check(std::size_t Index) {
  InstanceState &State = Instances_[Index];
  const ConfigurationView &View = State.Sync_.view();
  for (const AvailabilityZone &Zone : View.zones()) {
    const RowKey Key{RowKind::Zone, Zone.Name_.str()};
    const std::int64_t Content = contentOf(RowValue(Zone));
    std::int64_t &Newest = State.Newest_[Key];
    if (Content < Newest)
      ++Reverts_;
    Newest = std::max(Newest, Content);
    const auto ConfirmedAt = View.zoneConfirmedAt(Zone.Name_);
    if (!ConfirmedAt)
      continue;
    const auto &Contents = History_[Key];
    // A write at exactly the time of the read may have been applied after it.
    auto After = Contents.lower_bound(ConfirmedAt->time_since_epoch());
    if (After != Contents.begin() && Content < std::prev(After)->second)
      ++FalseConfirmations_;
  }
}

} // namespace filbertspring::membership::test
