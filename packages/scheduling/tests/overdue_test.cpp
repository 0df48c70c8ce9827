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
      acceptStarts();
      for (const StartTask &Start : std::exchange(Starts_, {})) {
        Started_.insert(Start.Name_.text());
        if (IsFailing_)
          fail(Start);
      }
      answerRenewals();
    }
  }

  void fail(const StartTask &Start) {
    RunningTasks_[Start.Worker_].pop_back();
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
    Started_.clear();
  }

  static StepSpec longRunning(StepSpec Step) {
    Step.IsLongRunning_ = true;
    return Step;
  }

  bool IsFailing_ = false;
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
