#ifndef FILBERTSPRING_SCHEDULING_TESTS_WATCHED_CELL_H
#define FILBERTSPRING_SCHEDULING_TESTS_WATCHED_CELL_H

/// \file
/// A cell that measures for how long long-running tasks do not run although a
/// worker has twice the capacity that they request.

#include "cell_fixture.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace filbertspring::scheduling::test {

/// Users tolerate that a ready long-running task waits beside free capacity for
/// this long in a calm time, ...
constexpr Duration MaxCalmWait = 3s;
/// ... for this long after its last run, ...
constexpr Duration MaxWaitAfterRun = 9s;
/// ... and for this long after the end of a fault.
constexpr Duration MaxWaitAfterFault = 7s;

/// Workers that restart three seconds after a crash. Long-running tasks do not
/// end by themselves.
struct WatchedCell : Cell {
  struct ActiveTask {
    StartTask Start_;
    TimePoint StartedAt_;
    std::optional<TimePoint> EndsAt_;
    EndReason Reason_ = EndReason::Done;
  };
  struct Machine {
    std::int64_t Born_ = 1;
    std::optional<TimePoint> DownUntil_;
    std::vector<ActiveTask> Tasks_;
    std::vector<EndedTask> Ends_;
    std::uint64_t LastEnd_ = 0;
  };
  struct PendingRenewal {
    RenewLease Renewal_;
    TimePoint SentAt_;
  };

  explicit WatchedCell(std::size_t Workers, std::size_t RackSize = 1) {
    Capacity_ = {8000, 16000, 0};
    for (std::size_t Number = 1; Number <= Workers; ++Number) {
      std::string Id = "w" + std::to_string(Number);
      Racks_[Id] = "rack" + std::to_string((Number - 1) / RackSize);
      Zones_[Id] = "zone-a";
      Machines_[Id];
      list(Id, false);
    }
    play(500ms);
  }

  static StepSpec longRunning(std::uint32_t Count, std::int64_t MilliCpu,
                              std::uint32_t MaxPerWorker = 0) {
    StepSpec Step = task(Count, MilliCpu);
    Step.IsLongRunning_ = true;
    Step.Image_ = "image";
    Step.MaxPerWorker_ = MaxPerWorker;
    return Step;
  }

  void submit(const std::string &Id, const std::vector<StepSpec> &Steps,
              const std::string &QueueName = "batch") {
    Specs_[Id] = Steps;
    AcceptedJob Job;
    Job.Id_ = Id;
    Job.Queue_ = QueueName;
    Job.Service_ = "service";
    Job.Spec_.Steps_ = Steps;
    Scheduler_.addJob(Job, Now_);
  }

  /// Submits tasks of \p MilliCpu of which \p PerWorker fill a worker, and
  /// more of them than can run in the test. Those of one worker end one after
  /// another.
  void submitBacklog(std::int64_t MilliCpu, std::uint32_t PerWorker,
                     const std::string &RequiredLabel = "") {
    BacklogPerWorker_ = PerWorker;
    StepSpec Step = task(2000, MilliCpu);
    Step.RequiredLabel_ = RequiredLabel;
    submit("backlog", {Step});
    play(500ms);
  }

  /// Submits a job of \p Step at intervals of \p Interval from now on.
  void startFlow(const StepSpec &Step, Duration Interval) {
    Flow_ = Step;
    FlowInterval_ = Interval;
    NextFlowAt_ = Now_;
  }

  void play(Duration Time) {
    for (TimePoint End = Now_ + Time; Now_ < End;) {
      if (Flow_ && NextFlowAt_ <= Now_) {
        NextFlowAt_ += FlowInterval_;
        submit("flow" + std::to_string(FlowJobs_++), {*Flow_});
      }
      placeAndStore();
      startTasks();
      restartMachines();
      answerAll();
      watch();
    }
  }

  void crash(const std::string &Id) {
    Machine &Crashed = Machines_[Id];
    Crashed.Tasks_.clear();
    Crashed.Ends_.clear();
    Crashed.LastEnd_ = 0;
    Crashed.DownUntil_ = Now_ + DownTime_;
    FaultAt_ = *Crashed.DownUntil_;
  }

  void crashAll(const std::vector<std::string> &Ids) {
    for (const std::string &Id : Ids)
      crash(Id);
  }

  /// Ends the process of a worker for good.
  void remove(const std::string &Id) {
    crash(Id);
    FaultAt_ = Now_;
    Machines_[Id].DownUntil_ = Now_ + 1000s;
    Scheduler_.workerDeregistered(Id, Now_);
  }

  void cancel(const std::string &Job) {
    Scheduler_.cancelJob(Job, Now_);
    Specs_.erase(Job);
  }

