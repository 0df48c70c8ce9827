#include "slow_owner.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring::scheduling::test {
namespace {

using namespace std::chrono_literals;

constexpr Duration Step = 5ms;
/// The times of the owner's loop in production.
constexpr Duration ProbePeriod = 20ms;
constexpr Duration TickPeriod = 50ms;
constexpr Duration CycleWait = 8ms;
constexpr Duration CommitPeriod = 25ms;
constexpr Duration FeedPause = 250ms;
constexpr Duration CallTimeout = 600ms;
constexpr Duration NetworkDelay = 5ms;
constexpr Duration StoreDelay = 15ms;
/// Interval between two registrations of a worker.
constexpr double RegistrationsPerSecond = 0.66;
constexpr std::size_t StoreRows = 90;
constexpr std::uint64_t Token = 1;

std::string endOf(const std::string &Worker, const TaskName &Name,
                  std::uint64_t Run) {
  return fmt::format("{} {} {}", Worker, Name.text(), Run);
}

} // namespace

SlowOwner::SlowOwner(const SlowOwnerLoad &Load, const LoopCosts &Costs)
    : Load_(Load), Costs_(Costs) {
  auto Queues = std::make_shared<QueueTable>();
  Queue Urgent;
  Urgent.Name_ = "urgent";
  Urgent.Service_ = "service";
  Urgent.Attempts_ = 3;
  Urgent.TargetLatency_ = 2s;
  Queue Batch = Urgent;
  Batch.Name_ = "batch";
  Batch.Priority_ = 1;
  Queues->Queues_ = {Urgent, Batch};
  Scheduler_ = std::make_unique<Scheduler>(SchedulerSettings(), Now_);
  Scheduler_->configure(Queues);
  ConfirmedAt_ = BusyUntil_ = Now_;
  for (std::size_t Number = 0; Number < Load.Workers_; ++Number) {
    WorkerEntry Entry;
    Entry.Id_ = fmt::format("worker-{:04}", Number);
    Entry.Service_ = "service";
    Entry.Address_ = "address-" + Entry.Id_;
    Entry.Zone_ = fmt::format("zone-{}", Number % 4);
    Entry.Capacity_ = {16'000, 64'000, 0};
    Entry.StartedAtMs_ = 1;
    WorkerIds_.push_back(Entry.Id_);
    Workers_[Entry.Id_] = std::make_unique<SimulatedWorker>(
        Entry, 1.0, *this, [this](const TaskName &, std::uint64_t) {
          auto Time = std::uniform_int_distribution<Duration::rep>(
              Load_.ShortestTask_.count(), Load_.LongestTask_.count())(Random_);
          return TaskOutcome{Duration(Time), false};
        });
    Scheduler_->workerRegistered(Entry, Now_);
  }
  probe();
  tick();
  followWorkers();
  std::size_t Backlog = Load_.Backlog_ / Load_.TasksOfJob_;
  Load_.TasksPerSecond_ = 0;
  run(3s);
  Load_.TasksPerSecond_ = Load.TasksPerSecond_;
  for (std::size_t Job = 0; Job < Backlog; ++Job)
    submit(false);
}

void SlowOwner::after(Duration Delay, std::function<void()> Do) {
  Later_.push({Now_ + Delay, NextNumber_++, std::move(Do)});
}

void SlowOwner::arrive(Duration Delay, Work Item) {
  after(Delay, [this, Item = std::move(Item)] { Inbox_.push_back(Item); });
}

void SlowOwner::run(Duration Time) {
  TimePoint End = Now_ + Time;
  while (Now_ < End)
    step();
}

void SlowOwner::step() {
  Now_ += Step;
  double Seconds = std::chrono::duration<double>(Step).count();
  JobsDue_ += Load_.TasksPerSecond_ / Load_.TasksOfJob_ * Seconds;
  for (; JobsDue_ >= 1; --JobsDue_)
    submit(std::uniform_real_distribution<>(0, 1)(Random_) < Load_.Urgent_);
  if (NextJob_ > 0)
    DrainsDue_ += Load_.DrainsPerSecond_ * Seconds;
  for (; DrainsDue_ >= 1; --DrainsDue_)
    drainOne();
  if (NextJob_ > 0)
    CancellationsDue_ += Load_.CancellationsPerSecond_ * Seconds;
  for (; CancellationsDue_ >= 1; --CancellationsDue_)
    cancelOne();
  for (auto &[Id, Worker] : Workers_)
    Worker->advance(Now_);
  answerRenewals();
  while (!Later_.empty() && Later_.top().At_ <= Now_) {
    std::function<void()> Do = Later_.top().Do_;
    Later_.pop();
    Do();
  }
  runLoop();
}

