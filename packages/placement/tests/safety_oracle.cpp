#include "safety_oracle.h"

#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace filbertspring::placement::test {
namespace {

std::string nameOfAttempt(const AttemptRef &Attempt) {
  return fmt::format("{}.{}#{}", Attempt.Task_.Job_.str(), Attempt.Task_.Index_,
                     Attempt.Attempt_);
}

bool hasEnded(TaskState State) {
  return State != TaskState::Waiting && State != TaskState::Claimed;
}

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void SafetyOracle::object(std::string Text) {
  Objections_.push_back(std::move(Text));
}

void SafetyOracle::rowWritten(const StoredRow &Row, Duration Now) {
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

void SafetyOracle::transactionEnded() {
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
      object("committed beyond the capacity of " + Worker.Name_.str());
  }
  for (const auto &[Contract, Sum] : Used) {
    auto Grant =
        std::ranges::find(Rack.Grants_, Contract, &QuotaGrant::Contract_);
    if (Grant == Rack.Grants_.end() || !Sum.fitsIn(Grant->Amount_))
      object("used more than the grant in " + Rack.Name_.str());
  }
}

void SafetyOracle::checkQuota(const ContractName &Contract) {
  Resources Granted;
  for (const RackGrant &Grant : Ledgers_[Contract].Grants_) {
    Granted += Grant.Amount_;
    const std::vector<QuotaGrant> &Held = Racks_[Grant.Rack_].Grants_;
    auto Found = std::ranges::find(Held, Contract, &QuotaGrant::Contract_);
    if (Found == Held.end() || Found->Amount_ != Grant.Amount_)
      object("ledger and rack disagree on a grant of " + Contract.str());
  }
  Resources InRacks;
  for (const auto &[Name, Rack] : Racks_)
    for (const QuotaGrant &Grant : Rack.Grants_)
      if (Grant.Contract_ == Contract)
        InRacks += Grant.Amount_;
  bool Grew = !InRacks.fitsIn(GrantedBefore_[Contract]);
  if (Grew && !InRacks.fitsIn(Quotas_[Contract]))
    object("grants grew above the quota of " + Contract.str());
  GrantedBefore_[Contract] = InRacks;
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
  bool WasOver = hasEnded(Before.State_);
  if (WasOver && After.State_ != Before.State_)
    object("an ended task changed: " + nameOfAttempt({Ref, After.Attempt_}));
  if (!WasOver && hasEnded(After.State_))
    EndedAt_[Ref] = Now;
  bool Claimed =
      After.State_ == TaskState::Claimed && After.Attempt_ != Before.Attempt_;
  if (!Claimed)
    return;
  if (After.Attempt_ != Before.Attempt_ + 1)
    object("an attempt number was left out or used again");
  if (Before.State_ != TaskState::Waiting)
    object("a task was claimed that did not wait");
  ClaimedFrom_[{Ref, After.Attempt_}] = Before.Checkpoint_;
}

void SafetyOracle::started(const StartCommand &Start) {
  Sizes_[Start.Attempt_] = Start.Size_;
  auto Claim = ClaimedFrom_.find(Start.Attempt_);
  if (Claim == ClaimedFrom_.end())
    object("started without a claim: " + nameOfAttempt(Start.Attempt_));
  else if (Claim->second != Start.Checkpoint_)
    object("resumed from another checkpoint: " + nameOfAttempt(Start.Attempt_));
}

void SafetyOracle::acknowledged(const AttemptReport &Report) {
  const AttemptRef &Attempt = Report.Attempt_;
  const Task &Entry =
      Jobs_.at(Attempt.Task_.Job_).Tasks_.at(Attempt.Task_.Index_);
  bool Later = Entry.Attempt_ > Attempt.Attempt_;
  bool Over = Entry.State_ != TaskState::Claimed;
  if (!Later && !Over)
    object("acknowledged before the table knew: " + nameOfAttempt(Attempt));
}

void SafetyOracle::heard(const RackName &Rack, std::int64_t Epoch,
                         const AttemptReport &Report) {
  bool Saved =
      Report.State_ == AttemptState::Stopped && !Report.Checkpoint_.empty();
  if (Saved)
    Heard_.insert_or_assign(Report.Attempt_,
                            HeardCheckpoint{Rack, Epoch, Report.Checkpoint_});
}

/// The task waits again: it must go on from what its owner heard.
void SafetyOracle::checkResume(const AttemptRef &Attempt, const Task &After) {
  auto Known = Heard_.find(Attempt);
  if (Known == Heard_.end())
    return;
  const HeardCheckpoint &Last = Known->second;
  if (Racks_[Last.Rack_].Epoch_ == Last.Epoch_ &&
      After.Checkpoint_ != Last.Checkpoint_)
    object("a checkpoint was lost: " + nameOfAttempt(Attempt));
}

void SafetyOracle::checkOverlap(const RealRun &Earlier, const RealRun &Later) {
  if (Earlier.Attempt_ == Later.Attempt_)
    object("an attempt ran twice: " + nameOfAttempt(Later.Attempt_));
  if (Later.From_ >= Earlier.Until_)
    return;
  object(fmt::format("{} on {} ran until {:.6f}, {} on {} since {:.6f}",
                     nameOfAttempt(Earlier.Attempt_), Earlier.Worker_.str(),
                     seconds(Earlier.Until_), nameOfAttempt(Later.Attempt_),
                     Later.Worker_.str(), seconds(Later.From_)));
}

void SafetyOracle::checkZone(const RealRun &Run) {
  const std::vector<ZoneChange> &Changes = ZoneChanges_[Run.Zone_];
  auto After =
      std::ranges::upper_bound(Changes, Run.From_, {}, &ZoneChange::At_);
  if (After == Changes.begin() || std::prev(After)->InService_)
    return;
  // The zone may have been taken out by several changes in a row.
  auto Out = std::prev(After);
  while (Out != Changes.begin() && !std::prev(Out)->InService_)
    --Out;
  if (Run.From_ - Out->At_ > StartBound_)
    object(fmt::format("{} started {:.3f} s after its zone was taken out",
                       nameOfAttempt(Run.Attempt_),
                       seconds(Run.From_ - Out->At_)));
}

void SafetyOracle::checkLoad(const WorkerName &Worker,
                             const std::vector<RealRun> &Runs,
                             const Resources &Capacity) {
  for (const RealRun &Each : Runs) {
    Resources Sum;
    for (const RealRun &Other : Runs)
      if (Other.From_ <= Each.From_ && Each.From_ < Other.Until_)
        Sum += Sizes_[Other.Attempt_];
    if (!Sum.fitsIn(Capacity))
      object("ran beyond the capacity of " + Worker.str());
  }
}

void SafetyOracle::checkRuns(
    std::vector<RealRun> Runs,
    const std::map<WorkerName, Resources> &Capacities) {
  std::ranges::stable_sort(Runs, {}, &RealRun::From_);
  std::map<TaskRef, RealRun> Last;
  std::map<WorkerName, std::vector<RealRun>> ByWorker;
  for (const RealRun &Run : Runs) {
    const TaskRef &Task = Run.Attempt_.Task_;
    if (auto Earlier = Last.find(Task); Earlier != Last.end())
      checkOverlap(Earlier->second, Run);
    Last[Task] = Run;
    checkZone(Run);
    ByWorker[Run.Worker_].push_back(Run);
    // A cancellation may meet a start that is under way.
    auto Ended = EndedAt_.find(Task);
    bool Cancelled = Jobs_.at(Task.Job_).Tasks_.at(Task.Index_).State_ ==
                     TaskState::Cancelled;
    if (Ended != EndedAt_.end() && !Cancelled && Run.From_ > Ended->second)
      object("an ended task ran again: " + nameOfAttempt(Run.Attempt_));
  }
  for (const auto &[Worker, Each] : ByWorker)
    checkLoad(Worker, Each, Capacities.at(Worker));
}

} // namespace filbertspring::placement::test
