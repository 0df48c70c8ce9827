#include "filbertspring/membership/share_allocator.h"

#include "ledger_replica.h"
#include "rendezvous.h"
#include "share_plan.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace filbertspring::membership {

namespace {

using Actions = std::vector<ShareAction>;

/// The state of one contract.
struct ContractState {
  explicit ContractState(const InstanceName &Self) : Replica_(Self) {}

  LedgerReplica Replica_;
  bool InForce_ = false;
  std::int32_t StepPermille_ = 1;
  std::int32_t InUsePermille_ = 0;
  std::map<InstanceName, std::int32_t> Demands_;
  std::optional<TimePoint> LastReadAt_;
  std::optional<TimePoint> LastWriteAt_;
  /// The next write requires a read sent at or after this time.
  std::optional<TimePoint> NeedsReadSince_ = TimePoint::min();
  /// True when the row was read since the last tick.
  bool FreshlyRead_ = false;
  /// True when the read was made to prepare a write.
  bool ReadToWrite_ = false;
  /// True when the last write failed with a conflict.
  bool Contended_ = false;
  /// When to read the row to prepare a write.
  std::optional<TimePoint> WriteWantedAt_;
};

} // namespace

struct ShareAllocator::Impl {
  InstanceName Self_;
  std::string Boot_;
  ShareSettings Settings_;
  HolderLease Lease_;
  std::map<ContractName, ContractState> Contracts_;
  bool Stopping_ = false;
  std::optional<TimePoint> ReadBusySince_;
  std::int64_t Serial_ = 0;
  /// Start of the one-second window in which WritesInWindow_ is counted.
  TimePoint WindowStart_ = TimePoint::min();
  std::int32_t WritesInWindow_ = 0;

  ContractState &stateOf(const ContractName &Name);
  Actions on(const DemandObserved &Event, TimePoint Now);
  Actions on(const UsageObserved &Event, TimePoint Now);
  Actions on(const ContractsInForce &Event, TimePoint Now);
  Actions on(const LeaseChanged &Event, TimePoint Now);
  Actions on(const LedgersRead &Event, TimePoint Now);
  Actions on(const LedgerCommitEnded &Event, TimePoint Now);
  Actions on(const ShareTick &Event, TimePoint Now);
  Actions on(const ShareStopRequested &Event, TimePoint Now);

  void expire(TimePoint Now);
  void readDue(TimePoint Now, Actions &Out);
  void writeDue(const LivenessTracker &Tracker, TimePoint Now, Actions &Out);
  bool mayWrite(const ContractState &State, TimePoint Now) const;
  bool takeWriteSlot(TimePoint Now);
  void wantWrite(const ContractName &Name, ContractState &State,
                 const SharePlan &Plan, TimePoint Now);
  Duration writeDelay(const ContractName &Name, std::int32_t Defer) const;
  std::optional<SharePlan> plan(const ContractName &Name,
                                const ContractState &State,
                                const LivenessTracker &Tracker,
                                const std::vector<Member> &Members) const;
  Transaction send(const ContractName &Name, ContractState &State,
                   const SharePlan &Plan, TimePoint Now);
};

ContractState &ShareAllocator::Impl::stateOf(const ContractName &Name) {
  return Contracts_.try_emplace(Name, Self_).first->second;
}

Actions ShareAllocator::Impl::on(const DemandObserved &Event, TimePoint) {
  auto Found = Contracts_.find(Event.Contract_);
  if (Found != Contracts_.end())
    Found->second.Demands_[Event.Demand_.Instance_] = Event.Demand_.Permille_;
  return {};
}

Actions ShareAllocator::Impl::on(const UsageObserved &Event, TimePoint) {
  auto Found = Contracts_.find(Event.Contract_);
  if (Found != Contracts_.end())
    Found->second.InUsePermille_ = Event.Permille_;
  return {};
}

Actions ShareAllocator::Impl::on(const ContractsInForce &Event, TimePoint) {
  for (auto &[Name, State] : Contracts_)
    State.InForce_ = false;
  for (const SharedContract &Each : Event.Contracts_) {
    ContractState &State = stateOf(Each.Name_);
    State.InForce_ = true;
    State.StepPermille_ = std::clamp(Each.StepPermille_, 1, WholeLimitPermille);
  }
  // The state of a contract with a pending write is kept: the write may still
  // be applied, and the contract may come into force again.
  std::erase_if(Contracts_, [](const auto &Each) {
    return !Each.second.InForce_ && !Each.second.Replica_.hasPending();
  });
  return {};
}

