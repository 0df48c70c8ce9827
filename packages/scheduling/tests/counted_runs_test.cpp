/// \file
/// Tests of the runs that an owner counts although no worker executes them.

#include "crash_fixture.h"

namespace filbertspring::scheduling::test {
namespace {

/// Users tolerate that a ready task waits for this long beside free capacity.
constexpr Duration MaxReadyWait = 3s;

StepSpec lastingTask(std::uint32_t Count = 1, std::int64_t MilliCpu = 1000) {
  StepSpec Step = Cell::task(Count, MilliCpu);
  Step.IsLongRunning_ = true;
  return Step;
}

/// A cell with one long-running task on one of two workers.
struct CellWithRun : Cell {
  CellWithRun() {
    submit("lasting", {lastingTask()});
    step();
    BOOST_REQUIRE(Starts_.size() == 1);
    First_ = Starts_.front();
    accept(First_);
    play(100ms);
  }

  void accept(const StartTask &Start) {
    std::vector<RunningTask> &Running = RunningTasks_[Start.Worker_];
    std::erase_if(Running, [&](const RunningTask &Task) {
      return Task.Name_.text() == Start.Name_.text();
    });
    Running.push_back({Start.Name_, Start.Run_, "", 100, 1});
    Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                             CallOutcome::Accepted, Now_);
  }

  /// Lets \p Time pass. Workers carry out all commands.
  void play(Duration Time) {
    for (TimePoint End = Now_ + Time; Now_ < End;) {
      step();
      for (; Answered_ < Starts_.size(); ++Answered_)
        accept(Starts_[Answered_]);
      for (const StopTask &Stop : std::exchange(Stops_, {}))
        carryOut(Stop);
      answerRenewals();
    }
  }

  void carryOut(const StopTask &Stop) {
    std::erase_if(RunningTasks_[Stop.Worker_], [&](const RunningTask &Task) {
      bool IsStopped = Task.Run_ == Stop.Run_;
      if (IsStopped)
        addEnd(Stop.Worker_, Stop.Run_, EndReason::Stopped);
      return IsStopped;
    });
    Scheduler_.stopAnswered(Stop.Worker_, Stop.Name_, Stop.Run_,
                            CallOutcome::Accepted, Now_);
  }

  void addEnd(const std::string &Worker, std::uint64_t Run, EndReason Reason) {
    std::vector<EndedTask> &Ends = EndedTasks_[Worker];
    Ends.push_back({Ends.size() + 1, First_.Name_, Run, Reason, ""});
  }

  /// Lets the worker of the first run report that it executes nothing.
  void loseFirstRun() {
    RunningTasks_[First_.Worker_].clear();
    step();
    answerRenewals();
  }

  void closeZoneOf(const std::string &Worker) {
    Scheduler_.setClosedZones({Worker == "w1" ? "zone-a" : "zone-b"});
  }
  std::string otherWorker() const {
    return First_.Worker_ == "w1" ? "w2" : "w1";
  }
  bool isRunning() const {
    return std::any_of(RunningTasks_.begin(), RunningTasks_.end(),
                       [](const auto &Entry) { return !Entry.second.empty(); });
  }

  StartTask First_;
  std::size_t Answered_ = 1;
};

/// A cell in which the previous owner had started a task on worker w3.
struct CellTakenOver : Cell {
  CellTakenOver() {
    WorkerEntry Entry;
    Entry.Id_ = "w3";
    Entry.Service_ = "service";
    Entry.Address_ = "address-w3";
    Entry.StartedAtMs_ = 1;
    Scheduler_.restoreWorker(Entry, Now_);
    list("w3", false);
    submit("lasting", {lastingTask()});
    JobProgress Progress;
    Progress.State_ = JobState::Running;
    Progress.Tasks_["lasting.0.0.0"].Worker_ = "w3";
    Progress.Tasks_["lasting.0.0.0"].LastRun_ = 7;
    Scheduler_.restoreProgress("lasting", Progress);
    TaskName Name;
    Name.Job_ = "lasting";
    RunningTasks_["w3"] = {{Name, 7, "", 100, 1}};
  }

