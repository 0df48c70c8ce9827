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
  std::optional<TimePoint> ReadRequiredSince_ = TimePoint::min();
  /// True when the row was read since the last tick.
  bool IsFreshlyRead_ = false;
  /// True when the read was made to prepare a write.
  bool IsReadForWrite_ = false;
  /// True when the last write failed with a conflict.
  bool HadConflict_ = false;
  /// When to read the row to prepare a write.
  std::optional<TimePoint> ReadForWriteAt_;
};

} // namespace

struct ShareAllocator::Impl {
  InstanceName Self_;
  std::string BootId_;
  ShareSettings Settings_;
  HolderLease Lease_;
  std::map<ContractName, ContractState> Contracts_;
  bool Stopping_ = false;
  std::optional<TimePoint> ReadSentAt_;
  std::int64_t Serial_ = 0;
  /// Start of the one-second window in which WritesInWindow_ is counted.
  TimePoint WindowStart_ = TimePoint::min();
  std::int32_t WritesInWindow_ = 0;

  ContractState &stateOf(const ContractName &Name);
  Actions handle(const DemandObserved &Event, TimePoint Now);
  Actions handle(const UsageObserved &Event, TimePoint Now);
  Actions handle(const ContractsInForce &Event, TimePoint Now);
  Actions handle(const LeaseChanged &Event, TimePoint Now);
  Actions handle(const LedgersRead &Event, TimePoint Now);
  Actions handle(const LedgerCommitEnded &Event, TimePoint Now);
  Actions handle(const ShareTick &Event, TimePoint Now);
  Actions handle(const ShareStopRequested &Event, TimePoint Now);

  void expireOperations(TimePoint Now);
  void issueDueReads(TimePoint Now, Actions &Out);
  void issueDueWrites(const LivenessTracker &Tracker, TimePoint Now,
                      Actions &Out);
  bool mayWrite(const ContractState &State, TimePoint Now) const;
  bool acquireWriteSlot(TimePoint Now);
  void scheduleWrite(const ContractName &Name, ContractState &State,
                     const SharePlan &Plan, TimePoint Now);
  Duration writeDelay(const ContractName &Name,
                      std::int32_t DeferPermille) const;
  std::optional<SharePlan> plan(const ContractName &Name,
                                const ContractState &State,
                                const LivenessTracker &Tracker,
                                const std::vector<Member> &Members) const;
  Transaction prepareWrite(const ContractName &Name, ContractState &State,
                           const SharePlan &Plan, TimePoint Now);
};

ContractState &ShareAllocator::Impl::stateOf(const ContractName &Name) {
  return Contracts_.try_emplace(Name, Self_).first->second;
}

Actions ShareAllocator::Impl::handle(const DemandObserved &Event, TimePoint) {
  auto It = Contracts_.find(Event.Contract_);
  if (It != Contracts_.end())
    It->second.Demands_[Event.Demand_.Instance_] = Event.Demand_.Permille_;
  return {};
}

Actions ShareAllocator::Impl::handle(const UsageObserved &Event, TimePoint) {
  auto It = Contracts_.find(Event.Contract_);
  if (It != Contracts_.end())
    It->second.InUsePermille_ = Event.Permille_;
  return {};
}

Actions ShareAllocator::Impl::handle(const ContractsInForce &Event, TimePoint) {
  for (auto &[Name, State] : Contracts_)
    State.InForce_ = false;
  for (const SharedContract &Contract : Event.Contracts_) {
    ContractState &State = stateOf(Contract.Name_);
    State.InForce_ = true;
    State.StepPermille_ =
        std::clamp(Contract.StepPermille_, 1, WholeLimitPermille);
  }
  // The state of a contract with a pending write is kept: the write may still
  // be applied, and the contract may come into force again.
  std::erase_if(Contracts_, [](const auto &Item) {
    return !Item.second.InForce_ && !Item.second.Replica_.hasPending();
  });
  return {};
}

Actions ShareAllocator::Impl::handle(const LeaseChanged &Event, TimePoint) {
  if (Event.Lease_.Since_ != Lease_.Since_)
    for (auto &[Name, State] : Contracts_)
      State.ReadRequiredSince_ = Event.Lease_.Since_;
  Lease_ = Event.Lease_;
  return {};
}