  std::set<std::string> running(const std::string &Job) const {
    std::set<std::string> Names;
    for (const auto &[Id, Target] : Machines_)
      for (const ActiveTask &Active : Target.Tasks_)
        if (Active.Start_.Name_.Job_ == Job)
          Names.insert(Active.Start_.Name_.text());
    return Names;
  }

  std::string workerOf(const std::string &Task) const {
    for (const auto &[Id, Target] : Machines_)
      for (const ActiveTask &Active : Target.Tasks_)
        if (Active.Start_.Name_.text() == Task)
          return Id;
    return {};
  }

  /// Plays until \p Count tasks of \p Job run. Returns whether they do before
  /// \p Limit.
  bool playUntilRunning(const std::string &Job, std::size_t Count,
                        TimePoint Limit) {
    while (running(Job).size() < Count && Now_ < Limit)
      play(20ms);
    return running(Job).size() == Count;
  }

  /// Returns the longest time since resetWaits() for which a long-running task
  /// did not run beside free capacity.
  Duration longestWait() const {
    Duration Longest{};
    for (const auto &[Task, Wait] : LongestWaits_)
      Longest = std::max(Longest, Wait);
    return Longest;
  }

  void resetWaits() {
    LongestWaits_.clear();
    WaitsSince_.clear();
  }

  /// The end of the last fault.
  TimePoint FaultAt_{Now_};
  Duration DownTime_ = 3s;
  /// The run times of the jobs that differ from WorkTime_.
  std::map<std::string, Duration> WorkTimes_;
  Duration WorkTime_ = 1s;
  /// The long-running tasks of these jobs fail soon after their start until
  /// the given time.
  std::map<std::string, TimePoint> FailUntil_;
  /// How many more starts of a task crash the worker.
  std::map<std::string, int> DeadlyStarts_;
  std::size_t MaxStarts_ = 1'000'000;
  std::map<std::string, Machine> Machines_;

private:
  /// Advances the time, places at most MaxStarts_ tasks and stores them.
  void placeAndStore() {
    Now_ += 20ms;
    Scheduler_.advance(Now_, 0, Now_, true);
    Scheduler_.place(Now_, MaxStarts_);
    collect();
    if (!Scheduler_.hasWrites())
      return;
    Scheduler_.writesStored(Scheduler_.takeWrites(90), Now_);
    collect();
  }

