#include "test_cluster.h"

#include <algorithm>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace filbertspring::placement::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(scheduler)

BOOST_AUTO_TEST_SUITE(schedulable_job)

BOOST_AUTO_TEST_CASE(is_claimed_run_and_finished) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.advance(6s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Claimed));
  BOOST_TEST(Subject.Worker_.runs().size() == 1U);
  Subject.advance(70s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Finished));
  BOOST_TEST(Subject.Worker_.runs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(is_stopped_when_cancelled) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.advance(6s);
  StoredRow Row = *Subject.Table_.read({RowKind::Job, "a"});
  Job Cancelled = Job::restore(std::get<JobRecord>(Row.Value_)).value();
  Cancelled.cancel();
  Subject.write(Row.Key_, Cancelled.record());
  Subject.advance(6s);
  BOOST_TEST(Subject.Worker_.runs().at(0).Until_.has_value());
  BOOST_TEST(Subject.Scheduler_.snapshot().Workers_.at(0).Attempts_ == 0U);
}

BOOST_AUTO_TEST_CASE(is_evicted_on_request) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.advance(20s);
  Subject.send(EvictRequested{{{JobId("a"), 0}, 1}, "too noisy"});
  Subject.advance(5s);
  Task Resumed = Subject.task("a");
  BOOST_TEST((Resumed.State_ == TaskState::Claimed));
  BOOST_TEST(Resumed.Attempt_ == 2);
  BOOST_TEST(Resumed.Evictions_ == 1);
  BOOST_TEST(!Resumed.Checkpoint_.empty());
}

BOOST_AUTO_TEST_CASE(runs_longer_when_throttled) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.advance(6s);
  Subject.send(ThrottleRequested{{{JobId("a"), 0}, 1}, 0.5});
  Subject.advance(70s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Claimed));
  Subject.advance(60s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Finished));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(draining_instance)

BOOST_AUTO_TEST_CASE(makes_no_claims_and_keeps_running_tasks) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.advance(6s);
  Subject.send(DrainStarted{});
  Subject.submit("b", SmallSize);
  Subject.advance(70s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Finished));
  BOOST_TEST((Subject.task("b").State_ == TaskState::Waiting));
  BOOST_TEST(Subject.explanation("b") == "this instance is draining");
  BOOST_TEST(Subject.Scheduler_.snapshot().Drained_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(waiting_job)

BOOST_AUTO_TEST_CASE(reports_that_no_worker_has_room) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", Capacity);
  Subject.advance(5s);
  Subject.submit("b", SmallSize);
  Subject.advance(5s);
  BOOST_TEST((Subject.task("b").State_ == TaskState::Waiting));
  BOOST_TEST(Subject.explanation("b") == "no worker has room");
}

BOOST_AUTO_TEST_CASE(is_overtaken_by_an_urgent_job) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", Capacity);
  Subject.advance(5s);
  Subject.submit("b", Capacity);
  Subject.submit("c", Capacity, true);
  Subject.advance(65s);
  BOOST_TEST((Subject.task("c").State_ == TaskState::Claimed));
  BOOST_TEST((Subject.task("b").State_ == TaskState::Waiting));
}

BOOST_AUTO_TEST_CASE(is_served_in_proportion_to_the_weight_of_its_contract) {
  TestCluster Subject;
  Subject.start();
  for (int Number = 0; Number < 40; ++Number) {
    Subject.submit("light-" + std::to_string(Number), SmallSize);
    Subject.submit("heavy-" + std::to_string(Number), SmallSize, false,
                   HeavyContract);
  }
  Subject.advance(8min);
  auto Heavy =
      std::ranges::count_if(Subject.Worker_.runs(), [](const RunInterval &Run) {
        return Run.Attempt_.Task_.Job_.str().starts_with("heavy");
      });
  auto Runs = static_cast<std::ptrdiff_t>(Subject.Worker_.runs().size());
  BOOST_TEST(Runs >= 20);
  // Three quarters, within one round of the four tasks that fit on the worker.
  BOOST_TEST(std::abs(4 * Heavy - 3 * Runs) <= 4 * 4);
}

BOOST_AUTO_TEST_CASE(is_not_blocked_by_jobs_for_another_zone) {
  TestCluster Subject;
  AvailabilityZone Other;
  Other.Name_ = ZoneName("marmaris");
  Subject.write({RowKind::Zone, Other.Name_.str()}, Other);
  Subject.start();
  for (int Number = 0; Number < 60; ++Number)
    Subject.submit("far-" + std::to_string(Number), SmallSize, false,
                   LightContract, {Other.Name_});
  Subject.submit("near", SmallSize);
  Subject.advance(20s);
  BOOST_TEST((Subject.task("near").State_ == TaskState::Claimed));
  BOOST_TEST(Subject.explanation("far-1") == "zone not allowed");
}

BOOST_AUTO_TEST_CASE(waits_while_the_platform_is_unreachable) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.send(PlatformState{false});
  Subject.advance(2s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Waiting));
  Subject.send(PlatformState{true});
  Subject.advance(6s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Claimed));
}

BOOST_AUTO_TEST_CASE(waits_while_its_zone_is_out_of_service) {
  TestCluster Subject;
  Subject.start();
  Subject.setZone(ZoneState::OutOfService);
  Subject.submit("a", SmallSize);
  Subject.advance(10s);
  BOOST_TEST(Subject.explanation("a") == "zone out of service");
  Subject.setZone(ZoneState::InService);
  Subject.advance(10s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Claimed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(impossible_job)

BOOST_AUTO_TEST_CASE(is_rejected_when_it_exceeds_the_quota) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", Capacity + SmallSize);
  Subject.advance(6s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Impossible));
  BOOST_TEST(Subject.task("a").Reason_ ==
             "larger than the quota of its contract");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(zone_out_of_service)

BOOST_AUTO_TEST_CASE(evicts_with_a_checkpoint_and_resumes_once) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("a", SmallSize);
  Subject.advance(30s);
  Subject.setZone(ZoneState::OutOfService);
  Subject.advance(10s);
  Task Evicted = Subject.task("a");
  BOOST_TEST((Evicted.State_ == TaskState::Waiting));
  BOOST_TEST(Evicted.Evictions_ == 1);
  BOOST_TEST(!Evicted.Checkpoint_.empty());
  Subject.setZone(ZoneState::InService);
  Subject.advance(60s);
  BOOST_TEST((Subject.task("a").State_ == TaskState::Finished));
  BOOST_TEST(Subject.task("a").Attempt_ == 2);
  BOOST_TEST(Subject.Worker_.runs().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
