#include "large_cell.h"

#include "filbertspring/scheduling/owner_lease.h"
#include "filbertspring/scheduling/progress_codec.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring::scheduling::test {
namespace {

constexpr Duration Tick = std::chrono::milliseconds(10);
/// Interval between two transactions.
constexpr Duration CommitInterval = std::chrono::milliseconds(25);
/// Delay of a transaction after one that failed.
constexpr Duration CommitRetryDelay = std::chrono::milliseconds(150);
/// After this time, the outcome of a transaction is unknown.
constexpr Duration CommitTimeout = std::chrono::milliseconds(900);
constexpr std::size_t MaxRows = 90;

std::string keyOf(const std::string &Worker, const TaskName &Name,
                  std::uint64_t Run) {
  return fmt::format("{} {} {}", Worker, Name.text(), Run);
}

} // namespace

LargeCell::LargeCell(const CellSize &Size) : Size_(Size) {
  auto Queues = std::make_shared<QueueTable>();
  Queue Batch;
  Batch.Name_ = "batch";
  Batch.Service_ = "service";
  Batch.Attempts_ = 3;
  Queues->Queues_ = {Batch};
  Queues_ = Queues;
  for (std::size_t Index = 0; Index < Size.Workers_; ++Index) {
    WorkerEntry Entry;
    Entry.Id_ = fmt::format("worker-{:04}", Index);
    Entry.Service_ = "service";
    Entry.Address_ = "address-" + Entry.Id_;
    Entry.Zone_ = fmt::format("zone-{}", Index % 4);
    Entry.Capacity_ = {64'000, 256'000, 0};
    Entry.StartedAtMs_ = 1;
    Workers_[Entry.Id_] = std::make_unique<SimulatedWorker>(
        Entry, 1.0, *this, [this](const TaskName &, std::uint64_t) {
          auto Work = std::uniform_int_distribution<Duration::rep>(
              Size_.ShortestTask_.count(), Size_.LongestTask_.count())(Random_);
          return TaskOutcome{Duration(Work), Random_() % 50 == 0};
        });
  }
  startTenure();
  run(std::chrono::seconds(1));
  for (std::size_t Index = 0; Index < Size.LongRunningJobs_; ++Index)
    submit(true);
}

LargeCell::~LargeCell() = default;

void LargeCell::startTenure() {
  SchedulerSettings Settings;
  Settings.OwnerToken_ = Tenure_ + 1;
  Settings.Tenure_ = Tenure_++;
  Scheduler_ = std::make_unique<Scheduler>(Settings, Now_);
  Scheduler_->configure(Queues_);
  ConfirmedAt_ = Now_;
  Outstanding_.reset();
  Renewals_.clear();
  Answers_.clear();
  for (const auto &[Id, Entry] : StoredWorkers_)
    Scheduler_->restoreWorker(Entry, Now_);
  for (const auto &[Id, Worker] : Workers_)
    Scheduler_->workerRegistered(Worker->entry(), Now_);
  for (const auto &[Id, Job] : Jobs_)
    Scheduler_->addJob(Job, Now_);
  std::map<std::string, JobProgress> Progress;
  for (const auto &[Id, Text] : Snapshots_)
    Progress[Id] = *decodeProgress(Text);
  for (const auto &[Number, Text] : Journal_)
    applyJournalRow({Number, *decodeJournal(Text)}, Progress);
  for (const auto &[Id, Stored] : Progress)
    Scheduler_->restoreProgress(Id, Stored);
  for (const auto &[Number, Text] : Journal_)
    Scheduler_->restoreJournalRow({Number, *decodeJournal(Text)});
}

void LargeCell::takeOver(Duration LoadTime) {
  Scheduler_.reset();
  LoadedAt_ = Now_ + LoadTime;
}

void LargeCell::failCommits(std::uint64_t Period, Duration Time) {
  FailurePeriod_ = Period;
  FailureTime_ = Time;
}

void LargeCell::restoreStore() {
  IsStoreLost_ = false;
  restartLimit();
}

