#include "row_updates.h"

#include "job_rejection.h"
#include "rack_ownership.h"

#include "filbertspring/base/overloaded.h"
#include "filbertspring/placement/job_rank.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

bool tracksAttemptOf(const SchedulerCore &Core, const JobId &Job) {
  auto First = Core.RackOfAttempt_.lower_bound({{Job, 0}, 0});
  return First != Core.RackOfAttempt_.end() && First->first.Task_.Job_ == Job;
}

bool hasEnded(const JobRecord &Job) {
  return std::ranges::none_of(Job.Tasks_, [](const Task &Entry) {
    return Entry.State_ == TaskState::Waiting ||
           Entry.State_ == TaskState::Claimed;
  });
}

/// Returns how long this instance leaves a new job to instances of earlier
/// rank.
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

void applyJobRow(SchedulerCore &Core, const JobRecord &Job,
                 RowVersion Version) {
  JobEntry *Existing = Core.Jobs_.find(Job.Id_);
  if (Existing != nullptr && Version < Existing->Version_)
    return;
  if (Existing != nullptr && Version == Existing->Version_) {
    Existing->Stale_ = false;
    queueJob(Core, *Existing);
    return;
  }
  stopUnclaimedAttempts(Core, Job);
  if (Existing == nullptr && hasEnded(Job) && !tracksAttemptOf(Core, Job.Id_))
    return;
  bool IsNew = Existing == nullptr;
  JobEntry &Entry = Core.Jobs_.upsert(Job, Version);
  if (IsNew)
    Entry.EligibleAt_ = Core.Now_ + fallbackDelay(Core, Job.Id_);
  queueJob(Core, Entry);
  eraseEndedJob(Core, Job.Id_);
}

void applyZoneRow(SchedulerCore &Core, const AvailabilityZone &Zone,
                  RowVersion Version) {
  const auto *Previous = findRow(Core.Table_.Zones_, Zone.Name_);
  bool WasOut = Previous != nullptr && !Previous->Value_.inService();
  if (!storeIfNewer(Core.Table_.Zones_, Zone.Name_, Zone, Version))
    return;
  if (WasOut && Zone.inService())
    Core.Ramps_[Zone.Name_].restart(Core.Now_);
  Core.markAllRacksDirty();
}

void applyContractRow(SchedulerCore &Core, const ContractRecord &Contract,
                      RowVersion Version) {
  const ContractName &Name = Contract.Terms_.Name_;
  if (storeIfNewer(Core.Table_.Contracts_, Name, Contract, Version))
    Core.markAllRacksDirty();
}

void applyLedgerRow(SchedulerCore &Core, const QuotaLedgerRecord &Ledger,
                    RowVersion Version) {
  if (storeIfNewer(Core.Table_.Ledgers_, Ledger.Contract_, Ledger, Version))
    Core.markAllRacksDirty();
}

/// Records that the row of \p Job does not exist.
void applyAbsentJobRow(SchedulerCore &Core, const JobId &Job) {
  if (!tracksAttemptOf(Core, Job)) {
    Core.Jobs_.erase(Job);
    return;
  }
  JobRecord Deleted;
  Deleted.Id_ = Job;
  stopUnclaimedAttempts(Core, Deleted);
  Core.Jobs_.upsert(Deleted, AbsentVersion);
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
  auto It = Core.RackOfAttempt_.lower_bound({{Job.Id_, 0}, 0});
  for (; It != Core.RackOfAttempt_.end(); ++It) {
    const AttemptRef &Attempt = It->first;
    if (Attempt.Task_.Job_ != Job.Id_)
      return;
    TrackedAttempt &Tracked = *Core.findAttempt(Attempt);
    bool NotClaimed = claimStatusOf(Job, Attempt) == ClaimStatus::NotClaimed;
    if (!NotClaimed || Tracked.Stop_ == StopMode::Immediate)
      continue;
    Tracked.Stop_ = StopMode::Immediate;
    Tracked.StopReason_ = "no longer claimed by its job";
    if (WorkerState *Worker = Core.findWorker(Tracked.Worker_))
      Core.scheduleExchangeNow(*Worker);
  }
}

void eraseEndedJob(SchedulerCore &Core, const JobId &Job) {
  const JobEntry *Entry = Core.Jobs_.find(Job);
  if (Entry == nullptr || Entry->Locked_)
    return;
  if (hasEnded(Entry->Record_) && !tracksAttemptOf(Core, Job))
    Core.Jobs_.erase(Job);
}

void applyRow(SchedulerCore &Core, const StoredRow &Row,
              std::optional<TimePoint> SentAt) {
  std::visit(Overloaded{[&](const ContractRecord &Value) {
                          applyContractRow(Core, Value, Row.Version_);
                        },
                        [&](const AvailabilityZone &Value) {
                          applyZoneRow(Core, Value, Row.Version_);
                        },
                        [&](const RackRecord &Value) {
                          applyRackRow(Core, Value, Row, SentAt);
                        },
                        [&](const JobRecord &Value) {
                          applyJobRow(Core, Value, Row.Version_);
                        },
                        [&](const QuotaLedgerRecord &Value) {
                          applyLedgerRow(Core, Value, Row.Version_);
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
    applyAbsentJobRow(Core, JobId(Key.Name_));
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
