#include "rack_service.h"

#include "drain_planner.h"
#include "end_planner.h"
#include "grant_planner.h"
#include "rack_commits.h"
#include "start_planner.h"
#include "table_reads.h"
#include "worker_roster.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

std::size_t takeoversUnderWay(const SchedulerCore &Core) {
  return std::ranges::count_if(Core.Racks_, [](const auto &Item) {
    return Item.second.Pending_ && Item.second.Pending_->Takeover_;
  });
}

void takeOver(SchedulerCore &Core, RackState &Rack) {
  if (takeoversUnderWay(Core) >=
      Core.Settings_.Batch_.MaxConcurrentTakeovers_) {
    Rack.RetryAt_ = Core.Now_ + Core.Settings_.Timing_.InitialBackoff_;
    return;
  }
  RackRecord Record = Rack.Row_;
  Record.Name_ = Rack.Name_;
  Record.Zone_ = Rack.Zone_;
  Result<RackDraft> Draft = RackDraft::make(Record, Rack.Version_);
  if (!Draft) {
    Rack.RetryAt_ = Core.Now_ + Core.Settings_.Timing_.MaxBackoff_;
    return;
  }
  Draft->rack().takeOver(Core.Self_);
  planRosterUpdate(Core, Rack, *Draft);
  sendCommit(Core, Rack, *Draft, true, {});
}

/// Returns true when a transaction may have changes to make. Cheaper than
/// planning one.
bool hasWork(const SchedulerCore &Core, const RackState &Rack) {
  bool Starts = Core.Jobs_.hasQueuedJobs() &&
                Rack.BlockedGeneration_ != Core.Jobs_.generation();
  return Starts || hasEndedAttempts(Rack) || grantReturnsDue(Core, Rack) ||
         rosterNeedsUpdate(Core, Rack);
}

void commitChanges(SchedulerCore &Core, RackState &Rack) {
  if (!hasWork(Core, Rack))
    return;
  Result<RackDraft> Draft = RackDraft::make(Rack.Row_, Rack.Version_);
  if (!Draft)
    return;
  planRosterUpdate(Core, Rack, *Draft);
  planEnds(Core, Rack, *Draft);
  planGrantReturns(Core, Rack, *Draft);
  std::map<AttemptRef, TrackedAttempt> Starts = planStarts(Core, Rack, *Draft);
  if (Draft->touched())
    sendCommit(Core, Rack, *Draft, false, std::move(Starts));
}

void timeOutCommit(SchedulerCore &Core, RackState &Rack) {
  Duration Elapsed = Core.Now_ - Rack.Pending_->SentAt_;
  bool TimedOut = Elapsed >= Core.Settings_.Timing_.TableTimeout_;
  if (TimedOut && !Rack.Pending_->OutcomeUnknown_)
    handleUnknownOutcome(Core, Rack);
}

void setRackTimer(SchedulerCore &Core, const RackState &Rack) {
  const TimingSettings &Timing = Core.Settings_.Timing_;
  TimerKey Key{TimerKind::Rack, Rack.Name_.str()};
  TimePoint Next = Core.Now_ + Timing.OwnershipReadInterval_;
  if (Rack.Pending_ && !Rack.Pending_->OutcomeUnknown_)
    Next = Rack.Pending_->SentAt_ + Timing.TableTimeout_;
  else if (Rack.RetryAt_ > Core.Now_)
    Next = std::min(Next, Rack.RetryAt_);
  else if (Rack.Owned_ && Rack.NextRead_ > Core.Now_)
    Next = std::min(Next, Rack.NextRead_);
  Core.Timers_.set(Key, Next);
}

void requestRackIfDue(SchedulerCore &Core, RackState &Rack) {
  bool ConfirmationDue = Rack.Owned_ && Core.Now_ >= Rack.NextRead_;
  if (Rack.RowKnown_ && !ConfirmationDue)
    return;
  requestRack(Core, Rack.Name_);
  Rack.NextRead_ = Core.Now_ + Core.Settings_.Timing_.OwnershipReadInterval_;
}

/// Returns true when the next transaction of the rack may be sent.
bool mayCommit(const SchedulerCore &Core, const RackState &Rack) {
  RowKey Key{RowKind::Rack, Rack.Name_.str()};
  bool Reading = Core.RequestedRows_.contains(Key);
  return Rack.RowKnown_ && !Rack.Pending_ && !Reading &&
         Core.Now_ >= Rack.RetryAt_ && Core.PlatformReachable_;
}

} // namespace

void serviceRack(SchedulerCore &Core, RackState &Rack) {
  if (!Rack.Assigned_ && !Rack.Owned_ && !Rack.Pending_) {
    Core.Timers_.clear({TimerKind::Rack, Rack.Name_.str()});
    return;
  }
  if (Rack.Pending_)
    timeOutCommit(Core, Rack);
  requestRackIfDue(Core, Rack);
  if (Rack.Owned_)
    planEvictions(Core, Rack);
  if (mayCommit(Core, Rack)) {
    if (Rack.Owned_)
      commitChanges(Core, Rack);
    else if (Rack.Assigned_ && !Core.Draining_)
      takeOver(Core, Rack);
  }
  setRackTimer(Core, Rack);
}

} // namespace filbertspring::placement