void LargeCell::submit(bool IsLongRunning) {
  AcceptedJob Job;
  // A caller chooses the ids; they are in no order.
  Job.Id_ = fmt::format("{:016x}", Random_() ^ NextJob_++);
  Job.Queue_ = "batch";
  Job.Service_ = "service";
  StepSpec Step;
  Step.Count_ = Size_.TasksOfJob_;
  Step.Request_ = {IsLongRunning ? 1000 : 5700, 1000, 0};
  Step.Estimate_ = std::chrono::seconds(1);
  Step.IsLongRunning_ = IsLongRunning;
  Job.Spec_.Steps_ = {Step};
  Jobs_[Job.Id_] = Job;
  if (Scheduler_)
    Scheduler_->addJob(Job, Now_);
}

void LargeCell::submitJobs(std::size_t Count) {
  for (std::size_t Job = 0; Job < Count; ++Job)
    submit(false);
}

void LargeCell::run(Duration Time) {
  TimePoint End = Now_ + Time;
  while (Now_ < End)
    step();
}

void LargeCell::step() {
  Now_ += Tick;
  JobsDue_ +=
      Size_.JobsPerSecond_ * std::chrono::duration<double>(Tick).count();
  for (; NextJob_ >= Size_.LongRunningJobs_ && JobsDue_ >= 1; --JobsDue_)
    submit(false);
  for (auto &[Id, Worker] : Workers_)
    Worker->advance(Now_);
  if (LoadedAt_ && Now_ >= *LoadedAt_) {
    LoadedAt_.reset();
    startTenure();
    restartLimit();
  }
  if (!Scheduler_)
    return;
  for (const auto &[Sent, Outcome] : std::exchange(Answers_, {}))
    if (const auto *Start = std::get_if<StartTask>(&Sent))
      Scheduler_->startAnswered(Start->Worker_, Start->Name_, Start->Run_,
                                Outcome, Now_);
    else if (const auto *Stop = std::get_if<StopTask>(&Sent))
      Scheduler_->stopAnswered(Stop->Worker_, Stop->Name_, Stop->Run_, Outcome,
                               Now_);
  answerRenewals();
  if (!IsStoreLost_)
    ConfirmedAt_ = Now_;
  bool MaySendCommands = Now_ - ConfirmedAt_ < OwnerLeaseTimings().ValidFor_;
  Scheduler_->advance(Now_, 0, ConfirmedAt_, MaySendCommands);
  commit();
  for (const Action &NextAction : Scheduler_->takeActions())
    execute(NextAction);
  Scheduler_->takeLogRecords();
}

void LargeCell::execute(const Action &NextAction) {
  std::uint64_t Token = Tenure_;
  if (const auto *Renewal = std::get_if<RenewLease>(&NextAction)) {
    SimulatedWorker &Worker = *Workers_.at(Renewal->Worker_);
    WorkerReport Ignored;
    Worker.renew(*Renewal, Token, Now_, Ignored);
    HasNewEnd_[Renewal->Worker_] =
        !Ignored.EndedTasks_.empty() || Renewal->Wait_ == Duration::zero();
    Renewals_[Renewal->Worker_] = {*Renewal, Now_ + Renewal->Wait_};
  } else if (const auto *Start = std::get_if<StartTask>(&NextAction)) {
    Answers_.emplace_back(
        NextAction, Workers_.at(Start->Worker_)->start(*Start, Token, Now_));
  } else if (const auto *Stop = std::get_if<StopTask>(&NextAction)) {
    Answers_.emplace_back(NextAction,
                          Workers_.at(Stop->Worker_)->stop(*Stop, Token, Now_));
  }
}

/// Answers the renewals whose wait is over or whose worker has an end to list.
void LargeCell::answerRenewals() {
  for (auto It = Renewals_.begin(); It != Renewals_.end();) {
    const auto &[Worker, Waiting] = *It;
    if (!HasNewEnd_[Worker] && Now_ < Waiting.AnswerAt_) {
      ++It;
      continue;
    }
    WorkerReport Report;
    Workers_.at(Worker)->renew(Waiting.Renewal_, Tenure_, Now_, Report);
    RenewLease Answered = Waiting.Renewal_;
    It = Renewals_.erase(It);
    Scheduler_->renewalAnswered(Answered, Report, Now_);
  }
}

