/// \file
/// The part of CellOwner that takes the cell over and gives it up.

#include "cell_owner.h"
#include "filbertspring/base/log.h"
#include "rows.h"
#include "store_access.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring::node {
namespace {

using scheduling::CommitOutcome;
using scheduling::CommitResult;
using scheduling::OwnerRecord;
using scheduling::Row;
using scheduling::RowTransaction;

/// The interval at which a weak owner looks for a stronger instance.
constexpr Duration SuccessorSearchInterval = std::chrono::milliseconds(2000);
/// An owner whose release was not taken up releases the cell again after this
/// time at the earliest, because each change of the owner delays starts.
constexpr Duration ReleaseRetryDelay = std::chrono::seconds(30);
/// How long a weak owner leaves the cell to others after its release. Longer
/// than the longest delay of a candidate and the interval of its reads.
constexpr Duration ReleasePause = std::chrono::seconds(4);
/// More than one, because the strongest instance may be away.
constexpr std::size_t MaxSuccessorsAsked = 3;
/// Added to the validity of a predecessor's grants: the drift of a worker's
/// clock during a grant, and the time to kill a task.
constexpr Duration GrantSlack = std::chrono::milliseconds(500);

} // namespace

void CellOwner::handleLeaseChange() {
  PredecessorLeases_.rowRead(Lease_.record(), Lease_.version(),
                             SchedulerClock::now());
  if (Tenure_ && !Lease_.isOwner())
    endTenure("another owner's row was read");
  // A takeover whose answer was lost took effect after the release.
  if (IsReleased_ && !IsReleasing_ && !IsTakingOver_ && Lease_.isOwner())
    return storeRelease();
  takeOverIfDue();
}

void CellOwner::takeOverIfDue() {
  if (IsReleased_ || IsReleasing_ || IsTakingOver_ || Tenure_ || !Queues_ ||
      SchedulerClock::now() < TakeoverPauseEnd_ ||
      !(Lease_.isOwner() || Lease_.shouldTakeOver(SchedulerClock::now())))
    return;
  // If the row already names this instance although it has no tenure, the
  // answer to an earlier takeover was lost.
  takeOver();
}

void CellOwner::takeOver() {
  IsTakingOver_ = true;
  TimePoint SentAt = SchedulerClock::now();
  OwnerRecord NewOwner = Lease_.takeoverRecord();
  Predecessor_ = Lease_.record().Holder_;
  PredecessorSilence_ = Lease_.unchangedDuration();
  PredecessorGrantsEnd_ = PredecessorLeases_.grantsEnd(SentAt);
  NotedLeases_ = PredecessorLeases_.notedLeases();
  TenureStarts_ = PredecessorLeases_.tenureStarts();
  NewOwner.TenureAges_ = scheduling::makeTenureAges(TenureStarts_, SentAt);
  NewOwner.EarlierGrants_ =
      std::max(PredecessorGrantsEnd_ - SentAt, Duration::zero());
  NewOwner.Notes_ = scheduling::makeLeaseNotes(NotedLeases_, SentAt);
  RowTransaction Takeover;
  Takeover.Conditions_.push_back({ownerKey(), Lease_.version()});
  Takeover.Writes_.push_back(
      makeRow(ownerKey(), scheduling::encodeOwnerRecord(NewOwner)));
  Store_.commit(Takeover, StoreCallTimeout,
                [this, NewOwner, SentAt](const CommitResult &Outcome) {
                  IsTakingOver_ = false;
                  if (Outcome.Outcome_ != CommitOutcome::Committed)
                    logEvent(LogEvent::CellTakeoverFailed,
                             {{"outcome", nameOf(scheduling::CommitOutcomeNames,
                                                 Outcome.Outcome_)},
                              {"took_ms", (SchedulerClock::now() - SentAt) /
                                              std::chrono::milliseconds(1)},
                              {"owner", Lease_.record().Holder_}});
                  if (Outcome.Outcome_ == CommitOutcome::Conflict)
                    return;
                  if (Outcome.Outcome_ != CommitOutcome::Committed)
                    return Lease_.takeoverFailed(SchedulerClock::now());
                  Lease_.rowWritten(NewOwner, Outcome.Version_, SentAt);
                  if (IsReleased_)
                    return storeRelease();
                  beginTenure();
                });
}

double CellOwner::strongestCores() const {
  double Strongest = Settings_.capacityCores();
  for (const RelayCandidate &Other : Relays_)
    Strongest = std::max(Strongest, Other.CapacityCores_);
  return Strongest;
}