void SlowOwner::runLoop() {
  BusyUntil_ = std::max(BusyUntil_, Now_ - Step);
  while (BusyUntil_ < Now_ && !Inbox_.empty()) {
    Work Next = std::move(Inbox_.front());
    Inbox_.pop_front();
    BusyUntil_ +=
        std::chrono::duration_cast<Duration>(Next() / Costs_.Processors_);
  }
}

/// Measures how late the loop is.
void SlowOwner::probe() {
  ProbeDueAt_ = Now_ + ProbePeriod;
  arrive(ProbePeriod, [this] {
    LastDelay_ = Now_ - ProbeDueAt_;
    Seen_.LongestDelay_ = std::max(Seen_.LongestDelay_, LastDelay_);
    probe();
    return Duration(0);
  });
}

void SlowOwner::tick() {
  arrive(TickPeriod, [this] {
    tick();
    return cycle();
  });
}

void SlowOwner::requestCycle() {
  if (std::exchange(IsCycleRequested_, true))
    return;
  arrive(CycleWait, [this] {
    IsCycleRequested_ = false;
    return cycle();
  });
}

/// One scheduling cycle: the commands, one after the other, then a placement
/// pass and a transaction.
Duration SlowOwner::cycle() {
  Admission_.observe(Now_, std::max(LastDelay_, Now_ - ProbeDueAt_));
  Scheduler_->advance(Now_, 0, ConfirmedAt_, true);
  Scheduler_->takeLogRecords();
  std::vector<Work> Commands;
  for (Action &Decided : Scheduler_->takeActions())
    Commands.push_back([this, Decided = std::move(Decided)] {
      execute(Decided);
      return Costs_.Command_;
    });
  Commands.push_back([this] { return commitIfDue(); });
  Inbox_.insert(Inbox_.begin(), Commands.begin(), Commands.end());
  return Duration(0);
}

Duration SlowOwner::commitIfDue() {
  if (IsCommitting_ || Now_ < NextCommitAt_)
    return Duration(0);
  Duration Cost{};
  std::size_t Limit =
      Load_.IsLimited_ ? Admission_.admit(Now_) : UnlimitedStarts;
  if (Limit > 0) {
    SchedulerCounts Before = Scheduler_->counts();
    std::size_t Placed = Scheduler_->place(Now_, Limit);
    std::uint64_t Considered =
        Scheduler_->counts().ConsideredWorkers_ - Before.ConsideredWorkers_;
    Cost +=
        Costs_.WaitingJob_ * static_cast<Duration::rep>(Before.WaitingTasks_ /
                                                        Load_.TasksOfJob_) +
        Costs_.ThousandWorkers_ * static_cast<Duration::rep>(Considered / 1000);
    Admission_.placed(
        Now_, Placed,
        std::chrono::duration_cast<Duration>(Cost / Costs_.Processors_));
  }
  if (!Scheduler_->hasWrites())
    return Cost;
  PendingWrites Writes = Scheduler_->takeWrites(StoreRows);
  std::size_t Tasks = 0;
  for (const auto &[Job, Changes] : Writes.Journal_.Entries_)
    Tasks += Changes.Tasks_.size();
  for (const auto &[Job, Snapshot] : Writes.Progress_)
    Tasks += Snapshot.Tasks_.size();
  Cost += Costs_.Transaction_ +
          Costs_.StoredTask_ * static_cast<Duration::rep>(Tasks);
  IsCommitting_ = true;
  NextCommitAt_ = Now_ + CommitPeriod;
  arrive(StoreDelay, [this, Writes = std::move(Writes), SentAt = Now_] {
    IsCommitting_ = false;
    ConfirmedAt_ = SentAt;
    Scheduler_->writesStored(Writes, Now_);
    requestCycle();
    return Costs_.Answer_;
  });
  return Cost;
}

void SlowOwner::execute(const Action &Decided) {
  if (const auto *Renewal = std::get_if<RenewLease>(&Decided))
    renew(*Renewal);
  else if (const auto *Start = std::get_if<StartTask>(&Decided))
    call(*Start, &SimulatedWorker::start, &Scheduler::startAnswered);
  else if (const auto *Stop = std::get_if<StopTask>(&Decided))
    call(*Stop, &SimulatedWorker::stop, &Scheduler::stopAnswered);
}

