#include "share_cluster.h"

#include <algorithm>
#include <utility>

namespace filbertspring::membership::test {

namespace {

constexpr Duration Step = std::chrono::milliseconds(50);
constexpr Duration MaxRequestDelay = std::chrono::seconds(30);
constexpr Duration MaxPause = std::chrono::seconds(25);
constexpr Duration MaxSlowLatency = std::chrono::seconds(3);
constexpr Duration MaxUsualLatency = std::chrono::milliseconds(20);
constexpr std::int64_t MicrosPerSecond = 1'000'000;
const ContractName Booking("booking");
const RowKey LedgerKey{RowKind::ShareLedger, "booking"};

HeartbeatRecord recordOf(const InstancePlace &Place) {
  return {Place.Name_, Place.Zone_, 0, false, {}, {}};
}

} // namespace

ShareCluster::ShareCluster(int Instances, std::uint64_t Seed, FaultRates Faults,
                           DisabledMechanism Disabled, ClusterTiming Timing)
    : Faults_(Faults), Disabled_(Disabled), Timing_(Timing), Random_(Seed),
      CurrentProcesses_(static_cast<std::size_t>(Instances)),
      Demands_(static_cast<std::size_t>(Instances), 0) {
  for (int Index = 0; Index < Instances; ++Index)
    startProcess(Index);
}

LeaseSettings ShareCluster::observerSettings() const {
  LeaseSettings Settings;
  if (Disabled_ != DisabledMechanism::DriftAllowance)
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
  const std::string Boot = "boot-" + std::to_string(++BootCount_);
  auto Process = std::make_unique<InstanceProcess>(
      InstanceProcess{Place,
                      HeartbeatWriter(recordOf(Place), Boot, LeaseSettings{}),
                      LivenessTracker(observerSettings()),
                      ShareAllocator(Place.Name_, Boot, shareSettings()),
                      1.0,
                      0,
                      false,
                      false,
                      {},
                      {},
                      Duration::min(),
                      {},
                      {}});
  const double Drift = Faults_.DriftPermille_ / 1000.0;
  Process->Rate_ += drawChance(500) ? Drift : -Drift;
  Process->OffsetMicros_ = static_cast<std::int64_t>(Random_(1'000'000'000));
  feed(*Process, ContractsInForce{{{Booking, 1}}});
  CurrentProcesses_[Index] = Processes_.size();
  Processes_.push_back(std::move(Process));
}

TimePoint ShareCluster::localTime(const InstanceProcess &Process) const {
  const double Micros = static_cast<double>(Now_.count()) * Process.Rate_;
  return TimePoint(
      Duration(Process.OffsetMicros_ + static_cast<std::int64_t>(Micros)));
}

TimePoint ShareCluster::localNow(int Instance) const {
  return localTime(
      *Processes_[CurrentProcesses_[static_cast<std::size_t>(Instance)]]);
}

const LivenessTracker &ShareCluster::tracker(int Instance) const {
  return Processes_[CurrentProcesses_[static_cast<std::size_t>(Instance)]]
      ->Tracker_;
}

Duration ShareCluster::randomUpTo(Duration Limit) {
  const auto Span = static_cast<std::uint32_t>(Limit.count() / 1000 + 1);
  return std::chrono::milliseconds(Random_(Span));
}

void ShareCluster::schedule(Duration After, std::function<void()> Run) {
  Queue_.push({Now_ + After, ++Order_, std::move(Run)});
}

void ShareCluster::deliver(InstanceProcess &To, std::function<void()> Run) {
  if (To.IsDead_)
    return;
  if (To.PausedUntil_ <= Now_) {
    Run();
    return;
  }
  schedule(To.PausedUntil_ - Now_,
           [this, &To, Run = std::move(Run)] { deliver(To, Run); });
}

void ShareCluster::operate(InstanceProcess &From, std::function<void()> AtTable,
                           std::function<void()> OnAnswer,
                           std::function<void()> OnLoss) {
  const bool IsDisconnected = From.DisconnectedUntil_ > Now_;
  const bool RequestLost =
      IsDisconnected || (Faulty_ && drawChance(Faults_.LostRequest_));
  const bool AnswerLost = Faulty_ && drawChance(Faults_.LostAnswer_);
  const bool Delayed = Faulty_ && drawChance(Faults_.Delayed_);
  const bool SlowRequest = Faulty_ && drawChance(Faults_.SlowRequest_);
  const Duration Latency =
      randomUpTo(SlowRequest ? MaxSlowLatency : MaxUsualLatency);
  const Duration RequestDelay = Delayed ? randomUpTo(MaxRequestDelay) : Latency;
  if (!RequestLost)
    schedule(RequestDelay, std::move(AtTable));
  const bool Answered = !RequestLost && !AnswerLost && !Delayed;
  const bool Slow = Faulty_ && drawChance(Faults_.SlowAnswer_);
  const Duration AnswerDelay =
      RequestDelay + randomUpTo(Slow ? MaxSlowLatency : MaxUsualLatency);
  const Duration LossTimeout = std::chrono::seconds(2);
  auto Run = Answered ? std::move(OnAnswer) : std::move(OnLoss);
  schedule(Answered ? AnswerDelay : LossTimeout,
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
  const auto CurrentPhase = static_cast<std::size_t>(Now_ / Step) % Phases;
  for (std::size_t Index = 0; Index < Processes_.size(); ++Index)
    if (Index % Phases == CurrentPhase)
      tick(*Processes_[Index]);
  checkOracle();
}

void ShareCluster::drawFaults() {
  for (int Index = 0; Index < static_cast<int>(CurrentProcesses_.size());
       ++Index) {
    if (drawChance(Faults_.Pause_))
      pause(Index, randomUpTo(MaxPause));
    if (drawChance(Faults_.Disconnect_))
      disconnect(Index, randomUpTo(MaxPause));
    if (drawChance(Faults_.Restart_)) {
      // The earlier process may continue to run for a while.
      if (drawChance(500))
        kill(Index);
      startProcess(Index);
    }
    if (drawChance(Faults_.DemandShift_))
      setDemand(Index, static_cast<std::int32_t>(Random_(900)));
  }
}

void ShareCluster::endFaults() {
  Faulty_ = false;
  for (auto &Process : Processes_) {
    Process->PausedUntil_ = std::min(Process->PausedUntil_, Now_);
    Process->DisconnectedUntil_ = std::min(Process->DisconnectedUntil_, Now_);
  }
}

void ShareCluster::setDemand(int Instance, std::int32_t Permille) {
  Demands_[static_cast<std::size_t>(Instance)] = Permille;
}

void ShareCluster::stop(int Instance) {
  InstanceProcess &Process =
      *Processes_[CurrentProcesses_[static_cast<std::size_t>(Instance)]];
  Process.IsStopping_ = true;
  feed(Process, HeartbeatEvent(LeaveRequested{}));
  feed(Process, ShareEvent(ShareStopRequested{}));
}

void ShareCluster::kill(int Instance) {
  Processes_[CurrentProcesses_[static_cast<std::size_t>(Instance)]]->IsDead_ =
      true;
}

void ShareCluster::disconnect(int Instance, Duration Length) {
  Processes_[CurrentProcesses_[static_cast<std::size_t>(Instance)]]
      ->DisconnectedUntil_ = Now_ + Length;
}

void ShareCluster::pause(int Instance, Duration Length) {
  Processes_[CurrentProcesses_[static_cast<std::size_t>(Instance)]]
      ->PausedUntil_ = Now_ + Length;
}

void ShareCluster::restart(int Instance) { startProcess(Instance); }

void ShareCluster::exchangeDemands() {
  for (auto &To : Processes_) {
    if (To->IsDead_ || To->PausedUntil_ > Now_)
      continue;
    for (std::size_t Index = 0; Index < CurrentProcesses_.size(); ++Index) {
      const InstanceProcess &From = *Processes_[CurrentProcesses_[Index]];
      if (!From.IsDead_)
        feed(*To,
             DemandObserved{Booking, {From.Place_.Name_, Demands_[Index]}});
    }
  }
}

void ShareCluster::tick(InstanceProcess &Process) {
  if (Process.IsDead_ || Process.PausedUntil_ > Now_)
    return;
  if (Process.HeartbeatWriter_.superseded()) {
    replace(Process);
    return;
  }
  if (Process.LastScan_ == Duration::min() ||
      Now_ - Process.LastScan_ >= Timing_.HeartbeatScanInterval_)
    scanHeartbeats(Process);
  feed(Process, HeartbeatEvent(HeartbeatTick{}));
  feed(Process, ShareEvent(ShareTick{&Process.Tracker_}));
  if (!Process.IsStopping_ || !Process.Allocator_.isReleased())
    return;
  feed(Process, HeartbeatEvent(StopRequested{}));
  Process.IsDead_ = Process.HeartbeatWriter_.isReleased();
}

void ShareCluster::replace(InstanceProcess &Process) {
  Process.IsDead_ = true;
  for (std::size_t Index = 0; Index < CurrentProcesses_.size(); ++Index)
    if (Processes_[CurrentProcesses_[Index]].get() == &Process)
      startProcess(static_cast<int>(Index));
}

void ShareCluster::scanHeartbeats(InstanceProcess &Process) {
  Process.LastScan_ = Now_;
  const TimePoint SentAt = localTime(Process);
  auto Scan = std::make_shared<HeartbeatScan>();
  Scan->SentAt_ = SentAt;
  operate(
      Process, [this, Scan] { Scan->Rows_ = Table_.scan(RowKind::Heartbeat); },
      [this, &Process, Scan] {
        Process.Tracker_.handle(*Scan, localTime(Process));
      },
      [] {});
}

void ShareCluster::feed(InstanceProcess &Process, const HeartbeatEvent &Event) {
  const HolderLease Before = Process.HeartbeatWriter_.lease();
  const auto Actions =
      Process.HeartbeatWriter_.handle(Event, localTime(Process));
  const HolderLease &After = Process.HeartbeatWriter_.lease();
  if (Before.Since_ != After.Since_ || Before.Until_ != After.Until_)
    forwardLease(Process);
  for (const HeartbeatAction &Action : Actions)
    perform(Process, Action);
}

void ShareCluster::forwardLease(InstanceProcess &Process) {
  HolderLease Lease = Process.HeartbeatWriter_.lease();
  const bool Held = Lease.Until_ != TimePoint::min();
  if (Held && Disabled_ == DisabledMechanism::LeaseEnd)
    Lease.Until_ = TimePoint::max();
  if (Held && Disabled_ == DisabledMechanism::SendTime)
    Lease.Until_ = localTime(Process) + LeaseSettings{}.LeaseDuration_;
  if (Held && Disabled_ == DisabledMechanism::RestartWait)
    Lease.Since_ = std::min(Lease.Since_, localTime(Process));
  feed(Process, ShareEvent(LeaseChanged{Lease}));
}

void ShareCluster::feed(InstanceProcess &Process, const ShareEvent &Event) {
  for (const ShareAction &Action :
       Process.Allocator_.handle(Event, localTime(Process)))
    perform(Process, Action);
}

void ShareCluster::perform(InstanceProcess &Process,
                           const HeartbeatAction &Action) {
  if (const auto *Commit = std::get_if<CommitHeartbeat>(&Action)) {
    commitHeartbeat(Process, Commit->Request_);
    return;
  }
  const RowKey Key{RowKind::Heartbeat, Process.Place_.Name_.str()};
  auto Row = std::make_shared<std::optional<StoredRow>>();
  operate(
      Process, [this, Key, Row] { *Row = Table_.read(Key); },
      [this, &Process, Row] {
        feed(Process, HeartbeatEvent(OwnHeartbeatRead{*Row}));
      },
      [] {});
}

void ShareCluster::commitHeartbeat(InstanceProcess &Process,
                                   const Transaction &Request) {
  auto Result = std::make_shared<CommitResult>();
  operate(
      Process, [this, Request, Result] { *Result = Table_.commit(Request); },
      [this, &Process, Request, Result] {
        feed(Process,
             HeartbeatEvent(HeartbeatCommitEnded{Request.Id_, *Result}));
      },
      [this, &Process, Request] {
        feed(Process, HeartbeatEvent(HeartbeatCommitEnded{Request.Id_, {}}));
      });
}

void ShareCluster::perform(InstanceProcess &Process,
                           const ShareAction &Action) {
  if (const auto *Commit = std::get_if<CommitLedger>(&Action)) {
    commitLedger(Process, Commit->Request_);
    return;
  }
  auto Read = std::make_shared<LedgersRead>();
  Read->SentAt_ = localTime(Process);
  Read->RequestedContracts_ = std::get<ReadLedgers>(Action).Contracts_;
  operate(
      Process,
      [this, Read] {
        if (auto Row = Table_.read(LedgerKey))
          Read->Rows_ = {*Row};
      },
      [this, &Process, Read] {
        feed(Process, ShareEvent(*Read));
        feed(Process, ShareEvent(ShareTick{&Process.Tracker_}));
      },
      [] {});
}

void ShareCluster::commitLedger(InstanceProcess &Process, Transaction Request) {
  ++LedgerWrites_;
  if (Disabled_ == DisabledMechanism::ReclaimGuard)
    Request.Guards_.clear();
  if (Disabled_ == DisabledMechanism::EarlyShrink) {
    auto Row = Table_.read(LedgerKey);
    const bool Current =
        Row && Row->Version_ == Request.Changes_.front().Expected_;
    if (Current)
      Process.PendingDecreases_[Request.Id_] =
          ShareLedger::restore(std::get<ShareLedgerRecord>(Row->Value_))
              ->shareOf(Process.Place_.Name_);
  }
  auto Result = std::make_shared<CommitResult>();
  operate(
      Process, [this, Request, Result] { *Result = Table_.commit(Request); },
      [this, &Process, Request, Result] {
        Process.PendingDecreases_.erase(Request.Id_);
        feed(Process, ShareEvent(LedgerCommitEnded{Request.Id_, *Result}));
      },
      [this, &Process, Request] {
        Process.PendingDecreases_.erase(Request.Id_);
        CommitResult Lost;
        if (Disabled_ == DisabledMechanism::ReadBack)
          Lost.Outcome_ = CommitOutcome::NotCommitted;
        feed(Process, ShareEvent(LedgerCommitEnded{Request.Id_, Lost}));
      });
}

std::int32_t ShareCluster::usableBy(const InstanceProcess &Process) const {
  if (Process.IsDead_)
    return 0;
  std::int32_t Usable =
      Process.Allocator_.grant(Booking, localTime(Process)).Permille_;
  for (const auto &[Id, Held] : Process.PendingDecreases_)
    if (Usable > 0)
      Usable = std::max(Usable, Held);
  return Usable;
}

void ShareCluster::checkOracle() {
  std::int32_t Sum = 0;
  for (const auto &Process : Processes_)
    Sum += usableBy(*Process);
  LargestSum_ = std::max(LargestSum_, Sum);
}

std::int32_t ShareCluster::usable(int Instance) const {
  return usableBy(
      *Processes_[CurrentProcesses_[static_cast<std::size_t>(Instance)]]);
}

std::int32_t ShareCluster::largestDeficit() const {
  std::vector<InstanceDemand> Demands;
  std::vector<std::int32_t> Held;
  for (std::size_t Index = 0; Index < CurrentProcesses_.size(); ++Index) {
    const InstanceProcess &Process = *Processes_[CurrentProcesses_[Index]];
    if (Process.IsDead_)
      continue;
    Demands.push_back({Process.Place_.Name_, Demands_[Index]});
    Held.push_back(usableBy(Process));
  }
  std::int32_t Largest = 0;
  const auto Targets = targetShares(Demands, 1);
  for (std::size_t Index = 0; Index < Targets.size(); ++Index)
    Largest = std::max(Largest, Targets[Index].Permille_ - Held[Index]);
  return Largest;
}

} // namespace filbertspring::membership::test
