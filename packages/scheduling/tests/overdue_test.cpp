#include "cell_fixture.h"

#include <set>

namespace filbertspring::scheduling::test {
namespace {

/// Tasks that wait longer beside free capacity are lost for their users.
constexpr Duration MaxOverdueWait = 3s;

/// A cell whose workers fail all tasks for a time.
struct FailingCell : Cell {
  void run(Duration Time) {
    for (TimePoint End = Now_ + Time; Now_ < End;) {
      step();
      refuseStarts();
      acceptStarts();
      for (const StartTask &Start : std::exchange(Starts_, {})) {
        Started_.insert(Start.Name_.text());
        ++StartsOn_[Start.Worker_];
        if (IsFailing_ || Start.Worker_ == Broken_)
          fail(Start);
      }
      answerRenewals();
    }
  }

  void refuseStarts() {
    std::erase_if(Starts_, [this](const StartTask &Start) {
      if (Start.Worker_ != Refusing_)
        return false;
      ++StartsOn_[Start.Worker_];
      Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                               CallOutcome::RejectedOther, Now_);
      return true;
    });
  }

  void fail(const StartTask &Start) {
    std::erase_if(RunningTasks_[Start.Worker_], [&](const RunningTask &Task) {
      return Task.Name_.text() == Start.Name_.text();
    });
    std::vector<EndedTask> &Ends = EndedTasks_[Start.Worker_];
    Ends.push_back(
        {Ends.size() + 1, Start.Name_, Start.Run_, EndReason::Failed, ""});
  }

  /// Lets each worker fail more tasks than the first quarantine takes.
  void quarantineWorkers() {
    IsFailing_ = true;
    submit("00000000000000aa", {task(16)});
    run(100ms);
    IsFailing_ = false;
    Scheduler_.cancelJob("00000000000000aa", Now_);
    run(100ms);
    Started_.clear();
    StartsOn_.clear();
  }

  static StepSpec longRunning(StepSpec Step) {
    Step.IsLongRunning_ = true;
    return Step;
  }

  bool IsFailing_ = false;
  /// The workers that go on to fail or to refuse all starts.
  std::string Broken_;
  std::string Refusing_;
  std::map<std::string, int> StartsOn_;
  std::set<std::string> Started_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(beside_workers_that_are_all_quarantined)

BOOST_FIXTURE_TEST_CASE(a_long_running_task_does_not_wait_until_they_are_not,
                        FailingCell) {
  quarantineWorkers();
  submit("00000000000000bb", {longRunning(task(2))});
  run(1s);
  BOOST_TEST(Started_.empty());
  run(MaxOverdueWait - 1s);
  BOOST_TEST(Started_.contains("00000000000000bb.0.0.0"));
  BOOST_TEST(Started_.contains("00000000000000bb.0.0.1"));
}

BOOST_FIXTURE_TEST_CASE(a_timed_job_does_not_wait_until_they_are_not,
                        FailingCell) {
  quarantineWorkers();
  submit("00000000000000bb", {task(4)});
  run(MaxOverdueWait);
  BOOST_TEST(Started_.contains("00000000000000bb.0.0.0"));
}

BOOST_FIXTURE_TEST_CASE(only_one_task_of_a_timed_job_is_tried, FailingCell) {
  quarantineWorkers();
  submit("00000000000000bb", {task(4)});
  run(MaxOverdueWait);
  BOOST_TEST(Started_.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_step_does_not_wait_behind_one_that_fits_nowhere,
                        FailingCell) {
  quarantineWorkers();
  submit("00000000000000bb", {task(1, 9000), task(1)});
  run(MaxOverdueWait);
  BOOST_TEST(Started_.contains("00000000000000bb.0.1.0"));
}

BOOST_FIXTURE_TEST_CASE(the_one_that_goes_on_to_fail_is_not_tried_again_at_once,
                        FailingCell) {
  Broken_ = "w1";
  quarantineWorkers();
  submit("00000000000000bb", {longRunning(task(1))});
  run(8s);
  BOOST_TEST(StartsOn_["w1"] <= 1);
  BOOST_TEST(RunningTasks_["w2"].size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(one_that_refuses_starts_is_not_tried_again_at_once,
                        FailingCell) {
  Refusing_ = "w1";
  list("w1", true);
  IsFailing_ = true;
  submit("00000000000000aa", {longRunning(task(8))});
  run(100ms);
  IsFailing_ = false;
  Scheduler_.cancelJob("00000000000000aa", Now_);
  list("w1", false);
  run(100ms);
  submit("00000000000000bb", {longRunning(task(1))});
  run(MaxOverdueWait);
  BOOST_TEST(RunningTasks_["w2"].size() == 1U);
  BOOST_TEST(StartsOn_["w1"] <= 4);
}

BOOST_FIXTURE_TEST_CASE(a_timed_job_waits_while_most_capacity_is_in_use,
                        FailingCell) {
  StepSpec Large = longRunning(task(2));
  Large.Request_.MemoryMb_ = 9000;
  submit("00000000000000cc", {Large});
  run(1s);
  BOOST_REQUIRE(Started_.size() == 2U);
  quarantineWorkers();
  submit("00000000000000bb", {task(4)});
  run(MaxOverdueWait);
  BOOST_TEST(Started_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_task_whose_starts_are_refused)

BOOST_FIXTURE_TEST_CASE(has_waited_since_it_became_ready, Cell) {
  submit("00000000000000bb", {task(1)});
  for (int Refusals = 0; Refusals < 4; ++Refusals) {
    while (Starts_.empty()) {
      step();
      answerRenewals();
    }
    StartTask Refused = Starts_.back();
    Starts_.clear();
    Scheduler_.startAnswered(Refused.Worker_, Refused.Name_, Refused.Run_,
                             CallOutcome::RejectedNoCapacity, Now_);
    if (Refusals == 3)
      BOOST_TEST((Refused.Waited_ >= 900ms));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(beside_a_worker_that_is_not_quarantined)

BOOST_FIXTURE_TEST_CASE(an_overdue_task_waits_for_it, FailingCell) {
  quarantineWorkers();
  list("w3", false);
  submit("00000000000000bb", {longRunning(task(2))});
  run(MaxOverdueWait);
  BOOST_TEST(RunningTasks_["w3"].size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
