#include "row_updates.h"

#include "job_rejection.h"
#include "rack_ownership.h"

#include "filbertspring/base/overloaded.h"
#include "filbertspring/placement/job_rank.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

bool holdsAttemptOf(const SchedulerCore &Core, const JobId &Job) {
  auto First = Core.RackOfAttempt_.lower_bound({{Job, 0}, 0});
  return First != Core.RackOfAttempt_.end() && First->first.Task_.Job_ == Job;
}

bool isOver(const JobRecord &Job) {
  return std::ranges::none_of(Job.Tasks_, [](const Task &Each) {
    return Each.State_ == TaskState::Waiting ||
           Each.State_ == TaskState::Claimed;
  });
}

/// Returns how long this instance leaves a new job to others.
Duration fallbackDelay(const SchedulerCore &Core, const JobId &Job) {
  const TimingSettings &Timing = Core.Settings_.Timing_;
  std::size_t Rank = jobRank(Job, Core.Self_, Core.LiveInstances_);
  return Timing.FallbackDelayPerRank_ *
         static_cast<std::int64_t>(std::min(Rank, Timing.MaxFallbackRank_));
}

void queueJob(SchedulerCore &Core, JobEntry &Entry) {
  Core.Jobs_.updateQueue(Entry, Core.Now_);
  if (Entry.Queued_)
    for (const auto &[Name, Rack] : Core.Racks_)
      Core.markDirty(Name);
  if (Entry.EligibleAt_ > Core.Now_)
    Core.Timers_.set({TimerKind::Job, Entry.Record_.Id_.str()},
                     Entry.EligibleAt_);
}

void takeJob(SchedulerCore &Core, const JobRecord &Job, RowVersion Version) {
  JobEntry *Known = Core.Jobs_.find(Job.Id_);
  if (Known != nullptr && Version < Known->Version_)
    return;
  if (Known != nullptr && Version == Known->Version_) {
    Known->Stale_ = false;
    queueJob(Core, *Known);
    return;
  }
  stopUnclaimedAttempts(Core, Job);
  if (Known == nullptr && isOver(Job) && !holdsAttemptOf(Core, Job.Id_))
    return;
  bool New = Known == nullptr;
  JobEntry &Entry = Core.Jobs_.upsert(Job, Version);
  if (New)
    Entry.EligibleAt_ = Core.Now_ + fallbackDelay(Core, Job.Id_);
  queueJob(Core, Entry);
  eraseEndedJob(Core, Job.Id_);
}

void takeZone(SchedulerCore &Core, const AvailabilityZone &Zone,
              RowVersion Version) {
  const auto *Before = findRow(Core.Table_.Zones_, Zone.Name_);
  bool WasOut = Before != nullptr && !Before->Value_.inService();
  if (!adoptNewer(Core.Table_.Zones_, Zone.Name_, Zone, Version))
    return;
  if (WasOut && Zone.inService())
    Core.Ramps_[Zone.Name_].restart(Core.Now_);
  Core.markAllRacksDirty();
}

void takeContract(SchedulerCore &Core, const ContractRecord &Contract,
                  RowVersion Version) {
  const ContractName &Name = Contract.Terms_.Name_;
  if (adoptNewer(Core.Table_.Contracts_, Name, Contract, Version))
    Core.markAllRacksDirty();
}

void takeLedger(SchedulerCore &Core, const QuotaLedgerRecord &Ledger,
                RowVersion Version) {
  if (adoptNewer(Core.Table_.Ledgers_, Ledger.Contract_, Ledger, Version))
    Core.markAllRacksDirty();
}

/// Takes in that the row of \p Job does not exist.
void takeAbsentJob(SchedulerCore &Core, const JobId &Job) {
  if (!holdsAttemptOf(Core, Job)) {
    Core.Jobs_.erase(Job);
    return;
  }
  JobRecord Gone;
  Gone.Id_ = Job;
  stopUnclaimedAttempts(Core, Gone);
  Core.Jobs_.upsert(Gone, AbsentVersion);
}

} // namespace