template <typename Command>
void SlowOwner::call(const Command &Sent,
                     CallOutcome (SimulatedWorker::*Carry)(const Command &,
                                                           std::uint64_t,
                                                           TimePoint),
                     void (Scheduler::*Report)(const std::string &,
                                               const TaskName &, std::uint64_t,
                                               CallOutcome, TimePoint)) {
  after(NetworkDelay, [=, this, SentAt = Now_] {
    CallOutcome Outcome =
        ((*Workers_.at(Sent.Worker_)).*Carry)(Sent, Token, Now_);
    arrive(NetworkDelay, [=, this] {
      // The loop's timers run before it reads answers.
      bool IsLate = Now_ - SentAt > CallTimeout;
      (*Scheduler_.*Report)(Sent.Worker_, Sent.Name_, Sent.Run_,
                            IsLate ? CallOutcome::NoAnswer : Outcome, Now_);
      requestCycle();
      return Costs_.Answer_;
    });
  });
}

void SlowOwner::renew(const RenewLease &Renewal) {
  after(NetworkDelay, [this, Renewal, SentAt = Now_] {
    WorkerReport Report;
    Workers_.at(Renewal.Worker_)->renew(Renewal, Token, Now_, Report);
    HasNewEnd_[Renewal.Worker_] =
        !Report.EndedTasks_.empty() || Renewal.Wait_ == Duration::zero();
    Renewals_[Renewal.Worker_] = {Renewal, SentAt, Now_ + Renewal.Wait_};
  });
}

/// Answers the renewals whose wait is over or whose worker has an end to list.
void SlowOwner::answerRenewals() {
  for (auto It = Renewals_.begin(); It != Renewals_.end();) {
    const auto &[Id, Waiting] = *It;
    if (!HasNewEnd_[Id] && Now_ < Waiting.AnswerAt_) {
      ++It;
      continue;
    }
    WorkerReport Report;
    Workers_.at(Id)->renew(Waiting.Renewal_, Token, Now_, Report);
    Duration Timeout = CallTimeout + Waiting.Renewal_.Wait_;
    arrive(NetworkDelay, [this, Renewal = Waiting.Renewal_, Report, Timeout,
                          SentAt = Waiting.SentAt_] {
      if (Now_ - SentAt > Timeout)
        Scheduler_->renewalFailed(Renewal, CallOutcome::NoAnswer, Now_);
      else
        Scheduler_->renewalAnswered(Renewal, Report, Now_);
      requestCycle();
      return Costs_.Answer_;
    });
    It = Renewals_.erase(It);
  }
}

/// Reads the registrations since the last time.
void SlowOwner::followWorkers() {
  after(StoreDelay, [this, ReadAt = Now_] {
    std::vector<WorkerEntry> Changed = std::exchange(ChangedEntries_, {});
    auto Rows = static_cast<Duration::rep>(
        static_cast<double>(Load_.Workers_) * RegistrationsPerSecond *
        std::chrono::duration<double>(Now_ - ReadAt + FeedPause).count());
    arrive(StoreDelay, [this, Changed, Rows] {
      for (const WorkerEntry &Entry : Changed)
        Scheduler_->workerRegistered(Entry, Now_);
      requestCycle();
      arrive(FeedPause, [this] {
        followWorkers();
        return Costs_.Command_;
      });
      return Rows * Costs_.WorkerRow_;
    });
  });
}

void SlowOwner::submit(bool IsUrgent) {
  AcceptedJob Job;
  Job.Id_ = fmt::format("{:016x}", Random_() ^ NextJob_++);
  Job.Queue_ = IsUrgent ? "urgent" : "batch";
  Job.Service_ = "service";
  StepSpec Tasks;
  Tasks.Count_ = Load_.TasksOfJob_;
  Tasks.Request_ = {2000, 1000, 0};
  Tasks.Estimate_ = 1s;
  Job.Spec_.Steps_ = {Tasks};
  Jobs_[Job.Id_].IsUrgent_ = IsUrgent;
  Jobs_[Job.Id_].SubmittedAt_ = Now_;
  if (IsUrgent)
    WaitingUrgentJobs_.emplace(Now_, Job.Id_);
  arrive(NetworkDelay, [this, Job] {
    Scheduler_->addJob(Job, Now_);
    requestCycle();
    return Costs_.JobRow_;
  });
}

