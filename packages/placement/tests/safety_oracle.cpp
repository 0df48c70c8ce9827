#include "safety_oracle.h"

#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace filbertspring::placement::test {
namespace {

std::string nameOfAttempt(const AttemptRef &Attempt) {
  return fmt::format("{}.{}#{}", Attempt.Task_.Job_.str(), Attempt.Task_.Index_,
                     Attempt.Attempt_);
}

bool hasEnded(TaskState State) {
  return State != TaskState::Waiting && State != TaskState::Claimed;
}

bool isMostlyFree(const Resources &Used, const Resources &Total) {
  return (Used + Used).fitsIn(Total);
}

double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void SafetyOracle::addViolation(std::string Text) {
  Violations_.push_back(std::move(Text));
}

void SafetyOracle::recordRow(const StoredRow &Row, Duration Now) {
  std::visit(
      Overloaded{[&](const RackRecord &Rack) {
                   checkRack(Rack);
                   Racks_[Rack.Name_] = Rack;
                 },
                 [&](const JobRecord &Job) { checkJob(Job, Now); },
                 [&](const QuotaLedgerRecord &Ledger) {
                   Ledgers_[Ledger.Contract_] = Ledger;
                 },
                 [&](const ContractRecord &Contract) {
                   Quotas_[Contract.Terms_.Name_] =
                       Contract.Terms_.Batch_->Quota_;
                 },
                 [&](const AvailabilityZone &Zone) {
                   ZoneChanges_[Zone.Name_].push_back({Now, Zone.inService()});
                 },
                 [](const auto &) {}},
      Row.Value_);
}

void SafetyOracle::checkTransaction() {
  for (const auto &[Contract, Quota] : Quotas_)
    checkQuota(Contract);
}

void SafetyOracle::checkRack(const RackRecord &Rack) {
  std::map<ContractName, Resources> Used;
  for (const RackWorker &Worker : Rack.Workers_) {
    Resources Sum = Worker.Reserved_;
    for (const Assignment &Entry : Worker.Assignments_) {
      Sum += Entry.Size_;
      Used[Entry.Contract_] += Entry.Size_;
    }
    if (!Sum.fitsIn(Worker.Capacity_))
      addViolation("committed beyond the capacity of " + Worker.Name_.str());
  }
  for (const auto &[Contract, Sum] : Used) {
    auto Grant =
        std::ranges::find(Rack.Grants_, Contract, &QuotaGrant::Contract_);
    if (Grant == Rack.Grants_.end() || !Sum.fitsIn(Grant->Amount_))
      addViolation("used more than the grant in " + Rack.Name_.str());
  }
}

void SafetyOracle::checkQuota(const ContractName &Contract) {
  Resources Granted;
  for (const RackGrant &Grant : Ledgers_[Contract].Grants_) {
    Granted += Grant.Amount_;
    const std::vector<QuotaGrant> &RackGrants = Racks_[Grant.Rack_].Grants_;
    auto Match =
        std::ranges::find(RackGrants, Contract, &QuotaGrant::Contract_);
    if (Match == RackGrants.end() || Match->Amount_ != Grant.Amount_)
      addViolation("ledger and rack disagree on a grant of " + Contract.str());
  }
  Resources InRacks;
  for (const auto &[Name, Rack] : Racks_)
    for (const QuotaGrant &Grant : Rack.Grants_)
      if (Grant.Contract_ == Contract)
        InRacks += Grant.Amount_;
  bool Grew = !InRacks.fitsIn(PreviouslyGranted_[Contract]);
  if (Grew && !InRacks.fitsIn(Quotas_[Contract]))
    addViolation("grants grew above the quota of " + Contract.str());
  PreviouslyGranted_[Contract] = InRacks;
}

void SafetyOracle::checkJob(const JobRecord &Job, Duration Now) {
  auto Before = Jobs_.find(Job.Id_);
  if (Before != Jobs_.end())
    for (std::size_t Index = 0; Index < Job.Tasks_.size(); ++Index)
      checkTask(Job, static_cast<std::int32_t>(Index),
                Before->second.Tasks_[Index], Job.Tasks_[Index], Now);
  Jobs_[Job.Id_] = Job;
}

void SafetyOracle::checkTask(const JobRecord &Job, std::int32_t Index,
                             const Task &Before, const Task &After,
                             Duration Now) {
  TaskRef Ref{Job.Id_, Index};
  bool HadEnded = hasEnded(Before.State_);
  if (HadEnded && After.State_ != Before.State_)
    addViolation("an ended task changed: " +
                 nameOfAttempt({Ref, After.Attempt_}));
  if (!HadEnded && hasEnded(After.State_))
    EndedAt_[Ref] = Now;
  if (After.Failures_ > Before.Failures_)
    FailedJobs_[Before.Placement_.Worker_].insert(Job.Id_);
  bool Claimed =
      After.State_ == TaskState::Claimed && After.Attempt_ != Before.Attempt_;
  if (!Claimed)
    return;
  if (After.Attempt_ != Before.Attempt_ + 1)
    addViolation("an attempt number was skipped or reused");
  if (Before.State_ != TaskState::Waiting)
    addViolation("a task was claimed that was not waiting");
  ClaimCheckpoints_[{Ref, After.Attempt_}] = Before.Checkpoint_;
}

void SafetyOracle::recordStart(const StartCommand &Start) {
  Sizes_[Start.Attempt_] = Start.Size_;
  auto Claim = ClaimCheckpoints_.find(Start.Attempt_);
  if (Claim == ClaimCheckpoints_.end())
    addViolation("started without a claim: " + nameOfAttempt(Start.Attempt_));
  else if (Claim->second != Start.Checkpoint_)
    addViolation("resumed from another checkpoint: " +
                 nameOfAttempt(Start.Attempt_));
}

void SafetyOracle::checkAcknowledgement(const AttemptReport &Report) {
  const AttemptRef &Attempt = Report.Attempt_;
  const Task &Entry =
      Jobs_.at(Attempt.Task_.Job_).Tasks_.at(Attempt.Task_.Index_);
  bool Superseded = Entry.Attempt_ > Attempt.Attempt_;
  bool AttemptEnded = Entry.State_ != TaskState::Claimed;
  if (!Superseded && !AttemptEnded)
    addViolation("acknowledged before its end was committed: " +
                 nameOfAttempt(Attempt));
}

void SafetyOracle::recordReport(const RackName &Rack, std::int64_t Epoch,
                                const AttemptReport &Report) {
  bool Saved =
      Report.State_ == AttemptState::Stopped && !Report.Checkpoint_.empty();
  if (Saved)
    ReportedCheckpoints_.insert_or_assign(
        Report.Attempt_, ReportedCheckpoint{Rack, Epoch, Report.Checkpoint_});
}

/// Checks a task that waits again after \p Attempt stopped: it must resume from
/// the checkpoint that was reported to the owner, unless the owner has changed.
void SafetyOracle::checkResume(const AttemptRef &Attempt, const Task &After) {
  auto Reported = ReportedCheckpoints_.find(Attempt);
  if (Reported == ReportedCheckpoints_.end())
    return;
  const ReportedCheckpoint &Expected = Reported->second;
  if (Racks_[Expected.Rack_].Epoch_ == Expected.Epoch_ &&
      After.Checkpoint_ != Expected.Checkpoint_)
    addViolation("a checkpoint was lost: " + nameOfAttempt(Attempt));
}

void SafetyOracle::checkOverlap(const AttemptRun &Earlier,
                                const AttemptRun &Later) {
  if (Earlier.Attempt_ == Later.Attempt_)
    addViolation("an attempt ran twice: " + nameOfAttempt(Later.Attempt_));
  if (Later.From_ >= Earlier.Until_)
    return;
  addViolation(fmt::format("{} on {} ran until {:.6f}, {} on {} since {:.6f}",
                           nameOfAttempt(Earlier.Attempt_),
                           Earlier.Worker_.str(), toSeconds(Earlier.Until_),
                           nameOfAttempt(Later.Attempt_), Later.Worker_.str(),
                           toSeconds(Later.From_)));
}

void SafetyOracle::checkZone(const AttemptRun &Run) {
  const std::vector<ZoneChange> &Changes = ZoneChanges_[Run.Zone_];
  auto After =
      std::ranges::upper_bound(Changes, Run.From_, {}, &ZoneChange::At_);
  if (After == Changes.begin() || std::prev(After)->InService_)
    return;
  // Several consecutive changes may have set the zone out of service; the start
  // bound counts from the first.
  auto Out = std::prev(After);
  while (Out != Changes.begin() && !std::prev(Out)->InService_)
    --Out;
  if (Run.From_ - Out->At_ > StartBound_)
    addViolation(fmt::format("{} started {:.3f} s after its zone was taken out",
                             nameOfAttempt(Run.Attempt_),
                             toSeconds(Run.From_ - Out->At_)));
}

bool SafetyOracle::couldRun(const JobRecord &Job) const {
  constexpr std::size_t JobsToQuarantine = 3;
  Resources Total;
  Resources Used;
  Resources UsedByContract;
  bool HasRoom = false;
  for (const auto &[Name, Rack] : Racks_)
    for (const RackWorker &Worker : Rack.Workers_) {
      Total += Worker.Capacity_;
      Used += Worker.committed();
      for (const Assignment &Entry : Worker.Assignments_)
        if (Entry.Contract_ == Job.Contract_)
          UsedByContract += Entry.Size_;
      auto Failed = FailedJobs_.find(Worker.Name_);
      bool Suspect = Failed != FailedJobs_.end() &&
                     Failed->second.size() >= JobsToQuarantine;
      HasRoom |= !Suspect && (Job.Size_ + Job.Size_).fitsIn(Worker.free());
    }
  return HasRoom && isMostlyFree(Used, Total) &&
         isMostlyFree(UsedByContract + Job.Size_, Quotas_.at(Job.Contract_));
}

void SafetyOracle::checkWaits(Duration Now) {
  constexpr Duration WaitLimit = std::chrono::milliseconds(6'400);
  std::map<AttemptRef, Duration> Previous = std::exchange(CouldRunSince_, {});
  for (const auto &[Id, Job] : Jobs_) {
    bool CouldRun = couldRun(Job);
    for (std::size_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
      const Task &Entry = Job.Tasks_[Index];
      if (!CouldRun || Entry.State_ != TaskState::Waiting)
        continue;
      AttemptRef Next{{Id, static_cast<std::int32_t>(Index)},
                      Entry.Attempt_ + 1};
      auto Before = Previous.find(Next);
      Duration Since = Before == Previous.end() ? Now : Before->second;
      if (Now - Since > WaitLimit)
        addViolation(fmt::format("{} has waited beside free workers since "
                                 "{:.3f}",
                                 nameOfAttempt(Next), toSeconds(Since)));
      CouldRunSince_[Next] = Since;
    }
  }
}

void SafetyOracle::checkLoad(const WorkerName &Worker,
                             const std::vector<AttemptRun> &Runs,
                             const Resources &Capacity) {
  for (const AttemptRun &Run : Runs) {
    Resources Sum;
    for (const AttemptRun &Other : Runs)
      if (Other.From_ <= Run.From_ && Run.From_ < Other.Until_)
        Sum += Sizes_[Other.Attempt_];
    if (!Sum.fitsIn(Capacity))
      addViolation("ran beyond the capacity of " + Worker.str());
  }
}

void SafetyOracle::checkRuns(
    std::vector<AttemptRun> Runs,
    const std::map<WorkerName, Resources> &Capacities) {
  std::ranges::stable_sort(Runs, {}, &AttemptRun::From_);
  std::map<TaskRef, AttemptRun> LastRuns;
  std::map<WorkerName, std::vector<AttemptRun>> ByWorker;
  for (const AttemptRun &Run : Runs) {
    const TaskRef &Task = Run.Attempt_.Task_;
    if (auto Earlier = LastRuns.find(Task); Earlier != LastRuns.end())
      checkOverlap(Earlier->second, Run);
    LastRuns[Task] = Run;
    checkZone(Run);
    ByWorker[Run.Worker_].push_back(Run);
    // A start command may already be in flight when the job is cancelled.
    auto Ended = EndedAt_.find(Task);
    bool Cancelled = Jobs_.at(Task.Job_).Tasks_.at(Task.Index_).State_ ==
                     TaskState::Cancelled;
    if (Ended != EndedAt_.end() && !Cancelled && Run.From_ > Ended->second)
      addViolation("an ended task ran again: " + nameOfAttempt(Run.Attempt_));
  }
  for (const auto &[Worker, WorkerRuns] : ByWorker)
    checkLoad(Worker, WorkerRuns, Capacities.at(Worker));
}

} // namespace filbertspring::placement::test