Actions ShareAllocator::Impl::handle(const LedgersRead &Event, TimePoint) {
  if (ReadSentAt_ && Event.SentAt_ >= *ReadSentAt_)
    ReadSentAt_.reset();
  std::map<std::string, const StoredRow *> Rows;
  for (const StoredRow &Row : Event.Rows_)
    Rows[Row.Key_.Name_] = &Row;
  for (const ContractName &Name : Event.RequestedContracts_) {
    auto State = Contracts_.find(Name);
    if (State == Contracts_.end())
      continue;
    State->second.IsFreshlyRead_ = true;
    auto &RequiredSince = State->second.ReadRequiredSince_;
    if (RequiredSince && Event.SentAt_ >= *RequiredSince)
      RequiredSince.reset();
    auto Row = Rows.find(Name.str());
    State->second.Replica_.applyRead(Row == Rows.end() ? nullptr : Row->second,
                                     Event.SentAt_);
  }
  return {};
}

Actions ShareAllocator::Impl::handle(const LedgerCommitEnded &Event,
                                     TimePoint Now) {
  for (auto &[Name, State] : Contracts_) {
    if (!State.Replica_.handleWriteEnd(Event.Id_, Event.Result_))
      continue;
    State.HadConflict_ = Event.Result_.Outcome_ == CommitOutcome::Conflict;
    if (Event.Result_.Outcome_ == CommitOutcome::Committed)
      break;
    State.ReadRequiredSince_ = Now;
    State.LastWriteAt_.reset();
    break;
  }
  return {};
}

Actions ShareAllocator::Impl::handle(const ShareStopRequested &, TimePoint) {
  Stopping_ = true;
  return {};
}

void ShareAllocator::Impl::expireOperations(TimePoint Now) {
  const TimePoint Limit = Now - Settings_.AnswerTimeout_;
  if (ReadSentAt_ && *ReadSentAt_ <= Limit)
    ReadSentAt_.reset();
  for (auto &[Name, State] : Contracts_)
    if (State.Replica_.expirePending(Limit))
      State.ReadRequiredSince_ = Now;
}

void ShareAllocator::Impl::issueDueReads(TimePoint Now, Actions &Out) {
  if (ReadSentAt_ || Now < Lease_.Since_)
    return;
  ReadLedgers Read;
  for (auto &[Name, State] : Contracts_) {
    const bool Due = !State.LastReadAt_ ||
                     Now - *State.LastReadAt_ >= Settings_.ReadInterval_;
    if (!State.InForce_ || (!Due && !State.ReadRequiredSince_))
      continue;
    State.LastReadAt_ = Now;
    Read.Contracts_.push_back(Name);
  }
  if (Read.Contracts_.empty())
    return;
  ReadSentAt_ = Now;
  Out.emplace_back(std::move(Read));
}

bool ShareAllocator::Impl::mayWrite(const ContractState &State,
                                    TimePoint Now) const {
  if (!State.InForce_ || State.ReadRequiredSince_ ||
      State.Replica_.isAwaitingAnswer())
    return false;
  if (!Lease_.holdsAt(Now) || !State.Replica_.isConfirmedIn(Lease_))
    return false;
  // A stopping instance releases its share once, as soon as it can.
  return Stopping_ || !State.LastWriteAt_ ||
         Now - *State.LastWriteAt_ >= Settings_.WriteInterval_;
}

bool ShareAllocator::Impl::acquireWriteSlot(TimePoint Now) {
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
  const bool HasShare = State.Replica_.ledger().shareOf(Self_) > 0;
  if (Stopping_ && HasShare)
    return planRelease(Input);
  auto Plan = Stopping_ ? std::nullopt : planShares(Input);
  // Writing the same value again gives the row a new version, after which no
  // earlier write can be applied.
  if (!Plan && State.Replica_.needsConfirmingWrite())
    return SharePlan{State.Replica_.ledger(), {}};
  return Plan;
}

Transaction ShareAllocator::Impl::prepareWrite(const ContractName &Name,
                                               ContractState &State,
                                               const SharePlan &Plan,
                                               TimePoint Now) {
  ShareLedgerRecord Record = Plan.Ledger_.record();
  Record.Contract_ = Name;
  const TransactionId Id(BootId_ + "/share/" + std::to_string(++Serial_));
  const RowVersion Expected = State.Replica_.version();
  State.LastWriteAt_ = Now;
  State.Replica_.addPending(
      {Id, Expected, Record, Plan.Ledger_.shareOf(Self_), Now, true});
  return {Id,
          Plan.Guards_,
          {{{RowKind::ShareLedger, Name.str()}, Expected, RowValue(Record)}}};
}

