#include "cell_load_simulation.h"

#include "filbertspring/base/overloaded.h"
#include "filbertspring/scheduling/progress_codec.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <optional>
#include <queue>
#include <utility>

namespace filbertspring::benchmark {
namespace {

using namespace std::chrono_literals;
using namespace scheduling;

constexpr Duration WorkerTick = 20ms;
constexpr Duration OwnerTick = 10ms;
constexpr Duration CallTime = 10ms;
/// A transaction, with the delays of a busy owner.
constexpr Duration CommitTime = 60ms;
constexpr std::size_t RowsOfTransaction = 90;
constexpr std::int64_t WorkerMilliCpu = 64'000;
constexpr int WorkersPerRack = 12;
constexpr int Zones = 5;
/// A serving image is harmed by each sixth filler image.
constexpr int HarmPeriod = 6;
/// A long-running task uses this part of its processors.
constexpr double LongRunningUsage = 0.5;
constexpr double TailTargetMs = 20;
/// Factor of the objective of a job over its critical path.
constexpr double Slack = 1.6;
constexpr Duration TargetLatency = 250ms;
/// A job that takes longer than this multiple of its objective has no value.
constexpr int WorthlessFactor = 3;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// A task on a worker.
struct ActiveRun {
  TaskName Name_;
  std::uint64_t Number_ = 0;
  StepSpec Step_;
  double WorkLeft_ = 0;
  double Work_ = 0;
  int Pace_ = 100;
  TimePoint StartedAt_{};
};

/// A worker that answers renewals when a task ends or the wait is over.
struct Worker {
  WorkerEntry Entry_;
  std::vector<ActiveRun> Runs_;
  std::deque<EndedTask> Ends_;
  std::uint64_t NextEnd_ = 1;
  std::optional<TimePoint> RenewalUntil_;
  RenewLease Renewal_;
};

/// Adds the processor time that its scope takes to a sum.
class Stopwatch {
public:
  explicit Stopwatch(double &Sum) : Sum_(Sum), Since_(threadSeconds()) {}
  ~Stopwatch() { Sum_ += threadSeconds() - Since_; }
  Stopwatch(const Stopwatch &) = delete;
  Stopwatch &operator=(const Stopwatch &) = delete;

private:
  /// Returns the processor time of this thread in seconds.
  static double threadSeconds() {
    timespec Time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
    return static_cast<double>(Time.tv_sec) +
           static_cast<double>(Time.tv_nsec) / 1e9;
  }

  double &Sum_;
  double Since_;
};

class Simulation {
public:
  Simulation(const CellLoad &Load, std::uint64_t Seed)
      : Load_(Load), Random_(Seed), Scheduler_(SchedulerSettings(), Now_) {
    auto Queues = std::make_shared<QueueTable>();
    for (const char *Name : {"timed", "filler", "long-running"}) {
      Queue Batch;
      Batch.Name_ = Name;
      Batch.Service_ = "service";
      Batch.Attempts_ = 3;
      Batch.SlackFactor_ = Slack;
      Batch.TargetLatency_ = TargetLatency;
      Queues->Queues_.push_back(Batch);
    }
    // Each submits what its weight covers, and has a maximum that it does not
    // reach.
    for (int Index = 0; Index < Load.Workspaces_; ++Index) {
      double JobsPerSecond = Load.TimedJobs_ + Load.FillerJobs_;
      std::int64_t MilliCpu = std::int64_t{2} * Load.Workers_ * WorkerMilliCpu;
      Queues->Workspaces_.push_back({nameOfWorkspace(Index),
                                     {},
                                     JobsPerSecond / Load.Workspaces_,
                                     {MilliCpu, 0, 0}});
    }
    Scheduler_.configure(Queues);
    for (int Index = 0; Index < Load.Workers_; ++Index)
      addWorker(Index);
  }

  CellResult run() {
    settle(2s);
    submitLongRunning();
    settle(5s);
    Result_.Time_ = {};
    Result_.Starts_ = Result_.Renewals_ = Result_.Paces_ = 0;
    Result_.Commits_ = Result_.StoredBytes_ = 0;
    Submissions_ = true;
    settle(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Load_.Seconds_)));
    Submissions_ = false;
    DecisionTime Time = Result_.Time_;
    settle(15s);
    Result_.Time_ = Time;
    finish();
    return std::move(Result_);
  }

private:
  struct SubmittedJob {
    KindResult *Kind_ = nullptr;
    TimePoint At_{};
    Duration Objective_{};
    bool IsEnded_ = false;
  };