void SlowOwner::drainOne() {
  std::string Id = WorkerIds_[Random_() % WorkerIds_.size()];
  if (!Drains_.try_emplace(Id, Now_).second)
    return;
  WorkerEntry Entry = Workers_.at(Id)->registerAgain();
  Entry.IsDraining_ = true;
  ChangedEntries_.push_back(Entry);
}

/// Cancels a job that runs.
void SlowOwner::cancelOne() {
  if (ActiveRuns_.empty())
    return;
  auto It =
      std::next(ActiveRuns_.begin(),
                static_cast<std::ptrdiff_t>(Random_() % ActiveRuns_.size()));
  std::string Id = It->first.substr(0, It->first.find('.'));
  if (Jobs_.at(Id).CancelledAt_)
    return;
  Jobs_.at(Id).CancelledAt_ = Now_;
  arrive(NetworkDelay, [this, Id] {
    Scheduler_->cancelJob(Id, Now_);
    requestCycle();
    return Costs_.JobRow_;
  });
}

void SlowOwner::started(const std::string &Worker, const StartTask &Start,
                        std::uint64_t, TimePoint Now) {
  SubmittedJob &Job = Jobs_.at(Start.Name_.Job_);
  std::string Text = Start.Name_.text();
  ++Seen_.Starts_;
  Seen_.UrgentStarts_ += Job.IsUrgent_ ? 1 : 0;
  Seen_.RunsTwice_ += ++ActiveRuns_[Text] > 1 || IsDone_[Text] ? 1 : 0;
  if (Job.IsUrgent_ && !Job.HasStarted_)
    Seen_.LongestUrgentWait_ =
        std::max(Seen_.LongestUrgentWait_, Now - Job.SubmittedAt_);
  Job.HasStarted_ = true;
  WaitingUrgentJobs_.erase({Job.SubmittedAt_, Start.Name_.Job_});
  if (!Job.IsUrgent_ && !WaitingUrgentJobs_.empty() &&
      Now - WaitingUrgentJobs_.begin()->first > MaxUrgentWait)
    ++Seen_.StartsOutOfOrder_;
  ++Job.ActiveRuns_;
  auto Drain = Drains_.find(Worker);
  if (Drain != Drains_.end())
    Seen_.LatestStartAfterDrain_ =
        std::max(Seen_.LatestStartAfterDrain_, Now - Drain->second);
}

void SlowOwner::ended(const std::string &Worker, const TaskName &Name,
                      std::uint64_t Run, EndReason Reason, TimePoint Now) {
  SubmittedJob &Job = Jobs_.at(Name.Job_);
  std::string Text = Name.text();
  if (--ActiveRuns_[Text] == 0)
    ActiveRuns_.erase(Text);
  --Job.ActiveRuns_;
  if (Job.CancelledAt_)
    Seen_.LongestStop_ = std::max(Seen_.LongestStop_, Now - *Job.CancelledAt_);
  if (Reason == EndReason::Done)
    IsDone_[Text] = true;
  Seen_.LeasesExpired_ += Reason == EndReason::LeaseExpired ? 1 : 0;
  HasNewEnd_[Worker] = true;
  UnacknowledgedEnds_[endOf(Worker, Name, Run)] = Now;
}

void SlowOwner::acknowledged(const std::string &Worker, const TaskName &Name,
                             std::uint64_t Run, EndReason, bool,
                             TimePoint Now) {
  auto It = UnacknowledgedEnds_.find(endOf(Worker, Name, Run));
  if (It == UnacknowledgedEnds_.end())
    return;
  Seen_.LongestEnd_ = std::max(Seen_.LongestEnd_, Now - It->second);
  UnacknowledgedEnds_.erase(It);
}

SlowOwnerStatistics SlowOwner::statistics() const {
  SlowOwnerStatistics Result = Seen_;
  for (const auto &[End, At] : UnacknowledgedEnds_)
    Result.LongestEnd_ = std::max(Result.LongestEnd_, Now_ - At);
  for (const auto &[Id, Job] : Jobs_) {
    if (Job.IsUrgent_ && !Job.HasStarted_ && !Job.CancelledAt_)
      Result.LongestUrgentWait_ =
          std::max(Result.LongestUrgentWait_, Now_ - Job.SubmittedAt_);
    if (Job.CancelledAt_ && Job.ActiveRuns_ > 0)
      Result.LongestStop_ =
          std::max(Result.LongestStop_, Now_ - *Job.CancelledAt_);
  }
  return Result;
}

} // namespace filbertspring::scheduling::test
