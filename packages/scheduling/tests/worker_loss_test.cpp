/// \file
/// Tests of decisions about the tasks of workers that leave or are lost. A
/// partition may also reject connections, so none of its signs shows that a
/// worker has ended.

#include "cell_fixture.h"
#include "worker_state.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace filbertspring::scheduling::test {
namespace {

StepSpec longRunning(std::uint32_t Count, std::int64_t MilliCpu) {
  StepSpec Step = Cell::task(Count, MilliCpu);
  Step.IsLongRunning_ = true;
  return Step;
}

struct CellWithLongRunningTask : Cell {
  CellWithLongRunningTask() {
    submit("lasting", {longRunning(1, 8000)});
    step();
    BOOST_REQUIRE(Starts_.size() == 1);
    Worker_ = Starts_.front().Worker_;
    acceptStarts();
    answerRenewals();
    step();
    answerRenewals();
  }

  /// Lets both workers confirm the stop of the task.
  void confirmStop() {
    BOOST_REQUIRE(Stops_.size() == 1);
    Scheduler_.stopAnswered(Worker_, Stops_.front().Name_, Stops_.front().Run_,
                            CallOutcome::Accepted, Now_);
    end(EndReason::Stopped);
    answerRenewals();
  }

  /// Fails each renewal of the task's worker with \p Outcome until \p Time has
  /// passed; the other worker answers.
  void loseWorker(CallOutcome Outcome, Duration Time) {
    TimePoint End = Now_ + Time;
    while (Now_ < End) {
      step(100ms);
      std::vector<RenewLease> OfOthers;
      for (const RenewLease &Renewal : std::exchange(Renewals_, {}))
        if (Renewal.Worker_ == Worker_)
          Scheduler_.renewalFailed(Renewal, Outcome, Now_);
        else
          OfOthers.push_back(Renewal);
      Renewals_ = std::move(OfOthers);
      answerRenewals();
    }
  }