  void addWorker(int Index) {
    Worker Added;
    Added.Entry_.Id_ = fmt::format("w{:04}", Index);
    Added.Entry_.Service_ = "service";
    Added.Entry_.Address_ = fmt::format("10.0.0.1:{}", 10'000 + Index);
    Added.Entry_.Zone_ = fmt::format("zone-{}", Index % Zones);
    Added.Entry_.Capacity_ = {WorkerMilliCpu, 250'000, 0};
    Added.Entry_.Labels_ = {fmt::format("rack-{}", Index / WorkersPerRack)};
    Added.Entry_.StartedAtMs_ = 1;
    Scheduler_.workerRegistered(Added.Entry_, Now_);
    Workers_.emplace(Added.Entry_.Id_, std::move(Added));
  }

  static std::string nameOfWorkspace(int Index) {
    return fmt::format("team-{}", Index);
  }

  /// Assigns \p Job to the next workspace.
  void assignWorkspace(AcceptedJob &Job) {
    Job.AcceptedMs_ = Now_.time_since_epoch() / 1ms;
    if (Load_.Workspaces_ > 0)
      Job.Workspace_ = nameOfWorkspace(NextWorkspace_++ % Load_.Workspaces_);
  }

  void settle(Duration Time) {
    TimePoint End = Now_ + Time;
    while (Now_ < End) {
      Now_ += OwnerTick;
      if (Submissions_)
        submitDue();
      while (!Events_.empty() && Events_.top().At_ <= Now_) {
        auto Act = Events_.top().Act_;
        Events_.pop();
        Act();
      }
      if ((Now_.time_since_epoch() / OwnerTick) % (WorkerTick / OwnerTick) == 0)
        for (auto &[Id, Each] : Workers_)
          advanceWorker(Each);
      runOwner();
    }
  }

  void after(Duration Delay, std::function<void()> Act) {
    Events_.push({Now_ + Delay, ++LastEvent_, std::move(Act)});
  }

  double draw(double From, double To) {
    return std::uniform_real_distribution<double>(From, To)(Random_);
  }

  // Submissions.

  void submitDue() {
    double Step = seconds(OwnerTick);
    if (draw(0, 1) < Load_.TimedJobs_ * Step)
      submit("timed", Result_.Timed_, Load_.TimedTasks_, 640ms, 12'000, false);
    if (draw(0, 1) < Load_.FillerJobs_ * Step)
      submit("filler", Result_.Fillers_, Load_.FillerTasks_, 1700ms, 7'000,
             true);
    if (draw(0, 1) < Load_.LongRunningJobs_ * Step)
      submitLongRunningJob();
  }

  void submit(const char *QueueName, KindResult &Kind, std::uint32_t Tasks,
              Duration Work, std::int64_t MilliCpu, bool IsFiller) {
    AcceptedJob Job;
    Job.Id_ = fmt::format("{:016x}", Random_());
    Job.Queue_ = QueueName;
    Job.Service_ = "service";
    assignWorkspace(Job);
    for (std::uint32_t Step = 0; Step < 2; ++Step) {
      StepSpec Spec;
      Spec.Count_ = std::max<std::uint32_t>(
          1, static_cast<std::uint32_t>(Tasks * draw(0.4, 1.6)));
      Spec.Request_ = {MilliCpu, 500, 0};
      Spec.Estimate_ = Work;
      Spec.IsFiller_ = IsFiller;
      Spec.SavesProgress_ = IsFiller;
      Spec.Image_ =
          fmt::format("{}-{}", QueueName, Random_() % Load_.FillerImages_);
      if (Step > 0)
        Spec.DependsOn_ = {Step - 1};
      Job.Spec_.Steps_.push_back(Spec);
    }
    Duration Objective =
        std::chrono::duration_cast<Duration>(Slack * criticalPath(Job.Spec_)) +
        TargetLatency;
    ++Kind.Jobs_;
    Jobs_[Job.Id_] = {&Kind, Now_, Objective, false};
    Specs_[Job.Id_] = Job.Spec_;
    after(CallTime, [this, Job] { Scheduler_.addJob(Job, Now_); });
  }

  void submitLongRunning() {
    double Cores = Load_.LongRunningFill_ * Load_.Workers_ * WorkerMilliCpu;
    while (LongRunningMilliCpu_ < Cores)
      submitLongRunningJob();
  }

  void submitLongRunningJob() {
    AcceptedJob Job;
    Job.Id_ = fmt::format("{:016x}", Random_());
    Job.Queue_ = "long-running";
    Job.Service_ = "service";
    assignWorkspace(Job);
    StepSpec Spec;
    Spec.Count_ = Load_.LongRunningTasks_;
    Spec.Request_ = {static_cast<std::int64_t>(draw(4'000, 16'000)), 2000, 0};
    Spec.IsLongRunning_ = true;
    Spec.MaxPerWorker_ = 2;
    Spec.MaxUnavailable_ = 1;
    Spec.Image_ = fmt::format("serving-{}", Random_() % Load_.ServingImages_);
    Spec.TailLatencyTarget_ =
        std::chrono::milliseconds(static_cast<std::int64_t>(TailTargetMs));
    Job.Spec_.Steps_ = {Spec};
    LongRunningMilliCpu_ += static_cast<double>(Spec.Count_) *
                            static_cast<double>(Spec.Request_.MilliCpu_);
    LongRunningRequested_.emplace_back(Now_, Spec.Count_);
    Specs_[Job.Id_] = Job.Spec_;
    after(CallTime, [this, Job] { Scheduler_.addJob(Job, Now_); });
  }

  // Workers.

  /// Returns the number at the end of the name of an image.
  static int numberOf(const std::string &Image) {
    return std::stoi(Image.substr(Image.rfind('-') + 1));
  }

  static bool isHarmful(const std::string &Filler, const std::string &Serving) {
    return (numberOf(Filler) + 2 * numberOf(Serving)) % HarmPeriod == 0;
  }

  /// Returns the processors that the fillers may use, in relation to those that
  /// they ask for.
  static double fillerSpeed(const Worker &Of) {
    double Free = WorkerMilliCpu;
    double Requested = 0;
    for (const ActiveRun &Each : Of.Runs_) {
      auto MilliCpu = static_cast<double>(Each.Step_.Request_.MilliCpu_);
      if (Each.Step_.IsFiller_)
        Requested += MilliCpu * Each.Pace_ / 100.0;
      else
        Free -= MilliCpu * (Each.Step_.IsLongRunning_ ? LongRunningUsage : 1);
    }
    return Requested <= 0 ? 1 : std::clamp(Free / Requested, 0.05, 1.0);
  }

  double tailOf(const Worker &Of, const ActiveRun &Serving, double Speed) {
    double Tail = TailTargetMs * 0.6;
    for (const ActiveRun &Each : Of.Runs_)
      if (Each.Step_.IsFiller_ &&
          isHarmful(Each.Step_.Image_, Serving.Step_.Image_))
        Tail *= 1 + 3.0 * Speed * Each.Pace_ / 100.0 *
                        static_cast<double>(Each.Step_.Request_.MilliCpu_) /
                        WorkerMilliCpu;
    return Tail;
  }

  void advanceWorker(Worker &Each) {
    double Elapsed = seconds(WorkerTick);
    double Speed = fillerSpeed(Each);
    for (std::size_t Index = 0; Index < Each.Runs_.size();) {
      ActiveRun &Active = Each.Runs_[Index];
      if (Active.Step_.IsLongRunning_) {
        LongRunningSeconds_ += Elapsed;
        if (tailOf(Each, Active, Speed) > TailTargetMs)
          Result_.OverTargetSeconds_ += Elapsed;
        ++Index;
        continue;
      }
      Active.WorkLeft_ -=
          Elapsed * (Active.Step_.IsFiller_ ? Speed * Active.Pace_ / 100.0 : 1);
      if (Active.WorkLeft_ > 0) {
        ++Index;
        continue;
      }
      endRun(Each, Index, EndReason::Done);
    }
    answerRenewal(Each);
  }

  void endRun(Worker &Each, std::size_t Index, EndReason Reason) {
    const ActiveRun &Active = Each.Runs_[Index];
    EndedTask End{Each.NextEnd_++, Active.Name_, Active.Number_, Reason, ""};
    if (Reason == EndReason::Stopped && Active.Step_.SavesProgress_)
      End.Checkpoint_ = fmt::format("{:.3f}", Active.WorkLeft_);
    Each.Ends_.push_back(std::move(End));
    Each.Runs_.erase(Each.Runs_.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  void answerRenewal(Worker &Each) {
    if (!Each.RenewalUntil_ ||
        (Each.Ends_.empty() && Now_ < *Each.RenewalUntil_))
      return;
    Each.RenewalUntil_.reset();
    WorkerReport Report;
    Report.ClockMs_ = Now_.time_since_epoch() / 1ms;
    Report.StartedAtMs_ = 1;
    Report.EndedTasks_.assign(Each.Ends_.begin(), Each.Ends_.end());
    double Speed = fillerSpeed(Each);
    for (const ActiveRun &Active : Each.Runs_) {
      double Load =
          Active.Step_.IsLongRunning_
              ? tailOf(Each, Active, Speed) * draw(0.95, 1.05)
              : Speed * Active.Pace_ / 100.0 *
                    static_cast<double>(Active.Step_.Request_.MilliCpu_);
      Report.RunningTasks_.push_back(
          {Active.Name_, Active.Number_, "", 100, Load});
    }
    after(CallTime / 2, [this, Renewal = Each.Renewal_, Report] {
      ++Result_.Renewals_;
      Stopwatch Time(Result_.Time_.Reports_);
      Scheduler_.renewalAnswered(Renewal, Report, Now_);
    });
  }

  // The owner.

  void runOwner() {
    std::vector<Action> Actions;
    {
      Stopwatch Time(Result_.Time_.Advance_);
      Scheduler_.advance(Now_, Now_.time_since_epoch() / 1ms, Now_, true);
    }
    if (!IsCommitting_)
      commit();
    Actions = Scheduler_.takeActions();
    for (const Action &Next : Actions)
      execute(Next);
    for (const LogRecord &Record : Scheduler_.takeLogRecords())
      noteEnd(Record);
  }

  void commit() {
    {
      Stopwatch Time(Result_.Time_.Place_);
      Scheduler_.place(Now_);
    }
    if (!Scheduler_.hasWrites())
      return;
    PendingWrites Writes;
    {
      Stopwatch Time(Result_.Time_.Writes_);
      Writes = Scheduler_.takeWrites(RowsOfTransaction);
      Result_.StoredBytes_ += encodeJournal(Writes.Journal_.Entries_).size();
      for (const auto &[Job, Progress] : Writes.Progress_)
        Result_.StoredBytes_ += encodeProgress(Progress).size();
      for (const JournalRow &Rest : Writes.SnapshotRests_)
        Result_.StoredBytes_ += encodeJournal(Rest.Entries_).size();
    }
    ++Result_.Commits_;
    IsCommitting_ = true;
    after(CommitTime, [this, Writes = std::move(Writes)] {
      IsCommitting_ = false;
      Stopwatch Time(Result_.Time_.Writes_);
      Scheduler_.writesStored(Writes, Now_);
    });
  }

  void noteEnd(const LogRecord &Record) {
    if (Record.Event_ != LogEvent::JobFinished)
      return;
    auto It = Jobs_.find(Record.Fields_.front().second);
    if (It == Jobs_.end() || It->second.IsEnded_)
      return;
    SubmittedJob &Ended = It->second;
    Ended.IsEnded_ = true;
    Duration Taken = Now_ - Ended.At_;
    if (Taken <= Ended.Objective_)
      ++Ended.Kind_->InTime_;
    else if (Taken <= WorthlessFactor * Ended.Objective_)
      ++Ended.Kind_->Late_;
  }

  void execute(const Action &Next) {
    std::visit(
        Overloaded{[this](const RenewLease &Renewal) {
                     after(CallTime / 2, [this, Renewal] { renew(Renewal); });
                   },
                   [this](const StartTask &Start) {
                     after(CallTime / 2, [this, Start] { start(Start); });
                   },
                   [this](const StopTask &Stop) {
                     after(CallTime / 2, [this, Stop] { stop(Stop); });
                   },
                   [this](const PaceTask &Pace) {
                     ++Result_.Paces_;
                     for (ActiveRun &Active : Workers_.at(Pace.Worker_).Runs_)
                       if (Active.Name_ == Pace.Name_)
                         Active.Pace_ = Pace.Percent_;
                   }},
        Next);
  }

  void renew(const RenewLease &Renewal) {
    Worker &Each = Workers_.at(Renewal.Worker_);
    while (!Each.Ends_.empty() &&
           Each.Ends_.front().Number_ <= Renewal.Acknowledged_)
      Each.Ends_.pop_front();
    Each.RenewalUntil_ = Now_ + Renewal.Wait_;
    Each.Renewal_ = Renewal;
    answerRenewal(Each);
  }

  void start(const StartTask &Start) {
    ++Result_.Starts_;
    Worker &Each = Workers_.at(Start.Worker_);
    ActiveRun Started;
    Started.Name_ = Start.Name_;
    Started.Number_ = Start.Run_;
    Started.Step_ = Specs_.at(Start.Name_.Job_).Steps_[Start.Name_.Step_];
    Started.Work_ = seconds(Started.Step_.Estimate_) * draw(0.7, 1.3);
    Started.WorkLeft_ = Start.Checkpoint_.empty()
                            ? Started.Work_
                            : std::stod(Start.Checkpoint_);
    Started.StartedAt_ = Now_;
    if (auto It = Jobs_.find(Start.Name_.Job_); It != Jobs_.end())
      It->second.Kind_->WaitsMs_.push_back(1000 * seconds(Start.Waited_));
    Each.Runs_.push_back(std::move(Started));
    after(CallTime / 2, [this, Start] {
      Stopwatch Time(Result_.Time_.Answers_);
      Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                               CallOutcome::Accepted, Now_);
    });
  }

  void stop(const StopTask &Stop) {
    Worker &Each = Workers_.at(Stop.Worker_);
    for (std::size_t Index = 0; Index < Each.Runs_.size(); ++Index)
      if (Each.Runs_[Index].Name_ == Stop.Name_ &&
          Each.Runs_[Index].Number_ == Stop.Run_) {
        endRun(Each, Index, EndReason::Stopped);
        break;
      }
    after(CallTime / 2, [this, Stop] {
      Stopwatch Time(Result_.Time_.Answers_);
      Scheduler_.stopAnswered(Stop.Worker_, Stop.Name_, Stop.Run_,
                              CallOutcome::Accepted, Now_);
    });
  }

  void finish() {
    double Requested = 0;
    for (const auto &[At, Tasks] : LongRunningRequested_)
      Requested += seconds(Now_ - At) * Tasks;
    Result_.LongRunningShare_ =
        Requested > 0 ? LongRunningSeconds_ / Requested : 1;
  }

  struct Event {
    TimePoint At_;
    std::uint64_t Order_;
    std::function<void()> Act_;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At_, Other.Order_) < std::tie(At_, Order_);
    }
  };

  CellLoad Load_;
  TimePoint Now_{1000s};
  std::mt19937_64 Random_;
  Scheduler Scheduler_;
  std::map<std::string, Worker> Workers_;
  std::priority_queue<Event> Events_;
  std::uint64_t LastEvent_ = 0;
  std::map<std::string, SubmittedJob> Jobs_;
  std::map<std::string, JobSpec> Specs_;
  std::vector<std::pair<TimePoint, std::uint32_t>> LongRunningRequested_;
  double LongRunningMilliCpu_ = 0;
  double LongRunningSeconds_ = 0;
  int NextWorkspace_ = 0;
  bool Submissions_ = false;
  bool IsCommitting_ = false;
  CellResult Result_;
};

} // namespace

CellResult runCell(const CellLoad &Load, std::uint64_t Seed) {
  return Simulation(Load, Seed).run();
}

} // namespace filbertspring::benchmark