  /// Lets \p Time pass, in which w3 does not answer.
  void playWithoutWorker(Duration Time) {
    for (TimePoint End = Now_ + Time; Now_ < End;) {
      step(100ms);
      std::vector<RenewLease> OfOthers;
      for (const RenewLease &Renewal : std::exchange(Renewals_, {}))
        if (Renewal.Worker_ == "w3")
          Scheduler_.renewalFailed("w3", CallOutcome::NoAnswer, Now_);
        else
          OfOthers.push_back(Renewal);
      Renewals_ = std::move(OfOthers);
      answerRenewals();
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_task_whose_earlier_run_is_listed_again)

BOOST_FIXTURE_TEST_CASE(is_started_after_the_end_of_that_run, CellWithRun) {
  loseFirstRun();
  closeZoneOf(First_.Worker_);
  play(100ms);
  BOOST_REQUIRE(Starts_.size() == 2);
  Scheduler_.setClosedZones({});
  step(2s);
  RunningTasks_[otherWorker()].clear();
  addEnd(otherWorker(), Starts_.back().Run_, EndReason::Failed);
  RunningTasks_[First_.Worker_] = {{First_.Name_, First_.Run_, "", 100, 1}};
  // The report with the end comes first.
  std::partition(Renewals_.begin(), Renewals_.end(), [&](const auto &Renewal) {
    return Renewal.Worker_ != First_.Worker_;
  });
  BOOST_REQUIRE(Renewals_.size() == 2);
  answerRenewals();
  play(100ms);
  BOOST_REQUIRE(Starts_.size() == 2);
  BOOST_REQUIRE(Scheduler_.counts().PlacedTasks_ == 1);
  RunningTasks_[First_.Worker_].clear();
  addEnd(First_.Worker_, First_.Run_, EndReason::Failed);
  play(MaxReadyWait);
  BOOST_TEST(Starts_.size() == 3);
  BOOST_TEST(isRunning());
}

BOOST_FIXTURE_TEST_CASE(is_started_if_its_next_run_was_planned_beside_it,
                        CellWithRun) {
  closeZoneOf(otherWorker());
  loseFirstRun();
  while (Renewals_.size() < 2)
    step(100ms, false);
  BOOST_REQUIRE(Scheduler_.counts().PlacedTasks_ == 1);
  RunningTasks_[First_.Worker_] = {{First_.Name_, First_.Run_, "", 100, 1}};
  answerRenewals();
  play(MaxReadyWait);
  BOOST_TEST(isRunning());
}

BOOST_FIXTURE_TEST_CASE(is_started_if_its_next_run_was_sent_beside_it,
                        CellWithRun) {
  closeZoneOf(otherWorker());
  loseFirstRun();
  step();
  BOOST_REQUIRE(Starts_.size() == 2);
  // The worker executes the earlier run and rejects the later one.
  RunningTasks_[First_.Worker_] = {{First_.Name_, First_.Run_, "", 100, 1}};
  step(1s);
  answerRenewals();
  Answered_ = 2;
  Scheduler_.startAnswered(First_.Worker_, First_.Name_, Starts_.back().Run_,
                           CallOutcome::RejectedNoCapacity, Now_);
  play(MaxReadyWait);
  BOOST_TEST(isRunning());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_worker_that_restarted)

BOOST_FIXTURE_TEST_CASE(keeps_its_runs_after_a_late_answer_of_its_earlier_life,
                        CellWithCrashes) {
  WorkTime_ = 60s;
  for (int Number = 2; Number <= 8; ++Number)
    list("w" + std::to_string(Number), true);
  crash("w1");
  run(DownTime_ + 500ms);
  submit("00000000000000aa", {lastingTask(4)});
  run(500ms);
  BOOST_REQUIRE(Machines_["w1"].Tasks_.size() == 4);
  for (int Number = 2; Number <= 8; ++Number)
    list("w" + std::to_string(Number), false);
  WorkerReport Late;
  Late.ClockMs_ = Now_.time_since_epoch() / 1ms;
  Late.StartedAtMs_ = 1;
  Scheduler_.renewalAnswered("w1", Late, Now_);
  run(2s);
  for (const auto &[Task, Count] : StartCounts_)
    BOOST_TEST(Count == 1);
}

BOOST_FIXTURE_TEST_CASE(gets_starts_though_earlier_ones_were_never_answered,
                        Cell) {
  Scheduler_.setClosedZones({"zone-b"});
  submit("00000000000000aa", {task(4)});
  step();
  BOOST_REQUIRE(Starts_.size() == 4);
  list("w1", true);
  list("w1", false, 2);
  Born_ = 2;
  step();
  answerRenewals();
  step();
  answerRenewals();
  step();
  BOOST_TEST(Starts_.size() == 8);
}

BOOST_FIXTURE_TEST_CASE(restarts_its_tasks_whatever_is_seen_of_it_first,
                        CellWithCrashes) {
  WorkTime_ = 60s;
  submit("00000000000000aa", {lastingTask(2)});
  run(2s);
  std::string Worker = LastWorker_["00000000000000aa.0.0.0"];
  Machine &Restarted = Machines_[Worker];
  Restarted.Tasks_.clear();
  ++Restarted.Born_;
  // Reports of the new life arrive, and its registration much later.
  run(MaxReadyWait);
  BOOST_TEST(StartCounts_["00000000000000aa.0.0.0"] == 2);
  list(Worker, false, Restarted.Born_);
  submit("00000000000000bb", {task(80)});
  run(MaxReadyWait);
  BOOST_TEST(Machines_[Worker].Tasks_.size() > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_worker_that_another_one_answered_for)

BOOST_FIXTURE_TEST_CASE(loses_its_runs_again_the_next_time, CellWithRun) {
  std::string Worker = First_.Worker_;
  RunningTasks_[Worker].clear();
  closeZoneOf(otherWorker());
  Scheduler_.renewalFailed(Worker, CallOutcome::OtherInstance, Now_);
  play(2s);
  BOOST_REQUIRE(Starts_.size() == 2);
  RunningTasks_[Worker].clear();
  Scheduler_.setClosedZones({});
  Scheduler_.renewalFailed(Worker, CallOutcome::OtherInstance, Now_);
  for (TimePoint End = Now_ + MaxReadyWait; Now_ < End;) {
    step(100ms);
    std::vector<RenewLease> OfOthers;
    for (const RenewLease &Renewal : std::exchange(Renewals_, {}))
      if (Renewal.Worker_ == Worker)
        Scheduler_.renewalFailed(Worker, CallOutcome::OtherInstance, Now_);
      else
        OfOthers.push_back(Renewal);
    Renewals_ = std::move(OfOthers);
    answerRenewals();
  }
  BOOST_TEST(Starts_.size() == 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_run_of_the_previous_owner)

BOOST_FIXTURE_TEST_CASE(keeps_its_lease_if_its_worker_answers_once,
                        CellTakenOver) {
  step();
  // The new owner cannot extend leases while the store is away.
  answerRenewals();
  Now_ += 20ms;
  Scheduler_.advance(Now_, 0, Now_, false);
  collect();
  TimePoint LastContact = Now_;
  playWithoutWorker(SchedulerSettings().LeaseDuration_ - 200ms);
  BOOST_TEST(Starts_.empty());
  playWithoutWorker(LastContact + 9s - Now_);
  BOOST_TEST(Starts_.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(keeps_its_lease_if_its_worker_drains, CellTakenOver) {
  list("w3", true);
  step();
  answerRenewals();
  playWithoutWorker(SchedulerSettings().LeaseDuration_ - 200ms);
  BOOST_TEST(Starts_.empty());
  playWithoutWorker(3s);
  BOOST_TEST(Starts_.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