void ShareAllocator::Impl::issueDueWrites(const LivenessTracker &Tracker,
                                          TimePoint Now, Actions &Out) {
  const std::vector<Member> Members = Tracker.members(Now);
  for (auto &[Name, State] : Contracts_) {
    const bool IsFresh = std::exchange(State.IsFreshlyRead_, false);
    if (!mayWrite(State, Now))
      continue;
    auto Plan = plan(Name, State, Tracker, Members);
    if (!Plan) {
      State.ReadForWriteAt_.reset();
      State.IsReadForWrite_ = false;
      State.HadConflict_ = false;
      continue;
    }
    const bool MustDefer = Plan->DeferPermille_ > 0 && !State.IsReadForWrite_;
    if (!IsFresh || MustDefer || !acquireWriteSlot(Now)) {
      scheduleWrite(Name, State, *Plan, Now);
      continue;
    }
    State.ReadForWriteAt_.reset();
    State.IsReadForWrite_ = false;
    Out.emplace_back(CommitLedger{prepareWrite(Name, State, *Plan, Now)});
  }
}

// Instances that observe the same demand would write at the same time, and all
// but one write would conflict. Each instance therefore waits for an individual
// part of the write spread and reads again.
Duration ShareAllocator::Impl::writeDelay(const ContractName &Name,
                                          std::int32_t DeferPermille) const {
  const Duration Deferred =
      Settings_.WriteSpread_ * DeferPermille / WholeLimitPermille;
  const auto Jitter =
      static_cast<std::uint64_t>(Settings_.WriteSpread_.count() / 4) + 1;
  const std::string HashInput = Self_.str() + "/" + std::to_string(Serial_);
  const std::uint64_t Score = rendezvousScore(Name.str(), HashInput);
  return Deferred + Duration(static_cast<Duration::rep>(Score % Jitter));
}

void ShareAllocator::Impl::scheduleWrite(const ContractName &Name,
                                         ContractState &State,
                                         const SharePlan &Plan, TimePoint Now) {
  if (!State.ReadForWriteAt_)
    State.ReadForWriteAt_ =
        Stopping_ && !State.HadConflict_
            ? Now
            : Now + writeDelay(Name,
                               State.HadConflict_ ? 0 : Plan.DeferPermille_);
  if (*State.ReadForWriteAt_ > Now)
    return;
  State.ReadForWriteAt_.reset();
  State.ReadRequiredSince_ = Now;
  State.IsReadForWrite_ = true;
}

Actions ShareAllocator::Impl::handle(const ShareTick &Event, TimePoint Now) {
  Actions Out;
  expireOperations(Now);
  if (Event.Tracker_)
    issueDueWrites(*Event.Tracker_, Now, Out);
  issueDueReads(Now, Out);
  return Out;
}

ShareAllocator::ShareAllocator(InstanceName Self, std::string BootId,
                               ShareSettings Settings)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Self_ = std::move(Self);
  Impl_->BootId_ = std::move(BootId);
  Impl_->Settings_ = Settings;
}
ShareAllocator::~ShareAllocator() = default;
ShareAllocator::ShareAllocator(ShareAllocator &&) noexcept = default;
ShareAllocator &ShareAllocator::operator=(ShareAllocator &&) noexcept = default;

std::vector<ShareAction> ShareAllocator::handle(const ShareEvent &Event,
                                                TimePoint Now) {
  return std::visit(
      [&](const auto &Alternative) { return Impl_->handle(Alternative, Now); },
      Event);
}

ShareGrant ShareAllocator::grant(const ContractName &Contract,
                                 TimePoint Now) const {
  auto It = Impl_->Contracts_.find(Contract);
  const bool IsKnown = It != Impl_->Contracts_.end();
  if (!IsKnown || !It->second.InForce_ || Impl_->Stopping_)
    return {};
  return {It->second.Replica_.usable(Impl_->Lease_, Now), Impl_->Lease_.Until_};
}

bool ShareAllocator::isReleased() const {
  return Impl_->Stopping_ &&
         std::ranges::none_of(Impl_->Contracts_, [this](const auto &Item) {
           const LedgerReplica &Replica = Item.second.Replica_;
           return Replica.hasPending() ||
                  (Replica.isKnown() &&
                   Replica.ledger().shareOf(Impl_->Self_) > 0);
         });
}

} // namespace filbertspring::membership
