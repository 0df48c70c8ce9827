#include "share_cluster.h"

#include <algorithm>
#include <utility>

namespace filbertspring::membership::test {

namespace {

constexpr Duration Step = std::chrono::milliseconds(50);
constexpr Duration LongestDelay = std::chrono::seconds(30);
constexpr Duration LongestPause = std::chrono::seconds(25);
constexpr Duration LongestWay = std::chrono::seconds(3);
constexpr Duration UsualDelay = std::chrono::milliseconds(20);
constexpr std::int64_t MicrosPerSecond = 1'000'000;
const ContractName Booking("booking");
const RowKey LedgerKey{RowKind::ShareLedger, "booking"};

HeartbeatRecord recordOf(const InstancePlace &Place) {
  return {Place.Name_, Place.Zone_, 0, false, {}, {}};
}

} // namespace

ShareCluster::ShareCluster(int Instances, std::uint64_t Seed, FaultRates Faults,
                           DisabledMechanism Missing, ClusterTiming Timing)
    : Faults_(Faults), Missing_(Missing), Timing_(Timing), Random_(Seed),
      Present_(static_cast<std::size_t>(Instances)),
      Demands_(static_cast<std::size_t>(Instances), 0) {
  for (int Index = 0; Index < Instances; ++Index)
    startProcess(Index);
}

LeaseSettings ShareCluster::observerSettings() const {
  LeaseSettings Settings;
  if (Missing_ != DisabledMechanism::DriftAllowance)
    return Settings;
  Settings.DriftPermille_ = 0;
  Settings.Margin_ = Duration::zero();
  return Settings;
}

ShareSettings ShareCluster::shareSettings() const {
  ShareSettings Settings;
  Settings.WriteSpread_ = Timing_.WriteSpread_;
  return Settings;
}

void ShareCluster::startProcess(int Instance) {
  const auto Index = static_cast<std::size_t>(Instance);
  const std::string Number = std::to_string(Instance);
  const InstancePlace Place{InstanceName("entry-" + Number),
                            ZoneName("zone-" + std::to_string(Instance % 3))};
  const std::string Boot = "boot-" + std::to_string(++Boots_);
  auto Made = std::make_unique<Process>(
      Process{Place,
              HeartbeatWriter(recordOf(Place), Boot, LeaseSettings{}),
              LivenessTracker(observerSettings()),
              ShareAllocator(Place.Name_, Boot, shareSettings()),
              1.0,
              0,
              false,
              {},
              {},
              Duration::min(),
              {},
              {}});
  const double Drift = Faults_.DriftPermille_ / 1000.0;
  Made->Rate_ += chance(500) ? Drift : -Drift;
  Made->OffsetMicros_ = static_cast<std::int64_t>(Random_(1'000'000'000));
  feed(*Made, ContractsInForce{{{Booking, 1}}});
  Present_[Index] = Processes_.size();
  Processes_.push_back(std::move(Made));
}

TimePoint ShareCluster::local(const Process &Each) const {
  const double Micros = static_cast<double>(Now_.count()) * Each.Rate_;
  return TimePoint(
      Duration(Each.OffsetMicros_ + static_cast<std::int64_t>(Micros)));
}

TimePoint ShareCluster::localNow(int Instance) const {
  return local(*Processes_[Present_[static_cast<std::size_t>(Instance)]]);
}

const LivenessTracker &ShareCluster::tracker(int Instance) const {
  return Processes_[Present_[static_cast<std::size_t>(Instance)]]->Tracker_;
}

Duration ShareCluster::randomUpTo(Duration Limit) {
  const auto Span = static_cast<std::uint32_t>(Limit.count() / 1000 + 1);
  return std::chrono::milliseconds(Random_(Span));
}

void ShareCluster::schedule(Duration After, std::function<void()> Run) {
  Queue_.push({Now_ + After, ++Order_, std::move(Run)});
}

void ShareCluster::deliver(Process &To, std::function<void()> Run) {
  if (To.Dead_)
    return;
  if (To.PausedUntil_ <= Now_) {
    Run();
    return;
  }
  schedule(To.PausedUntil_ - Now_,
           [this, &To, Run = std::move(Run)] { deliver(To, Run); });
}

void ShareCluster::operate(Process &From, std::function<void()> AtTable,
                           std::function<void()> OnAnswer,
                           std::function<void()> OnLoss) {
  const bool Cut = From.DisconnectedUntil_ > Now_;
  const bool RequestLost = Cut || (Faulty_ && chance(Faults_.LostRequest_));
  const bool AnswerLost = Faulty_ && chance(Faults_.LostAnswer_);
  const bool Delayed = Faulty_ && chance(Faults_.Delayed_);
  const bool SlowRequest = Faulty_ && chance(Faults_.SlowRequest_);
  const Duration Usual = randomUpTo(SlowRequest ? LongestWay : UsualDelay);
  const Duration There = Delayed ? randomUpTo(LongestDelay) : Usual;
  if (!RequestLost)
    schedule(There, std::move(AtTable));
  const bool Answered = !RequestLost && !AnswerLost && !Delayed;
  const bool Slow = Faulty_ && chance(Faults_.SlowAnswer_);
  const Duration Back = There + randomUpTo(Slow ? LongestWay : UsualDelay);
  const Duration GivesUp = std::chrono::seconds(2);
  auto Run = Answered ? std::move(OnAnswer) : std::move(OnLoss);
  schedule(Answered ? Back : GivesUp,
           [this, &From, Run = std::move(Run)] { deliver(From, Run); });
}

void ShareCluster::run(Duration Length) {
  const Duration End = Now_ + Length;
  while (Now_ < End) {
    Now_ += Step;
    step();
  }
}

void ShareCluster::step() {
  while (!Queue_.empty() && Queue_.top().At_ <= Now_) {
    auto Run = Queue_.top().Run_;
    Queue_.pop();
    Run();
    checkOracle();
  }
  const bool WholeSecond = Now_.count() % MicrosPerSecond == 0;
  if (WholeSecond) {
    if (Faulty_)
      drawFaults();
    exchangeDemands();
  }
  // The processes tick at different times.
  const auto Phases = static_cast<std::size_t>(
      std::max<Duration::rep>(1, Timing_.TickInterval_ / Step));
  const auto Present = static_cast<std::size_t>(Now_ / Step) % Phases;
  for (std::size_t Index = 0; Index < Processes_.size(); ++Index)
    if (Index % Phases == Present)
      tick(*Processes_[Index]);
  checkOracle();
}

void ShareCluster::drawFaults() {
  for (int Index = 0; Index < static_cast<int>(Present_.size()); ++Index) {
    if (chance(Faults_.Pause_))
      pause(Index, randomUpTo(LongestPause));
    if (chance(Faults_.Disconnect_))
      disconnect(Index, randomUpTo(LongestPause));
    if (chance(Faults_.Restart_)) {
      // The earlier process may continue to run for a while.
      if (chance(500))
        kill(Index);
      startProcess(Index);
    }
    if (chance(Faults_.DemandShift_))
      setDemand(Index, static_cast<std::int32_t>(Random_(900)));
  }
}

void ShareCluster::endFaults() {
  Faulty_ = false;
  for (auto &Each : Processes_) {
    Each->PausedUntil_ = std::min(Each->PausedUntil_, Now_);
    Each->DisconnectedUntil_ = std::min(Each->DisconnectedUntil_, Now_);
  }
}

void ShareCluster::setDemand(int Instance, std::int32_t Permille) {
  Demands_[static_cast<std::size_t>(Instance)] = Permille;
}

void ShareCluster::kill(int Instance) {
  Processes_[Present_[static_cast<std::size_t>(Instance)]]->Dead_ = true;
}

void ShareCluster::disconnect(int Instance, Duration Length) {
  Processes_[Present_[static_cast<std::size_t>(Instance)]]->DisconnectedUntil_ =
      Now_ + Length;
}

void ShareCluster::pause(int Instance, Duration Length) {
  Processes_[Present_[static_cast<std::size_t>(Instance)]]->PausedUntil_ =
      Now_ + Length;
}

void ShareCluster::restart(int Instance) { startProcess(Instance); }

void ShareCluster::exchangeDemands() {
  for (auto &To : Processes_) {
    if (To->Dead_ || To->PausedUntil_ > Now_)
      continue;
    for (std::size_t Index = 0; Index < Present_.size(); ++Index) {
      const Process &From = *Processes_[Present_[Index]];
      if (!From.Dead_)
        feed(*To,
             DemandObserved{Booking, {From.Place_.Name_, Demands_[Index]}});
    }
  }
}

void ShareCluster::tick(Process &Each) {
  if (Each.Dead_ || Each.PausedUntil_ > Now_)
    return;
  if (Each.HeartbeatWriter_.superseded()) {
    replace(Each);
    return;
  }
  if (Each.LastScan_ == Duration::min() ||
      Now_ - Each.LastScan_ >= Timing_.HeartbeatScanInterval_)
    scanHeartbeats(Each);
  feed(Each, HeartbeatEvent(HeartbeatTick{}));
  feed(Each, ShareEvent(ShareTick{&Each.Tracker_}));
}

void ShareCluster::replace(Process &Each) {
  Each.Dead_ = true;
  for (std::size_t Index = 0; Index < Present_.size(); ++Index)
    if (Processes_[Present_[Index]].get() == &Each)
      startProcess(static_cast<int>(Index));
}

void ShareCluster::scanHeartbeats(Process &Each) {
  Each.LastScan_ = Now_;
  const TimePoint SentAt = local(Each);
  auto Scan = std::make_shared<HeartbeatScan>();
  Scan->SentAt_ = SentAt;
  operate(
      Each, [this, Scan] { Scan->Rows_ = Table_.scan(RowKind::Heartbeat); },
      [this, &Each, Scan] { Each.Tracker_.handle(*Scan, local(Each)); }, [] {});
}

void ShareCluster::feed(Process &Each, const HeartbeatEvent &Event) {
  const HolderLease Before = Each.HeartbeatWriter_.lease();
  const auto Actions = Each.HeartbeatWriter_.handle(Event, local(Each));
  const HolderLease &After = Each.HeartbeatWriter_.lease();
  if (Before.Since_ != After.Since_ || Before.Until_ != After.Until_)
    passLease(Each);
  for (const HeartbeatAction &Action : Actions)
    perform(Each, Action);
}

void ShareCluster::passLease(Process &Each) {
  HolderLease Lease = Each.HeartbeatWriter_.lease();
  const bool Held = Lease.Until_ != TimePoint::min();
  if (Held && Missing_ == DisabledMechanism::LeaseEnd)
    Lease.Until_ = TimePoint::max();
  if (Held && Missing_ == DisabledMechanism::SendTime)
    Lease.Until_ = local(Each) + LeaseSettings{}.LeaseDuration_;
  if (Held && Missing_ == DisabledMechanism::RestartWait)
    Lease.Since_ = std::min(Lease.Since_, local(Each));
  feed(Each, ShareEvent(LeaseChanged{Lease}));
}

void ShareCluster::feed(Process &Each, const ShareEvent &Event) {
  for (const ShareAction &Action : Each.Allocator_.handle(Event, local(Each)))
    perform(Each, Action);
}

void ShareCluster::perform(Process &Each, const HeartbeatAction &Action) {
  if (const auto *Commit = std::get_if<CommitHeartbeat>(&Action)) {
    commitHeartbeat(Each, Commit->Request_);
    return;
  }
  const RowKey Key{RowKind::Heartbeat, Each.Place_.Name_.str()};
  auto Row = std::make_shared<std::optional<StoredRow>>();
  operate(
      Each, [this, Key, Row] { *Row = Table_.read(Key); },
      [this, &Each, Row] {
        feed(Each, HeartbeatEvent(OwnHeartbeatRead{*Row}));
      },
      [] {});
}

void ShareCluster::commitHeartbeat(Process &Each, const Transaction &Request) {
  auto Result = std::make_shared<CommitResult>();
  operate(
      Each, [this, Request, Result] { *Result = Table_.commit(Request); },
      [this, &Each, Request, Result] {
        feed(Each, HeartbeatEvent(HeartbeatCommitEnded{Request.Id_, *Result}));
      },
      [this, &Each, Request] {
        feed(Each, HeartbeatEvent(HeartbeatCommitEnded{Request.Id_, {}}));
      });
}

void ShareCluster::perform(Process &Each, const ShareAction &Action) {
  if (const auto *Commit = std::get_if<CommitLedger>(&Action)) {
    commitLedger(Each, Commit->Request_);
    return;
  }
  auto Read = std::make_shared<LedgersRead>();
  Read->SentAt_ = local(Each);
  Read->RequestedContracts_ = std::get<ReadLedgers>(Action).Contracts_;
  operate(
      Each,
      [this, Read] {
        if (auto Row = Table_.read(LedgerKey))
          Read->Rows_ = {*Row};
      },
      [this, &Each, Read] {
        feed(Each, ShareEvent(*Read));
        feed(Each, ShareEvent(ShareTick{&Each.Tracker_}));
      },
      [] {});
}

void ShareCluster::commitLedger(Process &Each, Transaction Request) {
  ++LedgerWrites_;
  if (Missing_ == DisabledMechanism::ReclaimGuard)
    Request.Guards_.clear();
  if (Missing_ == DisabledMechanism::EarlyShrink) {
    auto Row = Table_.read(LedgerKey);
    const bool Current =
        Row && Row->Version_ == Request.Changes_.front().Expected_;
    if (Current)
      Each.Giving_[Request.Id_] =
          ShareLedger::restore(std::get<ShareLedgerRecord>(Row->Value_))
              ->shareOf(Each.Place_.Name_);
  }
  auto Result = std::make_shared<CommitResult>();
  operate(
      Each, [this, Request, Result] { *Result = Table_.commit(Request); },
      [this, &Each, Request, Result] {
        Each.Giving_.erase(Request.Id_);
        feed(Each, ShareEvent(LedgerCommitEnded{Request.Id_, *Result}));
      },
      [this, &Each, Request] {
        Each.Giving_.erase(Request.Id_);
        CommitResult Lost;
        if (Missing_ == DisabledMechanism::ReadBack)
          Lost.Outcome_ = CommitOutcome::NotCommitted;
        feed(Each, ShareEvent(LedgerCommitEnded{Request.Id_, Lost}));
      });
}

std::int32_t ShareCluster::usableBy(const Process &Each) const {
  if (Each.Dead_)
    return 0;
  std::int32_t Usable = Each.Allocator_.grant(Booking, local(Each)).Permille_;
  for (const auto &[Id, Held] : Each.Giving_)
    if (Usable > 0)
      Usable = std::max(Usable, Held);
  return Usable;
}

void ShareCluster::checkOracle() {
  std::int32_t Sum = 0;
  for (const auto &Each : Processes_)
    Sum += usableBy(*Each);
  LargestSum_ = std::max(LargestSum_, Sum);
}

std::int32_t ShareCluster::usable(int Instance) const {
  return usableBy(*Processes_[Present_[static_cast<std::size_t>(Instance)]]);
}

std::int32_t ShareCluster::largestDeficit() const {
  std::vector<InstanceDemand> Demands;
  std::vector<std::int32_t> Held;
  for (std::size_t Index = 0; Index < Present_.size(); ++Index) {
    const Process &Each = *Processes_[Present_[Index]];
    if (Each.Dead_)
      continue;
    Demands.push_back({Each.Place_.Name_, Demands_[Index]});
    Held.push_back(usableBy(Each));
  }
  std::int32_t Largest = 0;
  const auto Targets = targetShares(Demands, 1);
  for (std::size_t Index = 0; Index < Targets.size(); ++Index)
    Largest = std::max(Largest, Targets[Index].Permille_ - Held[Index]);
  return Largest;
}

} // namespace filbertspring::membership::test
