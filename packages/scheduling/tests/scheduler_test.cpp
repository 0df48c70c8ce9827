/// \file
/// Tests of single decisions. The tests read the actions of the scheduler and
/// answer them; no workers or owners are simulated.

#include "cell_fixture.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::scheduling::test {
namespace {

BOOST_AUTO_TEST_SUITE(a_submitted_job)

BOOST_FIXTURE_TEST_CASE(starts_once_its_placement_is_stored, Cell) {
  submit("job", {task(1)});
  step(20ms, false);
  BOOST_TEST(Starts_.empty());
  step();
  BOOST_REQUIRE(Starts_.size() == 1);
  BOOST_TEST(Starts_.front().Run_ == 1);
  BOOST_TEST(storedProgress()["job"].Tasks_.at("job.0.0.0").Worker_ ==
             Starts_.front().Worker_);
}

BOOST_FIXTURE_TEST_CASE(counts_as_waiting_until_a_worker_confirms_a_start,
                        Cell) {
  submit("job", {task(1)});
  step();
  BOOST_REQUIRE(Starts_.size() == 1);
  BOOST_TEST(Scheduler_.pendingByQueue()["batch"] == 1);
  BOOST_TEST((Scheduler_.stateOf("job") == JobState::Queued));
  acceptStarts();
  BOOST_TEST(Scheduler_.pendingByQueue()["batch"] == 0);
  BOOST_TEST((Scheduler_.stateOf("job") == JobState::Running));
}

BOOST_FIXTURE_TEST_CASE(leaves_capacity_for_a_large_job, Cell) {
  for (const char *Small : {"small-1", "small-2"}) {
    submit(Small, {task(1, 2000)});
    step();
    acceptStarts();
    Starts_.clear();
  }
  submit("large", {task(1, 8000)});
  step();
  BOOST_REQUIRE(Starts_.size() == 1);
  BOOST_TEST(Starts_.front().Name_.Job_ == "large");
}

BOOST_FIXTURE_TEST_CASE(
    is_placed_after_a_long_running_job_that_has_waited_too_long, Cell) {
  submit("first", {task(2, 8000)});
  step();
  acceptStarts();
  StepSpec LongRunning = task(1, 8000);
  LongRunning.IsLongRunning_ = true;
  submit("lasting", {LongRunning});
  step();
  // A timed job is submitted after the long-running job has waited for 3 s.
  step(3s);
  submit("timed", {task(1, 8000)});
  end(EndReason::Done);
  Starts_.clear();
  answerRenewals();
  step();
  BOOST_REQUIRE(Starts_.size() == 1);
  BOOST_TEST(Starts_.front().Name_.Job_ == "lasting");
}

BOOST_FIXTURE_TEST_CASE(
    is_placed_after_jobs_that_can_be_in_time_when_it_is_late, Cell) {
  submit("first", {task(2, 8000)});
  step();
  acceptStarts();
  StepSpec Timed = task(1, 8000);
  Timed.Estimate_ = 100ms;
  submit("old", {Timed});
  // Well past the objective, which is one estimate.
  step(2s);
  submit("new", {Timed});
  end(EndReason::Done);
  Starts_.clear();
  answerRenewals();
  step();
  BOOST_REQUIRE(Starts_.size() == 1);
  BOOST_TEST(Starts_.front().Name_.Job_ == "new");
}

BOOST_FIXTURE_TEST_CASE(is_placed_before_a_long_running_job, Cell) {
  StepSpec LongRunning = task(2, 8000);
  LongRunning.IsLongRunning_ = true;
  submit("lasting", {LongRunning});
  submit("timed", {task(1, 8000)});
  step();
  BOOST_REQUIRE(Starts_.size() == 2);
  BOOST_TEST(Starts_.front().Name_.Job_ == "timed");
  BOOST_TEST(Starts_.back().Name_.Job_ == "lasting");
}

BOOST_FIXTURE_TEST_CASE(waits_for_capacity, Cell) {
  submit("job", {task(3, 6000)});
  step();
  BOOST_TEST(Starts_.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(runs_its_steps_in_order, Cell) {
  StepSpec Second = task(1);
  Second.DependsOn_ = {0};
  submit("job", {task(1), Second});
  step();
  BOOST_REQUIRE(Starts_.size() == 1);
  acceptStarts();
  step();
  end(EndReason::Done);
  answerRenewals();
  step();
  step();
  BOOST_REQUIRE(Starts_.size() == 2);
  BOOST_TEST(Starts_.back().Name_.Step_ == 1);
}

BOOST_FIXTURE_TEST_CASE(is_completed_with_its_last_task, Cell) {
  submit("job", {task(1)});
  step();
  acceptStarts();
  step();
  end(EndReason::Done);
  answerRenewals();
  BOOST_TEST((Scheduler_.stateOf("job") == JobState::Completed));
}

BOOST_FIXTURE_TEST_CASE(is_removed_when_its_retention_time_is_over, Cell) {
  submit("job", {task(1)});
  Scheduler_.cancelJob("job", Now_);
  step();
  BOOST_TEST(Scheduler_.expiredJobs(Now_ + 149s, 10).empty());
  std::vector<std::string> Expired = Scheduler_.expiredJobs(Now_ + 151s, 10);
  BOOST_REQUIRE(Expired.size() == 1U);
  Scheduler_.jobsRemoved(Expired);
  BOOST_TEST(!Scheduler_.stateOf("job").has_value());
  BOOST_REQUIRE(Scheduler_.hasWrites());
  BOOST_TEST(Scheduler_.takeWrites(90).RemovedJobs_.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(fails_with_its_last_attempt, Cell) {
  submit("job", {task(1)});
  step();
  acceptStarts();
  step();
  end(EndReason::Failed);
  answerRenewals();
  BOOST_TEST((Scheduler_.stateOf("job") == JobState::Running));
  step(200ms);
  step();
  BOOST_REQUIRE(Starts_.size() == 2);
  BOOST_TEST(Starts_.back().Worker_ != Starts_.front().Worker_);
}

BOOST_FIXTURE_TEST_CASE(counts_a_failure_once_whatever_the_tenure, Cell) {
  submit("job", {task(1)});
  JobProgress Stored;
  Stored.State_ = JobState::Running;
  Stored.Tasks_["job.0.0.0"] = {false, 1, 7, "", "w1", 7};
  Scheduler_.restoreProgress("job", Stored);
  EndedTasks_["w1"].push_back({1, {"job", 0, 0, 0}, 7, EndReason::Failed, ""});
  step();
  answerRenewals();
  BOOST_TEST((Scheduler_.stateOf("job") == JobState::Running));
}

BOOST_FIXTURE_TEST_CASE(is_stopped_when_it_is_cancelled, Cell) {
  submit("job", {task(1)});
  step();
  acceptStarts();
  Scheduler_.cancelJob("job", Now_);
  step();
  BOOST_REQUIRE(Stops_.size() == 1);
  BOOST_TEST((Scheduler_.stateOf("job") == JobState::Cancelled));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_end)

BOOST_FIXTURE_TEST_CASE(is_acknowledged_after_it_is_stored, Cell) {
  submit("job", {task(1)});
  step();
  acceptStarts();
  step();
  end(EndReason::Done);
  answerRenewals();
  step(300ms, false);
  BOOST_REQUIRE(!Renewals_.empty());
  for (const RenewLease &Renewal : Renewals_)
    BOOST_TEST(Renewal.Acknowledged_ == 0);
  answerRenewals();
  step();
  step(300ms);
  std::uint64_t Highest = 0;
  for (const RenewLease &Renewal : Renewals_)
    Highest = std::max(Highest, Renewal.Acknowledged_);
  BOOST_TEST(Highest == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_start_without_an_answer)

BOOST_FIXTURE_TEST_CASE(is_sent_again_as_the_same_run, Cell) {
  submit("job", {task(1)});
  step();
  StartTask First = Starts_.front();
  Scheduler_.startAnswered(First.Worker_, First.Name_, First.Run_,
                           CallOutcome::NoAnswer, Now_);
  step();
  BOOST_REQUIRE(Starts_.size() == 2);
  BOOST_TEST(Starts_.back().Worker_ == First.Worker_);
  BOOST_TEST(Starts_.back().Run_ == First.Run_);
}

BOOST_FIXTURE_TEST_CASE(that_was_executed_is_not_repeated_elsewhere, Cell) {
  submit("job", {task(1)});
  step();
  StartTask First = Starts_.front();
  Scheduler_.startAnswered(First.Worker_, First.Name_, First.Run_,
                           CallOutcome::NoAnswer, Now_);
  step();
  Scheduler_.startAnswered(First.Worker_, First.Name_, First.Run_,
                           CallOutcome::RejectedOldRun, Now_);
  step();
  step();
  BOOST_TEST(Starts_.size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_worker)

BOOST_FIXTURE_TEST_CASE(that_is_draining_gets_no_starts, Cell) {
  list("w1", true);
  list("w2", true);
  submit("job", {task(1)});
  step();
  BOOST_TEST(Starts_.empty());
}

BOOST_FIXTURE_TEST_CASE(in_a_closed_zone_gets_no_starts, Cell) {
  Scheduler_.setClosedZones({"zone-a"});
  submit("job", {task(4)});
  step();
  BOOST_REQUIRE(!Starts_.empty());
  for (const StartTask &Start : Starts_)
    BOOST_TEST(Start.Worker_ == "w2");
}

BOOST_FIXTURE_TEST_CASE(that_restarted_has_lost_its_runs, Cell) {
  submit("job", {task(1)});
  step();
  acceptStarts();
  answerRenewals();
  step(1s);
  answerRenewals();
  std::string Before = Starts_.front().Worker_;
  list(Before, false, 2);
  step();
  step();
  BOOST_TEST(Starts_.size() == 2);
  BOOST_TEST(Starts_.back().Run_ > Starts_.front().Run_);
}

BOOST_FIXTURE_TEST_CASE(
    that_is_unreachable_keeps_its_tasks_until_the_lease_expires, Cell) {
  submit("job", {task(1)});
  step();
  acceptStarts();
  std::string Unreachable = Starts_.front().Worker_;
  step();
  std::erase_if(Renewals_, [&](const RenewLease &Renewal) {
    return Renewal.Worker_ != Unreachable;
  });
  TimePoint UnreachableAt = Now_;
  while (Starts_.size() == 1 && Now_ - UnreachableAt < 20s) {
    for (const RenewLease &Renewal : std::exchange(Renewals_, {})) {
      BOOST_TEST((Renewal.Worker_ != Unreachable || Now_ == UnreachableAt ||
                  !Renewal.DeadlineMs_));
      if (Renewal.Worker_ == Unreachable)
        Scheduler_.renewalFailed(Renewal, CallOutcome::NoAnswer, Now_);
      else
        Renewals_.push_back(Renewal);
    }
    answerRenewals();
    step(100ms);
  }
  BOOST_TEST((Now_ - UnreachableAt >= SchedulerSettings().LeaseDuration_));
  BOOST_TEST(Starts_.size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_job_that_was_cancelled_before_it_is_known)

BOOST_FIXTURE_TEST_CASE(is_cancelled_when_it_is_added, Cell) {
  Scheduler_.cancelJob("job", Now_);
  submit("job", {task(1)});
  step();
  step();
  BOOST_TEST(Starts_.empty());
  BOOST_TEST((Scheduler_.stateOf("job") == JobState::Cancelled));
}

BOOST_FIXTURE_TEST_CASE(is_removed_after_the_retention_of_final_states, Cell) {
  Scheduler_.cancelJob("job", Now_);
  Duration Retention = SchedulerSettings().FinalStateRetention_;
  BOOST_TEST(Scheduler_.expiredJobs(Now_ + Retention, 10).empty());
  std::vector<std::string> Expired =
      Scheduler_.expiredJobs(Now_ + Retention + 1ms, 10);
  BOOST_TEST(Expired == std::vector<std::string>{"job"});
  Scheduler_.jobsRemoved(Expired);
  BOOST_TEST(Scheduler_.expiredJobs(Now_ + Retention + 1ms, 10).empty());
}

// The second cancellation is answered, too. Otherwise a submission that is on
// its way could be stored right after it.
BOOST_FIXTURE_TEST_CASE(is_kept_for_the_retention_of_the_last_cancellation,
                        Cell) {
  Duration Retention = SchedulerSettings().FinalStateRetention_;
  Scheduler_.cancelJob("job", Now_);
  Scheduler_.cancelJob("job", Now_ + Retention);
  BOOST_TEST(Scheduler_.expiredJobs(Now_ + 2 * Retention, 10).empty());
  BOOST_TEST(Scheduler_.expiredJobs(Now_ + 2 * Retention + 1ms, 10).size() ==
             1);
}

// How long states can be asked for has nothing to do with how late a submission
// can come.
BOOST_AUTO_TEST_CASE(is_kept_longer_than_short_lived_final_states) {
  SchedulerSettings Settings;
  Settings.FinalStateRetention_ = 1s;
  TimePoint Now{1000s};
  Scheduler Short(Settings, Now);
  Short.cancelJob("job", Now);
  BOOST_TEST(Short.expiredJobs(Now + 120s, 10).empty());
  BOOST_TEST(Short.expiredJobs(Now + 121s, 10).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

// The removal of the earlier job's snapshot must not hit the new job's, and
// until then a new owner must not take the new job for finished.
BOOST_AUTO_TEST_SUITE(a_job_with_the_id_of_a_removed_one)

BOOST_FIXTURE_TEST_CASE(replaces_its_snapshot, Cell) {
  submit("job", {task(1)});
  Scheduler_.cancelJob("job", Now_);
  step();
  BOOST_REQUIRE((storedProgress()["job"].State_ == JobState::Cancelled));
  Scheduler_.jobsRemoved({"job"});
  submit("job", {task(1)});
  step(20ms, false);
  step();
  BOOST_TEST(LastWrites_.RemovedJobs_.empty());
  BOOST_TEST(storedProgress().contains("job"));
  BOOST_TEST((storedProgress()["job"].State_ == JobState::Queued));
  step();
  BOOST_TEST(Starts_.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(replaces_it_also_if_its_removal_has_no_answer, Cell) {
  submit("job", {task(1)});
  Scheduler_.cancelJob("job", Now_);
  step();
  Scheduler_.jobsRemoved({"job"});
  PendingWrites Open = Scheduler_.takeWrites(90);
  BOOST_REQUIRE(Open.RemovedJobs_.size() == 1);
  submit("job", {task(1)});
  Scheduler_.writesFailed(Open);
  step();
  BOOST_TEST(LastWrites_.RemovedJobs_.empty());
  BOOST_TEST((storedProgress()["job"].State_ == JobState::Queued));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_finished_job_that_is_cancelled)

BOOST_FIXTURE_TEST_CASE(is_kept_for_the_retention_of_the_cancellation, Cell) {
  Duration Retention = SchedulerSettings().FinalStateRetention_;
  submit("job", {task(1)});
  Scheduler_.cancelJob("job", Now_);
  step();
  Scheduler_.cancelJob("job", Now_ + Retention);
  BOOST_TEST(Scheduler_.expiredJobs(Now_ + 2 * Retention, 10).empty());
  BOOST_TEST(Scheduler_.expiredJobs(Now_ + 2 * Retention + 1ms, 10).size() ==
             1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling::test