ClaimStatus claimStatusOf(const JobRecord &Job, const AttemptRef &Attempt) {
  auto Index = static_cast<std::size_t>(Attempt.Task_.Index_);
  if (Index >= Job.Tasks_.size())
    return ClaimStatus::NotClaimed;
  const Task &Entry = Job.Tasks_[Index];
  if (Entry.Attempt_ < Attempt.Attempt_)
    return ClaimStatus::NotYetVisible;
  bool Claimed =
      Entry.State_ == TaskState::Claimed && Entry.Attempt_ == Attempt.Attempt_;
  return Claimed ? ClaimStatus::Claimed : ClaimStatus::NotClaimed;
}

void stopUnclaimedAttempts(SchedulerCore &Core, const JobRecord &Job) {
  auto Next = Core.RackOfAttempt_.lower_bound({{Job.Id_, 0}, 0});
  for (; Next != Core.RackOfAttempt_.end(); ++Next) {
    const AttemptRef &Attempt = Next->first;
    if (Attempt.Task_.Job_ != Job.Id_)
      return;
    TrackedAttempt &Held = *Core.findAttempt(Attempt);
    bool Disowned = claimStatusOf(Job, Attempt) == ClaimStatus::NotClaimed;
    if (!Disowned || Held.Stop_ == StopMode::Immediate)
      continue;
    Held.Stop_ = StopMode::Immediate;
    Held.StopReason_ = "no longer claimed by its job";
    if (WorkerState *Worker = Core.findWorker(Held.Worker_))
      Core.scheduleExchangeNow(*Worker);
  }
}

void eraseEndedJob(SchedulerCore &Core, const JobId &Job) {
  const JobEntry *Entry = Core.Jobs_.find(Job);
  if (Entry == nullptr || Entry->Locked_)
    return;
  if (isOver(Entry->Record_) && !holdsAttemptOf(Core, Job))
    Core.Jobs_.erase(Job);
}

void applyRow(SchedulerCore &Core, const StoredRow &Row,
              std::optional<TimePoint> ProvedAt) {
  std::visit(Overloaded{[&](const ContractRecord &Value) {
                          takeContract(Core, Value, Row.Version_);
                        },
                        [&](const AvailabilityZone &Value) {
                          takeZone(Core, Value, Row.Version_);
                        },
                        [&](const RackRecord &Value) {
                          applyRackRow(Core, Value, Row, ProvedAt);
                        },
                        [&](const JobRecord &Value) {
                          takeJob(Core, Value, Row.Version_);
                        },
                        [&](const QuotaLedgerRecord &Value) {
                          takeLedger(Core, Value, Row.Version_);
                        },
                        [](const auto &) {}},
             Row.Value_);
}

void applyAbsentRow(SchedulerCore &Core, const RowKey &Key) {
  switch (Key.Kind_) {
  case RowKind::Rack:
    applyAbsentRackRow(Core, RackName(Key.Name_));
    break;
  case RowKind::QuotaLedger: {
    ContractName Name(Key.Name_);
    Core.Table_.Ledgers_.try_emplace(
        Name, Versioned<QuotaLedgerRecord>{{Name, {}}, AbsentVersion});
    Core.markAllRacksDirty();
    break;
  }
  case RowKind::Job:
    takeAbsentJob(Core, JobId(Key.Name_));
    Core.markAllRacksDirty();
    break;
  default:
    break;
  }
}

void applyScan(SchedulerCore &Core, RowKind Kind,
               const std::vector<StoredRow> &Rows) {
  if (Kind == RowKind::Zone)
    Core.Table_.ZonesComplete_ = true;
  if (Kind != RowKind::Job)
    return;
  rejectImpossible(Core, Rows);
}

} // namespace filbertspring::placement