  std::string Worker_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_long_running_task)

BOOST_AUTO_TEST_SUITE(on_a_worker_that_drains)

BOOST_FIXTURE_TEST_CASE(moves_while_its_worker_still_runs,
                        CellWithLongRunningTask) {
  list(Worker_, true);
  step(300ms);
  confirmStop();
  step();
  BOOST_REQUIRE(Starts_.size() == 2);
  BOOST_TEST(Starts_.back().Worker_ != Worker_);
}

BOOST_FIXTURE_TEST_CASE(stays_while_no_other_worker_has_capacity,
                        CellWithLongRunningTask) {
  submit("other", {task(1, 8000)});
  step();
  acceptStarts();
  list(Worker_, true);
  step(300ms);
  answerRenewals();
  step(300ms);
  BOOST_TEST(Stops_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(on_a_worker_that_is_lost)

// Guards against the wait for the longest lease after the answer to a start
// that a report had overtaken.
BOOST_AUTO_TEST_CASE(has_the_clock_of_its_reports) {
  WorkerState Worker;
  Worker.ClockMs_ = 1000;
  Worker.ClockAt_ = TimePoint(10s);
  TimePoint SentAt = Worker.ClockAt_ - 8ms;
  BOOST_TEST(!Worker.isClockBehind(992, SentAt, 0.02));
  BOOST_TEST(Worker.isClockBehind(989, SentAt, 0.02));
}

BOOST_FIXTURE_TEST_CASE(restarts_sooner_if_the_worker_was_draining,
                        CellWithLongRunningTask) {
  submit("other", {task(1, 8000)});
  step();
  acceptStarts();
  list(Worker_, true);
  // The worker leaves after four seconds, at which its first lease would still
  // be valid for two.
  for (int Step = 0; Step < 8; ++Step) {
    step(500ms);
    answerRenewals();
  }
  const StartTask Other = Starts_.back();
  RunningTasks_[Other.Worker_].clear();
  EndedTasks_[Other.Worker_].push_back(
      {1, Other.Name_, Other.Run_, EndReason::Done, ""});
  loseWorker(CallOutcome::NoAnswer, 3s);
  BOOST_REQUIRE(Starts_.size() == 3);
  BOOST_TEST(Starts_.back().Name_.Job_ == "lasting");
}

BOOST_FIXTURE_TEST_CASE(is_not_restarted_while_the_worker_is_only_silent,
                        CellWithLongRunningTask) {
  loseWorker(CallOutcome::NoAnswer, 5s);
  loseWorker(CallOutcome::NotSent, 900ms);
  BOOST_TEST(Starts_.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(goes_before_timed_jobs_after_its_lease_has_expired,
                        CellWithLongRunningTask) {
  submit("first", {task(1, 8000)});
  step();
  acceptStarts();
  StepSpec Timed = task(1, 8000);
  Timed.Estimate_ = 60s;
  submit("timed", {Timed});
  loseWorker(CallOutcome::NoAnswer, 8s);
  std::string Other = Starts_.back().Worker_;
  RunningTasks_[Other].clear();
  EndedTasks_[Other].push_back(
      {1, Starts_.back().Name_, Starts_.back().Run_, EndReason::Done, ""});
  Starts_.clear();
  loseWorker(CallOutcome::NoAnswer, 300ms);
  BOOST_REQUIRE(Starts_.size() == 1);
  BOOST_TEST(Starts_.front().Name_.Job_ == "lasting");
}

// Its wait began anew when the lease had expired.
BOOST_FIXTURE_TEST_CASE(is_overdue_once_its_lease_has_expired,
                        CellWithLongRunningTask) {
  loseWorker(CallOutcome::NoAnswer, 5s);
  Starts_.clear();
  submit("failing", {task(4)});
  step();
  BOOST_REQUIRE(Starts_.size() == 4);
  std::string Other = Starts_.front().Worker_;
  for (const StartTask &Start : Starts_) {
    std::vector<EndedTask> &Ends = EndedTasks_[Other];
    Ends.push_back(
        {Ends.size() + 1, Start.Name_, Start.Run_, EndReason::Failed, ""});
    Scheduler_.startAnswered(Other, Start.Name_, Start.Run_,
                             CallOutcome::Accepted, Now_);
  }
  Starts_.clear();
  // The other worker is quarantined for longer.
  loseWorker(CallOutcome::NoAnswer, 1800ms);
  BOOST_REQUIRE(!Starts_.empty());
  BOOST_TEST(Starts_.front().Name_.Job_ == "lasting");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// One worker with a serving task and three fillers of one job beside it.
struct CellWithFillers : Cell {
  CellWithFillers() {
    Scheduler_.setClosedZones({"zone-b"});
    StepSpec Serving = longRunning(1, 2000);
    Serving.Image_ = "serving";
    Serving.TailLatencyTarget_ = 18ms;
    submit("lasting", {Serving});
    run();
    StepSpec Filler = task(3, 1000);
    Filler.Image_ = "filler";
    Filler.IsFiller_ = true;
    submit("fillers", {Filler});
    run();
    BOOST_REQUIRE(Starts_.size() == 4);
  }

  /// Starts what waits, and reports a low tail latency.
  void run() {
    step();
    for (const StartTask &Start : Starts_)
      if (!Running_.contains(Start.Name_.text())) {
        Running_.insert(Start.Name_.text());
        RunningTasks_["w1"].push_back({Start.Name_, Start.Run_, "", 100, 5});
        Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                                 CallOutcome::Accepted, Now_);
      }
    report(5);
  }

  void report(double TailMs) {
    RunningTasks_["w1"].front().Load_ = TailMs;
    answerRenewals();
    step(500ms);
  }

  /// Reports that the fillers are harmless, so that they are not expected to be
  /// the cause later.
  void reportHarmlessFillers() {
    for (int Report = 0; Report < 40; ++Report)
      report(5);
  }

  bool areSuspended() const {
    return std::all_of(Fillers_.begin(), Fillers_.end(), [this](auto *Filler) {
      auto Pace = Paces_.find(Filler);
      return Pace != Paces_.end() && Pace->second == 0;
    });
  }

  void submitLateFiller() {
    StepSpec Filler = task(1, 1000);
    Filler.Image_ = "filler";
    Filler.IsFiller_ = true;
    submit("late", {Filler});
  }

  std::array<const char *, 3> Fillers_{"fillers.0.0.0", "fillers.0.0.1",
                                       "fillers.0.0.2"};
  std::set<std::string> Running_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_serving_task_over_its_target)

BOOST_FIXTURE_TEST_CASE(stops_all_fillers_beside_it, CellWithFillers) {
  for (int Report = 0; Report < 5; ++Report)
    report(20);
  for (const char *Filler : {"fillers.0.0.0", "fillers.0.0.1", "fillers.0.0.2"})
    BOOST_TEST(Paces_[Filler] == 0);
}

BOOST_FIXTURE_TEST_CASE(stops_them_also_if_single_reports_are_under_it,
                        CellWithFillers) {
  // The fillers have been harmless for long, so they are not expected to be the
  // cause.
  for (int Report = 0; Report < 40; ++Report)
    report(17);
  for (double Tail : {18.5, 17.5, 18.5, 17.6, 18.4, 17.5})
    report(Tail);
  for (const char *Filler : {"fillers.0.0.0", "fillers.0.0.1", "fillers.0.0.2"})
    BOOST_TEST(Paces_[Filler] == 0);
}

BOOST_FIXTURE_TEST_CASE(lets_them_go_on_once_it_has_recovered,
                        CellWithFillers) {
  for (int Report = 0; Report < 4; ++Report)
    report(20);
  for (int Report = 0; Report < 6; ++Report)
    report(5);
  int Highest = 0;
  for (const auto &[Filler, Percent] : Paces_)
    Highest = std::max(Highest, Percent);
  BOOST_TEST(Highest > 0);
}

BOOST_FIXTURE_TEST_CASE(stops_a_filler_again_whose_pace_call_failed,
                        CellWithFillers) {
  for (int Report = 0; Report < 5; ++Report)
    report(20);
  Paces_.clear();
  const StartTask &Filler = Starts_.back();
  Scheduler_.paceFailed("w1", Filler.Name_, Filler.Run_);
  report(20);
  BOOST_REQUIRE(Paces_.contains(Filler.Name_.text()));
  BOOST_TEST(Paces_[Filler.Name_.text()] == 0);
}

BOOST_FIXTURE_TEST_CASE(stops_fillers_again_that_work_on, CellWithFillers) {
  for (int Report = 0; Report < 5; ++Report)
    report(20);
  Paces_.clear();
  for (int Report = 0; Report < 3; ++Report)
    report(20);
  BOOST_TEST(areSuspended());
}

BOOST_FIXTURE_TEST_CASE(stops_them_also_if_no_further_report_arrives,
                        CellWithFillers) {
  reportHarmlessFillers();
  report(20);
  BOOST_REQUIRE(!areSuspended());
  for (int Step = 0; Step < 20; ++Step)
    step(100ms);
  BOOST_TEST(areSuspended());
}

BOOST_FIXTURE_TEST_CASE(stops_them_also_if_every_other_report_is_far_under_it,
                        CellWithFillers) {
  reportHarmlessFillers();
  for (double Tail : {20.0, 5.0, 20.0, 5.0, 20.0})
    report(Tail);
  BOOST_TEST(areSuspended());
}

BOOST_FIXTURE_TEST_CASE(reports_each_half_second, CellWithFillers) {
  report(20);
  BOOST_REQUIRE(!Renewals_.empty());
  BOOST_TEST((Renewals_.back().Wait_ <= 500ms));
}

BOOST_FIXTURE_TEST_CASE(gets_no_filler_until_it_has_recovered,
                        CellWithFillers) {
  reportHarmlessFillers();
  report(20);
  submitLateFiller();
  Now_ += 100ms;
  Scheduler_.advance(Now_, 0, Now_, true);
  Scheduler_.place(Now_);
  BOOST_TEST(Scheduler_.counts().PlacedTasks_ == 4);
  report(20);
  report(5);
  BOOST_TEST(Starts_.size() == 4);
  report(5);
  step();
  BOOST_TEST(Starts_.size() == 5);
}

BOOST_FIXTURE_TEST_CASE(gets_no_filler_that_was_planned_before,
                        CellWithFillers) {
  reportHarmlessFillers();
  submitLateFiller();
  Now_ += 20ms;
  Scheduler_.advance(Now_, 0, Now_, true);
  Scheduler_.place(Now_);
  PendingWrites Writes = Scheduler_.takeWrites(90);
  BOOST_REQUIRE(Scheduler_.counts().PlacedTasks_ == 5);
  RunningTasks_["w1"].front().Load_ = 20;
  answerRenewals();
  Scheduler_.writesStored(Writes, Now_);
  collect();
  BOOST_TEST(Starts_.size() == 4);
}

BOOST_FIXTURE_TEST_CASE(gets_no_second_start_of_a_filler_without_an_answer,
                        CellWithFillers) {
  reportHarmlessFillers();
  submitLateFiller();
  step();
  BOOST_REQUIRE(Starts_.size() == 5);
  const StartTask Late = Starts_.back();
  report(20);
  Scheduler_.startAnswered("w1", Late.Name_, Late.Run_, CallOutcome::NoAnswer,
                           Now_);
  step();
  BOOST_TEST(Starts_.size() == 5);
  BOOST_REQUIRE(Stops_.size() == 1);
  BOOST_TEST(Stops_.front().Name_.text() == Late.Name_.text());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
