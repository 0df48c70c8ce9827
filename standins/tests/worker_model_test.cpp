#define BOOST_TEST_MODULE worker_model
#include "worker_model_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::worker_model_test;

namespace {

AttemptState stateOf(const WorkerReport &Report, const AttemptRef &Ref) {
  auto Found = std::find_if(
      Report.Attempts_.begin(), Report.Attempts_.end(),
      [&](const AttemptReport &Each) { return Each.Attempt_ == Ref; });
  BOOST_REQUIRE((Found != Report.Attempts_.end()));
  return Found->State_;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(worker_model, Fixture)

BOOST_AUTO_TEST_SUITE(a_start)

BOOST_AUTO_TEST_CASE(runs_once_for_its_declared_time_however_often_repeated) {
  start(startOf(attempt(1)), 0);
  start(startOf(attempt(1)), 10);
  WorkerReport Report = Worker_.report(RunTime);
  BOOST_TEST((stateOf(Report, attempt(1)) == AttemptState::Finished));
  start(startOf(attempt(1)), RunTime + 1);
  BOOST_REQUIRE(Worker_.runs().size() == 1U);
  BOOST_TEST(Worker_.runs().front().Until_.value() == RunTime);
}

BOOST_AUTO_TEST_CASE(is_refused_past_its_time_and_at_an_ended_lease) {
  StartCommand Late = startOf(attempt(1));
  Late.StartBefore_ = 50;
  BOOST_TEST(start(Late, 50).Refused_.empty());
  Late.Attempt_ = attempt(2);
  BOOST_TEST((start(Late, 51).Refused_.at(0).Reason_ == StartRefusal::Late));
  StartCommand Lapsed = startOf(attempt(3));
  Lapsed.LeaseUntil_ = 60;
  BOOST_TEST((start(Lapsed, 60).Refused_.at(0).Reason_ == StartRefusal::Late));
}

BOOST_AUTO_TEST_CASE(is_refused_beyond_capacity_and_for_good) {
  BOOST_TEST(start(startOf(attempt(1, "a"), 3), 0).Refused_.empty());
  WorkerAnswer Answer = start(startOf(attempt(1, "b"), 2), 1);
  BOOST_TEST((Answer.Refused_.at(0).Reason_ == StartRefusal::NoCapacity));
  stop(attempt(1, "a"), false, 2);
  BOOST_TEST(start(startOf(attempt(1, "b"), 2), 3).Refused_.size() == 1U);
  BOOST_TEST(Worker_.runs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(is_refused_after_a_stop_that_came_first) {
  WorkerAnswer Stopped = stop(attempt(1), false, 0);
  BOOST_TEST((stateOf(Stopped.Report_, attempt(1)) == AttemptState::Stopped));
  WorkerAnswer Answer = start(startOf(attempt(1)), 1);
  BOOST_TEST((Answer.Refused_.at(0).Reason_ == StartRefusal::Stopped));
  BOOST_TEST(Worker_.runs().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_lease)

BOOST_AUTO_TEST_CASE(lapses_at_its_time_on_the_worker_clock) {
  StartCommand Short = startOf(attempt(1));
  Short.LeaseUntil_ = 300;
  start(Short, 0);
  BOOST_TEST(
      (stateOf(Worker_.report(900), attempt(1)) == AttemptState::Lapsed));
  BOOST_TEST(Worker_.runs().front().Until_.value() == 300);
}

BOOST_AUTO_TEST_CASE(is_extended_by_a_renewal_and_never_shortened) {
  StartCommand Short = startOf(attempt(1));
  Short.LeaseUntil_ = 300;
  start(Short, 0);
  WorkerCommands Commands = commands();
  Commands.Renewals_ = {{attempt(1), 700}, {attempt(1), 400}};
  Worker_.obey(Commands, 200);
  BOOST_TEST(
      (stateOf(Worker_.report(699), attempt(1)) == AttemptState::Running));
  BOOST_TEST(
      (stateOf(Worker_.report(700), attempt(1)) == AttemptState::Lapsed));
}

BOOST_AUTO_TEST_CASE(is_not_revived_by_a_late_renewal) {
  StartCommand Short = startOf(attempt(1));
  Short.LeaseUntil_ = 300;
  start(Short, 0);
  WorkerCommands Commands = commands();
  Commands.Renewals_ = {{attempt(1), 900}};
  WorkerReport Report = Worker_.obey(Commands, 300).Report_;
  BOOST_TEST((stateOf(Report, attempt(1)) == AttemptState::Lapsed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(commands)

BOOST_AUTO_TEST_CASE(of_a_lower_epoch_or_another_boot_change_nothing) {
  Worker_.obey(commands(5), 0);
  WorkerCommands Old = commands(4);
  Old.Starts_ = {startOf(attempt(1))};
  BOOST_TEST(!Worker_.obey(Old, 1).Accepted_);
  WorkerCommands Foreign = commands(6);
  Foreign.Boot_ = "other";
  Foreign.Starts_ = {startOf(attempt(1))};
  BOOST_TEST(!Worker_.obey(Foreign, 2).Accepted_);
  BOOST_TEST(Worker_.report(3).Epoch_ == 5);
  BOOST_TEST(Worker_.runs().empty());
}

BOOST_AUTO_TEST_CASE(meant_for_the_boot_before_a_restart_are_refused) {
  WorkerCommands Delayed = commands();
  Delayed.Starts_ = {startOf(attempt(2))};
  start(startOf(attempt(1)), 0);
  Worker_.restart(400);
  BOOST_TEST(!Worker_.obey(Delayed, 0).Accepted_);
  BOOST_TEST(Worker_.report(1).Attempts_.empty());
  BOOST_REQUIRE(Worker_.runs().size() == 1U);
  BOOST_TEST(Worker_.runs().front().Until_.value() == 400);
}

BOOST_AUTO_TEST_CASE(throttle_progress) {
  start(startOf(attempt(1)), 0);
  WorkerCommands Commands = commands();
  Commands.Throttles_ = {{attempt(1), 0.5}};
  Worker_.obey(Commands, 500);
  BOOST_TEST(
      (stateOf(Worker_.report(1499), attempt(1)) == AttemptState::Running));
  BOOST_TEST(
      (stateOf(Worker_.report(1500), attempt(1)) == AttemptState::Finished));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_ended_attempt)

BOOST_AUTO_TEST_CASE(is_reported_until_it_is_acknowledged) {
  start(startOf(attempt(1)), 0);
  BOOST_TEST(Worker_.report(2000).Attempts_.size() == 1U);
  BOOST_TEST(Worker_.report(3000).Attempts_.size() == 1U);
  WorkerCommands Commands = commands();
  Commands.Acknowledged_ = {attempt(1)};
  BOOST_TEST(Worker_.obey(Commands, 3001).Report_.Attempts_.empty());
}

BOOST_AUTO_TEST_CASE(is_not_acknowledged_while_it_still_runs) {
  start(startOf(attempt(1)), 0);
  WorkerCommands Commands = commands();
  Commands.Acknowledged_ = {attempt(1)};
  BOOST_TEST(Worker_.obey(Commands, 1).Report_.Attempts_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(resumes_from_its_checkpoint_as_the_next_attempt) {
  start(startOf(attempt(1)), 0);
  WorkerReport Report = stop(attempt(1), true, 600).Report_;
  CheckpointRef Saved = Report.Attempts_.at(0).Checkpoint_;
  BOOST_TEST(!Saved.empty());
  StartCommand Next = startOf(attempt(2));
  Next.Checkpoint_ = Saved;
  start(Next, 1000);
  Worker_.advance(1400);
  BOOST_TEST(Worker_.runs().at(1).Until_.value() == 1400);
}

BOOST_AUTO_TEST_CASE(fails_or_takes_longer_as_its_payload_says) {
  StartCommand Failing = startOf(attempt(1, "f"));
  Failing.Payload_ = "fail";
  StartCommand Slow = startOf(attempt(1, "s"));
  Slow.Payload_ = "slow:3";
  start(Failing, 0);
  start(Slow, 0);
  Worker_.setFailAll(true);
  start(startOf(attempt(1, "g")), 0);
  WorkerReport Report = Worker_.report(2999);
  BOOST_TEST((stateOf(Report, attempt(1, "f")) == AttemptState::Failed));
  BOOST_TEST((stateOf(Report, attempt(1, "g")) == AttemptState::Failed));
  BOOST_TEST((stateOf(Report, attempt(1, "s")) == AttemptState::Running));
  BOOST_TEST((stateOf(Worker_.report(3000), attempt(1, "s")) ==
              AttemptState::Finished));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(measurements_lag) {
  start(startOf(attempt(1)), 0);
  Worker_.recordService({ServiceName("s"), Duration(7), 1.0, 50});
  WorkerReport Early = Worker_.report(99);
  BOOST_TEST(Early.Services_.empty());
  BOOST_TEST((Early.Attempts_.at(0).Usage_ == Resources{}));
  WorkerReport Later = Worker_.report(150);
  BOOST_TEST(Later.Services_.size() == 1U);
  BOOST_TEST(Later.Attempts_.at(0).Usage_.Cpu_.count() == 1000);
}

BOOST_AUTO_TEST_SUITE_END()