  void startTasks() {
    for (const StartTask &Start : std::exchange(Starts_, {})) {
      Machine &Target = Machines_[Start.Worker_];
      auto Deadly = DeadlyStarts_.find(Start.Name_.text());
      bool IsDeadly = Deadly != DeadlyStarts_.end() && Deadly->second > 0;
      if (!Target.DownUntil_ && IsDeadly) {
        --Deadly->second;
        crash(Start.Worker_);
      } else if (!Target.DownUntil_) {
        Target.Tasks_.push_back(activate(Start));
      }
      Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                               Target.DownUntil_ ? CallOutcome::NoAnswer
                                                 : CallOutcome::Accepted,
                               Now_);
      collect();
    }
  }

  ActiveTask activate(const StartTask &Start) {
    const std::string &Job = Start.Name_.Job_;
    ActiveTask Active{Start, Now_, std::nullopt};
    auto Failing = FailUntil_.find(Job);
    if (Failing != FailUntil_.end() && Now_ < Failing->second) {
      Active.EndsAt_ = Now_ + 100ms;
      Active.Reason_ = EndReason::Failed;
      return Active;
    }
    auto Spec = Specs_.find(Job);
    if (Spec != Specs_.end() && Spec->second[Start.Name_.Step_].IsLongRunning_)
      return Active;
    auto Known = WorkTimes_.find(Job);
    Duration Work = Known == WorkTimes_.end() ? WorkTime_ : Known->second;
    // The first ones of a worker end one after another, and so do those that
    // replace them.
    if (Job == "backlog" && StaggeredOn_[Start.Worker_]++ < BacklogPerWorker_)
      Work += StaggeredOn_[Start.Worker_] * Work / BacklogPerWorker_;
    Active.EndsAt_ = Now_ + Work;
    return Active;
  }

  void restartMachines() {
    for (auto &[Id, Target] : Machines_)
      if (Target.DownUntil_ && *Target.DownUntil_ <= Now_) {
        Target.DownUntil_.reset();
        list(Id, false, ++Target.Born_);
      }
    for (const StopTask &Stop : std::exchange(Stops_, {})) {
      Machine &Target = Machines_[Stop.Worker_];
      std::erase_if(Target.Tasks_, [&](const ActiveTask &Active) {
        return Active.Start_.Name_.text() == Stop.Name_.text() &&
               Active.Start_.Run_ == Stop.Run_;
      });
      Scheduler_.stopAnswered(Stop.Worker_, Stop.Name_, Stop.Run_,
                              Target.DownUntil_ ? CallOutcome::NoAnswer
                                                : CallOutcome::Accepted,
                              Now_);
    }
  }

  /// Answers renewals. A worker delays the answer until a task ends.
  void answerAll() {
    for (const RenewLease &Renewal : std::exchange(Renewals_, {}))
      Pending_.push_back({Renewal, Now_});
    for (const PendingRenewal &Next : std::exchange(Pending_, {})) {
      const RenewLease &Renewal = Next.Renewal_;
      Machine &Target = Machines_[Renewal.Worker_];
      if (Target.DownUntil_) {
        Scheduler_.renewalFailed(Renewal, CallOutcome::NoAnswer, Now_);
        continue;
      }
      endDueTasks(Target);
      std::erase_if(Target.Ends_, [&](const EndedTask &End) {
        return End.Number_ <= Renewal.Acknowledged_;
      });
      if (Target.Ends_.empty() && Now_ < Next.SentAt_ + Renewal.Wait_) {
        Pending_.push_back(Next);
        continue;
      }
      WorkerReport Report;
      Report.ClockMs_ = Now_.time_since_epoch() / 1ms;
      Report.StartedAtMs_ = Target.Born_;
      for (const ActiveTask &Active : Target.Tasks_)
        Report.RunningTasks_.push_back({Active.Start_.Name_, Active.Start_.Run_,
                                        "", percentOf(Active), 0});
      Report.EndedTasks_ = Target.Ends_;
      Scheduler_.renewalAnswered(Renewal, Report, Now_);
    }
  }

  void endDueTasks(Machine &Target) {
    for (const ActiveTask &Active : Target.Tasks_)
      if (Active.EndsAt_ && *Active.EndsAt_ <= Now_)
        Target.Ends_.push_back({++Target.LastEnd_, Active.Start_.Name_,
                                Active.Start_.Run_, Active.Reason_, ""});
    std::erase_if(Target.Tasks_, [this](const ActiveTask &Active) {
      return Active.EndsAt_ && *Active.EndsAt_ <= Now_;
    });
  }

  double percentOf(const ActiveTask &Active) const {
    if (!Active.EndsAt_)
      return 100;
    return 100.0 * static_cast<double>((Now_ - Active.StartedAt_).count()) /
           static_cast<double>((*Active.EndsAt_ - Active.StartedAt_).count());
  }

  /// Returns whether a worker has twice the capacity that \p Request takes.
  bool hasRoomTwiceOver(const Resources &Request) const {
    Resources Twice = Request;
    Twice += Request;
    return std::any_of(Machines_.begin(), Machines_.end(), [&](auto &Entry) {
      if (Entry.second.DownUntil_)
        return false;
      Resources Used;
      for (const ActiveTask &Active : Entry.second.Tasks_) {
        auto Spec = Specs_.find(Active.Start_.Name_.Job_);
        if (Spec != Specs_.end())
          Used += Spec->second[Active.Start_.Name_.Step_].Request_;
      }
      return Capacity_.fits(Used, Twice);
    });
  }

  void watch() {
    for (const auto &[Job, Steps] : Specs_) {
      if (!Steps.front().IsLongRunning_)
        continue;
      std::set<std::string> Running = running(Job);
      for (std::uint32_t Step = 0; Step < Steps.size(); ++Step)
        for (std::uint32_t Index = 0; Index < Steps[Step].Count_; ++Index) {
          std::string Task = TaskName{Job, 0, Step, Index}.text();
          if (Running.contains(Task) ||
              !hasRoomTwiceOver(Steps[Step].Request_)) {
            WaitsSince_.erase(Task);
            continue;
          }
          TimePoint Since = WaitsSince_.emplace(Task, Now_).first->second;
          Duration &Longest = LongestWaits_[Task];
          Longest = std::max(Longest, Now_ - Since);
        }
    }
  }

  std::map<std::string, std::vector<StepSpec>> Specs_;
  std::vector<PendingRenewal> Pending_;
  std::map<std::string, TimePoint> WaitsSince_;
  std::map<std::string, Duration> LongestWaits_;
  std::map<std::string, std::uint32_t> StaggeredOn_;
  std::uint32_t BacklogPerWorker_ = 0;
  std::optional<StepSpec> Flow_;
  Duration FlowInterval_{};
  TimePoint NextFlowAt_{};
  std::uint64_t FlowJobs_ = 0;
};

struct EightWorkers : WatchedCell {
  EightWorkers() : WatchedCell(8) {}
};

struct SixteenWorkers : WatchedCell {
  SixteenWorkers() : WatchedCell(16) {}
};

} // namespace filbertspring::scheduling::test

#endif // FILBERTSPRING_SCHEDULING_TESTS_WATCHED_CELL_H