Actions ShareAllocator::Impl::on(const LeaseChanged &Event, TimePoint) {
  if (Event.Lease_.Since_ != Lease_.Since_)
    for (auto &[Name, State] : Contracts_)
      State.NeedsReadSince_ = Event.Lease_.Since_;
  Lease_ = Event.Lease_;
  return {};
}

Actions ShareAllocator::Impl::on(const LedgersRead &Event, TimePoint) {
  if (ReadBusySince_ && Event.SentAt_ >= *ReadBusySince_)
    ReadBusySince_.reset();
  std::map<std::string, const StoredRow *> Rows;
  for (const StoredRow &Row : Event.Rows_)
    Rows[Row.Key_.Name_] = &Row;
  for (const ContractName &Name : Event.RequestedContracts_) {
    auto State = Contracts_.find(Name);
    if (State == Contracts_.end())
      continue;
    State->second.FreshlyRead_ = true;
    auto &Needed = State->second.NeedsReadSince_;
    if (Needed && Event.SentAt_ >= *Needed)
      Needed.reset();
    auto Row = Rows.find(Name.str());
    State->second.Replica_.adoptRead(Row == Rows.end() ? nullptr : Row->second,
                                     Event.SentAt_);
  }
  return {};
}

Actions ShareAllocator::Impl::on(const LedgerCommitEnded &Event,
                                 TimePoint Now) {
  for (auto &[Name, State] : Contracts_) {
    if (!State.Replica_.endPending(Event.Id_, Event.Result_))
      continue;
    State.Contended_ = Event.Result_.Outcome_ == CommitOutcome::Conflict;
    if (Event.Result_.Outcome_ == CommitOutcome::Committed)
      break;
    State.NeedsReadSince_ = Now;
    State.LastWriteAt_.reset();
    break;
  }
  return {};
}

Actions ShareAllocator::Impl::on(const ShareStopRequested &, TimePoint) {
  Stopping_ = true;
  return {};
}

void ShareAllocator::Impl::expire(TimePoint Now) {
  const TimePoint Limit = Now - Settings_.AnswerTimeout_;
  if (ReadBusySince_ && *ReadBusySince_ <= Limit)
    ReadBusySince_.reset();
  for (auto &[Name, State] : Contracts_)
    if (State.Replica_.expirePending(Limit))
      State.NeedsReadSince_ = Now;
}

void ShareAllocator::Impl::readDue(TimePoint Now, Actions &Out) {
  if (ReadBusySince_ || Now < Lease_.Since_)
    return;
  ReadLedgers Read;
  for (auto &[Name, State] : Contracts_) {
    const bool Due = !State.LastReadAt_ ||
                     Now - *State.LastReadAt_ >= Settings_.ReadInterval_;
    if (!State.InForce_ || (!Due && !State.NeedsReadSince_))
      continue;
    State.LastReadAt_ = Now;
    Read.Contracts_.push_back(Name);
  }
  if (Read.Contracts_.empty())
    return;
  ReadBusySince_ = Now;
  Out.emplace_back(std::move(Read));
}

bool ShareAllocator::Impl::mayWrite(const ContractState &State,
                                    TimePoint Now) const {
  if (!State.InForce_ || State.NeedsReadSince_ || State.Replica_.writing())
    return false;
  if (!Lease_.holdsAt(Now) || !State.Replica_.knownIn(Lease_))
    return false;
  return !State.LastWriteAt_ ||
         Now - *State.LastWriteAt_ >= Settings_.WriteInterval_;
}

bool ShareAllocator::Impl::takeWriteSlot(TimePoint Now) {
  if (WindowStart_ == TimePoint::min() ||
      Now - WindowStart_ >= std::chrono::seconds(1)) {
    WindowStart_ = Now;
    WritesInWindow_ = 0;
  }
  if (WritesInWindow_ >= Settings_.MaxWritesPerSecond_)
    return false;
  ++WritesInWindow_;
  return true;
}

std::optional<SharePlan>
ShareAllocator::Impl::plan(const ContractName &Name, const ContractState &State,
                           const LivenessTracker &Tracker,
                           const std::vector<Member> &Members) const {
  const SharePlanInput Input{Self_,
                             Name,
                             State.Replica_.ledger(),
                             Members,
                             Tracker,
                             State.Demands_,
                             State.StepPermille_,
                             Settings_.HysteresisPermille_,
                             State.InUsePermille_};
  const bool Holds = State.Replica_.ledger().shareOf(Self_) > 0;
  if (Stopping_ && Holds)
    return planRelease(Input);
  auto Plan = Stopping_ ? std::nullopt : planShares(Input);
  // Writing the same value again gives the row a new version, after which no
  // earlier write can be applied.
  if (!Plan && State.Replica_.needsSettling())
    return SharePlan{State.Replica_.ledger(), {}};
  return Plan;
}

