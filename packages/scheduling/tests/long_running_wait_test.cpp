#include "watched_cell.h"

namespace filbertspring::scheduling::test {
namespace {

/// A better priority for "batch" than for "later".
void configureTwoPriorities(Scheduler &Target) {
  auto Queues = std::make_shared<QueueTable>();
  Queue Batch;
  Batch.Name_ = "batch";
  Batch.Service_ = "service";
  Batch.Attempts_ = 2;
  Queue Later = Batch;
  Later.Name_ = "later";
  Later.Priority_ = 1;
  Queues->Queues_ = {Batch, Later};
  Target.configure(Queues);
}

/// Returns the names of workers.
std::vector<std::string> workers(int First, int Last) {
  std::vector<std::string> Ids;
  for (int Number = First; Number <= Last; ++Number)
    Ids.push_back("w" + std::to_string(Number));
  return Ids;
}

/// Returns a step with a small task for each of \p Workers.
StepSpec onEachOf(std::uint32_t Workers) {
  StepSpec Step = Cell::task(Workers, 500);
  Step.MaxPerWorker_ = 1;
  return Step;
}

void playRounds(Cell &Target, int Rounds) {
  for (int Round = 0; Round < Rounds; ++Round) {
    Target.step();
    Target.answerRenewals();
  }
}

/// Occupies a part of each of \p Workers for the time of a test.
void occupyEach(WatchedCell &Target, std::uint32_t Workers,
                std::int64_t MilliCpu, const std::string &RequiredLabel = "") {
  StepSpec Step = Cell::task(Workers, MilliCpu);
  Step.MaxPerWorker_ = 1;
  Step.RequiredLabel_ = RequiredLabel;
  Target.WorkTimes_["long"] = 60s;
  Target.submit("long", {Step});
  Target.play(200ms);
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_long_running_task)

BOOST_AUTO_TEST_SUITE(of_a_job_with_a_reservation)

BOOST_FIXTURE_TEST_CASE(does_not_wait_until_the_others_of_its_step_run,
                        SixteenWorkers) {
  WorkTime_ = 2s;
  submitBacklog(1500, 5);
  submit("large", {longRunning(4, 3000, 1)});
  // Placed behind timed tasks for three seconds.
  BOOST_TEST(playUntilRunning("large", 4, Now_ + 2 * MaxCalmWait));
}

BOOST_AUTO_TEST_CASE(does_not_wait_behind_another_step_that_fits_nowhere) {
  WatchedCell Racks(8, 7);
  occupyEach(Racks, 7, 7000, "rack0");
  Racks.submitBacklog(1500, 5);
  StepSpec Hopeless = WatchedCell::longRunning(1, 8000);
  Hopeless.RequiredLabel_ = "rack0";
  StepSpec Possible = WatchedCell::longRunning(1, 3000);
  Possible.RequiredLabel_ = "rack1";
  Racks.submit("large", {Hopeless, Possible});
  BOOST_TEST(Racks.playUntilRunning("large", 1, Racks.Now_ + 2 * MaxCalmWait));
}

BOOST_FIXTURE_TEST_CASE(does_not_wait_for_an_earlier_run_of_another_one, Cell) {
  submit("lasting", {WatchedCell::longRunning(2, 1000)});
  step();
  acceptStarts();
  answerRenewals();
  BOOST_REQUIRE(Starts_.size() == 2);
  BOOST_REQUIRE(Starts_.front().Worker_ == Starts_.back().Worker_);
  StartTask First = Starts_.front();
  BOOST_REQUIRE(First.Name_.Index_ == 0U);
  Starts_.clear();
  // A start command that was given up is executed late, and not stopped yet.
  RunningTasks_[First.Worker_ == "w1" ? "w2" : "w1"] = {
      {First.Name_, First.Run_ - 1, "", 0, 0}};
  playRounds(*this, 100);
  RunningTasks_[First.Worker_].clear();
  list(First.Worker_, true);
  playRounds(*this, 100);
  BOOST_REQUIRE(!Starts_.empty());
  BOOST_TEST(Starts_.front().Name_.Index_ == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_failed)

BOOST_FIXTURE_TEST_CASE(runs_there_again_if_no_other_worker_can_take_it, Cell) {
  submit("lasting", {WatchedCell::longRunning(3, 1000)});
  step();
  acceptStarts();
  answerRenewals();
  BOOST_REQUIRE(Starts_.size() == 3);
  StartTask First = Starts_.front();
  BOOST_REQUIRE(First.Worker_ == Starts_.back().Worker_);
  // A start command that was given up is executed late, and not stopped yet.
  RunningTasks_[First.Worker_ == "w1" ? "w2" : "w1"] = {
      {First.Name_, First.Run_ - 1, "", 0, 0}};
  playRounds(*this, 100);
  std::vector<RunningTask> Others = RunningTasks_[First.Worker_];
  Others.erase(Others.begin());
  end(EndReason::Failed);
  RunningTasks_[First.Worker_] = Others;
  Starts_.clear();
  playRounds(*this, 100);
  BOOST_REQUIRE(!Starts_.empty());
  BOOST_TEST(Starts_.front().Worker_ == First.Worker_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_suspected_of_several_crashes)

BOOST_FIXTURE_TEST_CASE(finds_a_worker_on_which_all_runs_have_settled,
                        EightWorkers) {
  WorkTime_ = 700ms;
  startFlow(onEachOf(8), 200ms);
  play(1s);
  DeadlyStarts_["lasting.0.0.0"] = 2;
  submit("lasting", {longRunning(1, 1000)});
  play(5s);
  BOOST_REQUIRE(DeadlyStarts_["lasting.0.0.0"] == 0);
  BOOST_TEST(playUntilRunning("lasting", 1, FaultAt_ + MaxWaitAfterFault));
}

BOOST_FIXTURE_TEST_CASE(finds_one_beside_many_others, SixteenWorkers) {
  WorkTime_ = 700ms;
  submit("lasting", {longRunning(48, 1000)});
  for (int Crashes = 0; Crashes < 2; ++Crashes) {
    BOOST_REQUIRE(playUntilRunning("lasting", 48, Now_ + MaxWaitAfterRun));
    crashAll(workers(1, 16));
    play(DownTime_);
  }
  startFlow(onEachOf(16), 200ms);
  BOOST_TEST(playUntilRunning("lasting", 48, FaultAt_ + MaxWaitAfterFault));
}

BOOST_FIXTURE_TEST_CASE(leaves_a_worker_to_another_one, SixteenWorkers) {
  submit("lasting", {longRunning(96, 500)});
  play(3s);
  for (int Crashes = 0; Crashes < 3; ++Crashes) {
    crashAll(workers(1, 8));
    play(6s);
    crashAll(workers(9, 16));
    play(6s);
  }
  crashAll(workers(1, 16));
  play(DownTime_);
  submit("later", {longRunning(1, 500)});
  BOOST_TEST(playUntilRunning("later", 1, FaultAt_ + MaxWaitAfterFault));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(beside_one_that_crashes_its_worker)

// Suspected tasks that start together crash together.
BOOST_AUTO_TEST_CASE(does_not_fail_with_it) {
  WatchedCell Pair(2);
  for (int Number = 0; Number < 13; ++Number)
    Pair.submit("good" + std::to_string(Number),
                {WatchedCell::longRunning(1, 1000)});
  Pair.play(2s);
  Pair.submit("bad", {WatchedCell::longRunning(1, 1000)});
  std::optional<TimePoint> RunsSince;
  for (TimePoint End = Pair.Now_ + 150s; Pair.Now_ < End;) {
    Pair.play(20ms);
    std::string Worker = Pair.workerOf("bad.0.0.0");
    if (Worker.empty())
      RunsSince.reset();
    else if (!RunsSince)
      RunsSince = Pair.Now_;
    else if (Pair.Now_ - *RunsSince >= 900ms)
      Pair.crash(Worker);
  }
  for (int Number = 0; Number < 13; ++Number)
    BOOST_TEST((Pair.Scheduler_.stateOf("good" + std::to_string(Number)) ==
                JobState::Running));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_was_not_at_fault)

BOOST_FIXTURE_TEST_CASE(does_not_wait_until_workers_that_left_are_judged,
                        EightWorkers) {
  submit("lasting", {longRunning(1, 1000)});
  for (int Losses = 0; Losses < 5; ++Losses) {
    BOOST_REQUIRE(playUntilRunning("lasting", 1, Now_ + MaxWaitAfterRun));
    remove(workerOf("lasting.0.0.0"));
  }
  BOOST_TEST(playUntilRunning("lasting", 1, FaultAt_ + MaxWaitAfterRun));
}

BOOST_FIXTURE_TEST_CASE(runs_soon_after_its_failures_have_stopped,
                        EightWorkers) {
  FailUntil_["lasting"] = Now_ + 20s;
  submit("lasting", {longRunning(8, 1000)});
  play(20s);
  BOOST_TEST(playUntilRunning("lasting", 8, Now_ + MaxWaitAfterRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_fits_beside_no_other_one)

BOOST_FIXTURE_TEST_CASE(runs_once_a_worker_has_room_for_it, EightWorkers) {
  submit("one", {longRunning(1, 4500)});
  submit("others", {longRunning(7, 4500, 1)});
  play(1s);
  BOOST_REQUIRE(running("one").size() + running("others").size() == 8);
  submitBacklog(1000, 3);
  submit("large", {longRunning(1, 4000)});
  play(2 * MaxCalmWait);
  BOOST_REQUIRE(running("large").empty());
  BOOST_TEST((longestWait() < MaxCalmWait));
  cancel("one");
  BOOST_TEST(playUntilRunning("large", 1, Now_ + MaxCalmWait));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_reservation_on_a_worker_that_stays_full)

BOOST_AUTO_TEST_CASE(runs_on_one_that_is_free_sooner) {
  WatchedCell Racks(9, 8);
  StepSpec Long = Cell::task(1, 4000);
  Long.RequiredLabel_ = "rack1";
  Racks.WorkTimes_["long"] = 60s;
  Racks.submit("long", {Long});
  Racks.submitBacklog(1500, 5, "rack0");
  Racks.submit("large", {WatchedCell::longRunning(1, 6000)});
  BOOST_TEST(Racks.playUntilRunning("large", 1, Racks.Now_ + 2 * MaxCalmWait));
}

BOOST_FIXTURE_TEST_CASE(leaves_its_free_capacity_to_another_one, EightWorkers) {
  occupyEach(*this, 8, 3000);
  for (int Number = 0; Number < 3; ++Number)
    submit("large" + std::to_string(Number), {longRunning(1, 6000)});
  play(1s);
  submitBacklog(1000, 5);
  play(2s);
  submit("small", {longRunning(1, 2000)});
  resetWaits();
  play(3 * MaxCalmWait);
  BOOST_TEST((longestWait() < MaxCalmWait));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_queue_with_a_lower_priority)

BOOST_FIXTURE_TEST_CASE(runs_beside_a_flow_that_leaves_room, EightWorkers) {
  configureTwoPriorities(Scheduler_);
  startFlow(task(1, 500), 20ms);
  play(2s);
  submit("lasting", {longRunning(4, 1000)}, "later");
  BOOST_TEST(playUntilRunning("lasting", 4, Now_ + MaxCalmWait));
}

BOOST_FIXTURE_TEST_CASE(runs_beside_reservations_of_the_others, EightWorkers) {
  configureTwoPriorities(Scheduler_);
  occupyEach(*this, 8, 4000);
  for (int Number = 0; Number < 20; ++Number)
    submit("large" + std::to_string(Number), {task(1, 7000)});
  play(1s);
  submit("lasting", {longRunning(2, 2000)}, "later");
  BOOST_TEST(playUntilRunning("lasting", 2, Now_ + MaxCalmWait));
}

BOOST_FIXTURE_TEST_CASE(gets_one_of_the_starts_that_are_admitted,
                        EightWorkers) {
  configureTwoPriorities(Scheduler_);
  WorkTime_ = 200ms;
  MaxStarts_ = 4;
  startFlow(task(8, 500), 20ms);
  play(2s);
  submit("lasting", {longRunning(1, 1000)}, "later");
  BOOST_TEST(playUntilRunning("lasting", 1, Now_ + MaxWaitAfterRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