void CellOwner::beginTenure() {
  scheduling::SchedulerSettings Settings;
  // The store's version counter never decreases, so it serves as fencing token.
  Settings.OwnerToken_ = Lease_.version();
  Settings.Tenure_ = Lease_.record().Tenure_ - 1;
  Settings.MaxLease_ = Settings_.MaxLease_;
  Settings.LeaseDuration_ =
      std::min(Settings.LeaseDuration_, Settings_.MaxLease_);
  TimePoint Now = SchedulerClock::now();
  Settings.PredecessorLeaseLimit_ =
      PredecessorGrantsEnd_ + Settings.LeaseDuration_ + GrantSlack - Now;
  Settings.KillTimeout_ = Settings_.KillTimeout_;
  Settings.FinalStateRetention_ = Settings_.StateRetention_;
  Settings.MinCancellationRetention_ = Settings_.MinCancellationRetention_;
  Settings.FarFactor_ = Settings_.RemoteDataSlowdown_;
  Tenure_ = std::make_shared<Tenure>(Loop_, Counters_, Settings_.PeerAddress_,
                                     Settings, Now,
                                     [this] { requestSchedulingCycle(); });
  Tenure_->Scheduler_.restoreLeaseNotes(NotedLeases_);
  // Runs are numbered from tenure 0, rows from tenure 1.
  scheduling::TenureStarts Starts;
  for (const auto &[Number, Start] : TenureStarts_)
    Starts[Number - 1] = Start;
  Tenure_->Scheduler_.restoreTenureStarts(std::move(Starts));
  TenureStarts_[Lease_.record().Tenure_] = Now;
  Tenure_->Calls_.channel().routes().setCandidates(Relays_);
  Tenure_->Scheduler_.configure(Queues_);
  Tenure_->Scheduler_.setClosedZones(ClosedZones_);
  logEvent(LogEvent::CellOwned,
           {{"token", static_cast<std::int64_t>(Settings.OwnerToken_)},
            {"tenure", static_cast<std::int64_t>(Settings.Tenure_)},
            {"predecessor", Predecessor_},
            {"silent_ms", PredecessorSilence_ / std::chrono::milliseconds(1)},
            {"leases_ms",
             Settings.PredecessorLeaseLimit_ / std::chrono::milliseconds(1)},
            {"noted_workers", static_cast<std::int64_t>(NotedLeases_.size())},
            {"cores", fmt::format("{:.3}", Settings_.capacityCores())},
            {"strongest_cores", fmt::format("{:.3}", strongestCores())}});
  load(Tenure_);
}

void CellOwner::endTenure(const char *Cause) {
  logEvent(LogEvent::CellLost, {{"cause", Cause}});
  // The caller may run inside a callback of this tenure, so it is destroyed
  // later.
  Loop_.after(Duration::zero(), [EndedTenure = std::move(Tenure_)] {});
  Tenure_ = nullptr;
  RegisteredWorkers_.clear();
  WorkspaceMetrics_.publish({}, SchedulerClock::now());
}

void CellOwner::release() {
  IsReleased_ = true;
  // A takeover that is still open is released once it has succeeded.
  if (!Tenure_)
    return;
  endTenure("this instance stops");
  storeRelease();
}

void CellOwner::storeRelease() {
  scheduling::OwnerRecord Released = Lease_.releaseRecord();
  RowTransaction Release;
  Release.Conditions_.push_back({ownerKey(), Lease_.version()});
  Release.Writes_.push_back(
      makeRow(ownerKey(), scheduling::encodeOwnerRecord(Released)));
  IsReleasing_ = true;
  Store_.commit(Release, StoreCallTimeout,
                [this, Released, SentAt = SchedulerClock::now(),
                 SentVersion = Lease_.version()](const CommitResult &Outcome) {
                  IsReleasing_ = false;
                  handleReleaseResult(Released, SentAt, SentVersion, Outcome);
                });
}

void CellOwner::handleReleaseResult(const scheduling::OwnerRecord &Released,
                                    TimePoint SentAt, std::uint64_t SentVersion,
                                    const CommitResult &Outcome) {
  if (Outcome.Outcome_ == CommitOutcome::Committed)
    return Lease_.rowWritten(Released, Outcome.Version_, SentAt);
  for (const Row &Current : Outcome.CurrentRows_)
    if (Current.Key_.Key_ == OwnerKey)
      Lease_.rowRead(scheduling::decodeOwnerRecord(Current.Value_),
                     Current.Version_, SentAt);
  // A renewal that was open at the release has changed the row's version.
  if (Outcome.Outcome_ == CommitOutcome::Conflict && Lease_.isOwner() &&
      Lease_.version() != SentVersion)
    return storeRelease();
  // If the release is lost, candidates take over when the row is no longer
  // renewed.
  logEvent(LogEvent::CommitUnknown, {{"row", OwnerKey}});
}

void CellOwner::seekSuccessor(TimePoint Now) {
  if (Now < NextSuccessorSearchAt_)
    return;
  NextSuccessorSearchAt_ = Now + SuccessorSearchInterval;
  SuccessorSearch_.run(
      selectSuccessors(Relays_, Settings_.capacityCores(), MaxSuccessorsAsked),
      [this, Reference = TenureRef(Tenure_)] {
        if (!findActiveTenure(Reference))
          return;
        TimePoint ReleasedAt = SchedulerClock::now();
        NextSuccessorSearchAt_ = ReleasedAt + ReleaseRetryDelay;
        TakeoverPauseEnd_ = ReleasedAt + ReleasePause;
        endTenure("a stronger instance can own the cell");
        storeRelease();
      });
}

} // namespace filbertspring::node