void LargeCell::commit() {
  if (Outstanding_ && Now_ < CommitEndsAt_)
    return;
  if (Outstanding_) {
    PendingWrites Writes = *std::exchange(Outstanding_, std::nullopt);
    if (CommitFails_) {
      Scheduler_->writesFailed(Writes);
      CommitEndsAt_ = Now_ + CommitRetryDelay;
    } else {
      apply(Writes);
      Scheduler_->writesStored(Writes, Now_);
      CommitEndsAt_ += CommitInterval - std::min(CommitInterval, CommitTime_);
    }
  }
  if (Now_ < CommitEndsAt_)
    return;
  if (Now_ - ConfirmedAt_ < OwnerLeaseTimings().ValidFor_)
    Scheduler_->place(Now_);
  if (!Scheduler_->hasWrites())
    return;
  Outstanding_ = Scheduler_->takeWrites(MaxRows);
  ++Commits_;
  bool IsRefused = FailurePeriod_ > 0 && Commits_ % FailurePeriod_ == 0;
  CommitFails_ = IsStoreLost_ || IsRefused;
  CommitEndsAt_ = Now_ + (IsStoreLost_ ? CommitTimeout
                          : IsRefused  ? FailureTime_
                                       : CommitTime_);
}

void LargeCell::apply(const PendingWrites &Writes) {
  if (!Writes.Journal_.Entries_.empty()) {
    std::string Row = encodeJournal(Writes.Journal_.Entries_);
    LargestJournalRow_ = std::max(LargestJournalRow_, Row.size());
    Journal_[Writes.Journal_.Number_] = std::move(Row);
  }
  for (const JournalRow &Rest : Writes.SnapshotRests_)
    Journal_[Rest.Number_] = encodeJournal(Rest.Entries_);
  for (std::uint64_t Number : Writes.RemovedJournalRows_)
    Journal_.erase(Number);
  for (const auto &[Id, Progress] : Writes.Progress_)
    Snapshots_[Id] = encodeProgress(Progress);
  for (const WorkerEntry &Entry : Writes.StoredWorkers_)
    StoredWorkers_[Entry.Id_] = Entry;
  for (const std::string &Id : Writes.RemovedWorkers_)
    StoredWorkers_.erase(Id);
}

void LargeCell::ended(const std::string &Worker, const TaskName &Name,
                      std::uint64_t Run, EndReason, TimePoint Now) {
  HasNewEnd_[Worker] = true;
  Ends_[keyOf(Worker, Name, Run)] = {Now, std::nullopt};
}

void LargeCell::acknowledged(const std::string &Worker, const TaskName &Name,
                             std::uint64_t Run, EndReason, bool,
                             TimePoint Now) {
  auto It = Ends_.find(keyOf(Worker, Name, Run));
  if (It != Ends_.end())
    It->second.AcknowledgedAt_ = Now;
}

EndStatistics LargeCell::takeStatistics(Duration Limit) {
  EndStatistics Result;
  for (auto It = Ends_.begin(); It != Ends_.end();) {
    const ObservedEnd &End = It->second;
    TimePoint Acknowledged = End.AcknowledgedAt_.value_or(Now_);
    Duration Time = Acknowledged - std::max(End.At_, LimitStart_);
    ++Result.Ended_;
    Result.Acknowledged_ += End.AcknowledgedAt_ ? 1 : 0;
    Result.Late_ += Time > Limit ? 1 : 0;
    Result.Longest_ = std::max(Result.Longest_, Time);
    It = End.AcknowledgedAt_ ? Ends_.erase(It) : std::next(It);
  }
  return Result;
}

std::size_t LargeCell::openJobs() const {
  return static_cast<std::size_t>(
      std::count_if(Jobs_.begin(), Jobs_.end(), [this](const auto &Entry) {
        std::optional<JobState> State = Scheduler_->stateOf(Entry.first);
        return State && !isFinal(*State);
      }));
}

} // namespace filbertspring::scheduling::test