Transaction ShareAllocator::Impl::send(const ContractName &Name,
                                       ContractState &State,
                                       const SharePlan &Plan, TimePoint Now) {
  ShareLedgerRecord Record = Plan.Ledger_.record();
  Record.Contract_ = Name;
  const TransactionId Id(Boot_ + "/share/" + std::to_string(++Serial_));
  const RowVersion Expected = State.Replica_.version();
  State.LastWriteAt_ = Now;
  State.Replica_.addPending(
      {Id, Expected, Record, Plan.Ledger_.shareOf(Self_), Now, true});
  return {Id,
          Plan.Guards_,
          {{{RowKind::ShareLedger, Name.str()}, Expected, RowValue(Record)}}};
}

void ShareAllocator::Impl::writeDue(const LivenessTracker &Tracker,
                                    TimePoint Now, Actions &Out) {
  const std::vector<Member> Members = Tracker.members(Now);
  for (auto &[Name, State] : Contracts_) {
    const bool FreshlyRead = std::exchange(State.FreshlyRead_, false);
    if (!mayWrite(State, Now))
      continue;
    auto Plan = plan(Name, State, Tracker, Members);
    if (!Plan) {
      State.WriteWantedAt_.reset();
      State.ReadToWrite_ = false;
      State.Contended_ = false;
      continue;
    }
    const bool Early = Plan->DeferPermille_ > 0 && !State.ReadToWrite_;
    if (!FreshlyRead || Early || !takeWriteSlot(Now)) {
      wantWrite(Name, State, *Plan, Now);
      continue;
    }
    State.WriteWantedAt_.reset();
    State.ReadToWrite_ = false;
    Out.emplace_back(CommitLedger{send(Name, State, *Plan, Now)});
  }
}

// Instances that observe the same demand would write at the same time, and all
// but one write would conflict. Each instance therefore waits for an individual
// part of the write spread and reads again.
Duration ShareAllocator::Impl::writeDelay(const ContractName &Name,
                                          std::int32_t Defer) const {
  const Duration Deferred = Settings_.WriteSpread_ * Defer / WholeLimitPermille;
  const auto Jitter =
      static_cast<std::uint64_t>(Settings_.WriteSpread_.count() / 4) + 1;
  const std::string Draw = Self_.str() + "/" + std::to_string(Serial_);
  const std::uint64_t Score = rendezvousScore(Name.str(), Draw);
  return Deferred + Duration(static_cast<Duration::rep>(Score % Jitter));
}

void ShareAllocator::Impl::wantWrite(const ContractName &Name,
                                     ContractState &State,
                                     const SharePlan &Plan, TimePoint Now) {
  if (!State.WriteWantedAt_)
    State.WriteWantedAt_ =
        Now + writeDelay(Name, State.Contended_ ? 0 : Plan.DeferPermille_);
  if (*State.WriteWantedAt_ > Now)
    return;
  State.WriteWantedAt_.reset();
  State.NeedsReadSince_ = Now;
  State.ReadToWrite_ = true;
}

Actions ShareAllocator::Impl::on(const ShareTick &Event, TimePoint Now) {
  Actions Out;
  expire(Now);
  if (Event.Tracker_)
    writeDue(*Event.Tracker_, Now, Out);
  readDue(Now, Out);
  return Out;
}

ShareAllocator::ShareAllocator(InstanceName Self, std::string Boot,
                               ShareSettings Settings)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Self_ = std::move(Self);
  Impl_->Boot_ = std::move(Boot);
  Impl_->Settings_ = Settings;
}
ShareAllocator::~ShareAllocator() = default;
ShareAllocator::ShareAllocator(ShareAllocator &&) noexcept = default;
ShareAllocator &ShareAllocator::operator=(ShareAllocator &&) noexcept = default;

std::vector<ShareAction> ShareAllocator::handle(const ShareEvent &Event,
                                                TimePoint Now) {
  return std::visit([&](const auto &Each) { return Impl_->on(Each, Now); },
                    Event);
}

ShareGrant ShareAllocator::grant(const ContractName &Contract,
                                 TimePoint Now) const {
  auto Found = Impl_->Contracts_.find(Contract);
  const bool Known = Found != Impl_->Contracts_.end();
  if (!Known || !Found->second.InForce_ || Impl_->Stopping_)
    return {};
  return {Found->second.Replica_.usable(Impl_->Lease_, Now),
          Impl_->Lease_.Until_};
}

} // namespace filbertspring::membership
