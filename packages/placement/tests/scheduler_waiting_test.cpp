#include "test_cluster.h"

#include <fmt/format.h>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace filbertspring::placement::test;
using namespace std::chrono_literals;

namespace {

/// Run time of each task that TestCluster submits.
constexpr Duration RunTime = 1min;
/// Capacity is kept for a task that has waited this long for room.
constexpr Duration ReserveAfter = 5s;
/// Time for the scans, reports and commits between an end and the next start.
constexpr Duration Reaction = 10s;
constexpr Duration FirstQuarantine = 30s;

/// Small jobs that keep a worker busy and leave room only for each other.
struct SmallJobs {
  SmallJobs() { Cluster_.start(); }

  void submitFor(Duration Span) {
    for (Duration Elapsed{}; Elapsed < Span; Elapsed += 1s) {
      if (Now_ % Interval_ == 0s)
        Cluster_.submit(fmt::format("small-{}", ++Count_), Size_, false,
                        Contract_);
      Cluster_.advance(1s);
      Now_ += 1s;
    }
  }
  /// Returns true when \p Job is claimed within \p Span.
  bool isClaimedWithin(Duration Span, const char *Job) {
    for (Duration Elapsed{}; Elapsed < Span; Elapsed += 1s) {
      submitFor(1s);
      if (Cluster_.task(Job).State_ == TaskState::Claimed)
        return true;
    }
    return false;
  }

  TestCluster Cluster_;
  Resources Size_ = SmallSize;
  ContractName Contract_ = LightContract;
  Duration Interval_ = 18s;

private:
  Duration Now_{};
  int Count_ = 0;
};

/// Lets three jobs fail on the worker, which puts it into quarantine.
void failThreeJobs(TestCluster &Cluster) {
  Cluster.Worker_.setFailAll(true);
  for (const char *Job : {"bad-1", "bad-2", "bad-3"})
    Cluster.submit(Job, SmallSize);
  Cluster.advance(Reaction);
  Cluster.Worker_.setFailAll(false);
}

struct QuarantinedWorker {
  QuarantinedWorker() {
    Cluster_.start();
    failThreeJobs(Cluster_);
  }

  TestCluster Cluster_;
};

/// A worker with a service that uses nine tenths of its latency target.
struct SlowService {
  SlowService() {
    ContractRecord Contract;
    Contract.Terms_.Name_ = HeavyContract;
    ServiceTerms Terms;
    Terms.Name_ = ServiceName("booking-check");
    Terms.LatencyTarget_ = 100ms;
    Contract.Terms_.Services_ = {Terms};
    Cluster_.write({RowKind::Contract, HeavyContract.str()}, Contract);
    Cluster_.start();
    advance(1min, 90ms);
  }

  void advance(Duration Span, Duration TailLatency) {
    for (Duration Elapsed{}; Elapsed < Span; Elapsed += 1s) {
      Cluster_.advance(1s);
      MeasuredAt_ += WorkerTime(Duration(1s).count());
      Cluster_.Worker_.recordService(
          {ServiceName("booking-check"), TailLatency, 50.0, MeasuredAt_});
    }
  }

  TestCluster Cluster_;

private:
  WorkerTime MeasuredAt_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler)

BOOST_FIXTURE_TEST_SUITE(a_large_task_behind_which_small_ones_wait, SmallJobs)

BOOST_AUTO_TEST_CASE(is_started_when_the_tasks_before_it_have_ended) {
  submitFor(2min);
  Cluster_.submit("large", Capacity);
  BOOST_TEST(isClaimedWithin(ReserveAfter + RunTime + Reaction, "large"));
}

BOOST_AUTO_TEST_CASE(is_started_when_it_is_large_in_memory_only) {
  Size_.Memory_ = Mebibytes(2048);
  submitFor(2min);
  Cluster_.submit("large", {SmallSize.Cpu_, Capacity.Memory_, Accelerators(0)});
  BOOST_TEST(isClaimedWithin(ReserveAfter + RunTime + Reaction, "large"));
}

BOOST_AUTO_TEST_CASE(is_started_when_the_small_ones_are_of_another_contract) {
  Contract_ = HeavyContract;
  submitFor(2min);
  Cluster_.submit("large", Capacity);
  BOOST_TEST(isClaimedWithin(ReserveAfter + RunTime + Reaction, "large"));
}

BOOST_AUTO_TEST_CASE(is_started_when_the_quota_of_its_contract_is_used_up) {
  Resources Quota = SmallSize + SmallSize;
  ContractRecord Contract;
  Contract.Terms_.Name_ = LightContract;
  Contract.Terms_.Batch_ = BatchTerms{Quota, 1000, {{TestKind}}};
  Cluster_.write({RowKind::Contract, LightContract.str()}, Contract);
  Interval_ = 36s;
  submitFor(2min);
  Cluster_.submit("large", Quota);
  BOOST_TEST(isClaimedWithin(ReserveAfter + RunTime + Reaction, "large"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_worker_on_which_every_task_failed, QuarantinedWorker)

BOOST_AUTO_TEST_CASE(is_named_as_what_a_task_waits_for) {
  Cluster_.submit("next", SmallSize);
  Cluster_.advance(Reaction);
  BOOST_TEST(Cluster_.explanation("next") ==
             "the workers with room are quarantined or on trial");
}

BOOST_AUTO_TEST_CASE(is_tried_again_after_its_quarantine) {
  Cluster_.submit("next", SmallSize);
  Cluster_.advance(FirstQuarantine + Reaction);
  BOOST_TEST((Cluster_.task("next").State_ == TaskState::Claimed));
}

BOOST_AUTO_TEST_CASE(is_tried_again_soon_when_no_other_worker_is_left) {
  Cluster_.Worker_.setFailAll(true);
  for (int Trial = 0; Trial < 3; ++Trial) {
    Cluster_.submit(fmt::format("trial-{}", Trial), SmallSize);
    Cluster_.advance(2min);
  }
  Cluster_.Worker_.setFailAll(false);
  Cluster_.submit("next", SmallSize);
  Cluster_.advance(FirstQuarantine + Reaction);
  BOOST_TEST((Cluster_.task("next").State_ == TaskState::Claimed));
}

BOOST_AUTO_TEST_CASE(is_tried_again_although_earlier_tasks_run_on) {
  TestCluster Subject;
  Subject.start();
  Subject.submit("earlier", SmallSize);
  Subject.advance(Reaction);
  failThreeJobs(Subject);
  Subject.submit("next", SmallSize);
  Subject.advance(FirstQuarantine + Reaction);
  BOOST_TEST((Subject.task("earlier").State_ == TaskState::Claimed));
  BOOST_TEST((Subject.task("next").State_ == TaskState::Claimed));
}

BOOST_AUTO_TEST_CASE(is_trusted_when_its_trial_lasts_longer_than_a_quarantine) {
  Cluster_.submit("trial", SmallSize);
  Cluster_.submit("next", SmallSize);
  Cluster_.advance(FirstQuarantine + Reaction);
  BOOST_REQUIRE((Cluster_.task("trial").State_ == TaskState::Claimed));
  BOOST_REQUIRE((Cluster_.task("next").State_ == TaskState::Waiting));
  Cluster_.advance(FirstQuarantine);
  BOOST_TEST((Cluster_.task("trial").State_ == TaskState::Claimed));
  BOOST_TEST((Cluster_.task("next").State_ == TaskState::Claimed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_task_that_would_slow_every_service, SlowService)

BOOST_AUTO_TEST_CASE(waits_and_says_why_although_most_capacity_is_free) {
  Cluster_.submit("album", SmallSize);
  advance(1min, 90ms);
  BOOST_TEST((Cluster_.task("album").State_ == TaskState::Waiting));
  BOOST_TEST(Cluster_.explanation("album") == "would slow a service beside it");
}

BOOST_AUTO_TEST_CASE(is_started_when_the_service_has_become_faster) {
  Cluster_.submit("album", SmallSize);
  advance(1min, 90ms);
  BOOST_REQUIRE((Cluster_.task("album").State_ == TaskState::Waiting));
  advance(1min, 10ms);
  BOOST_TEST((Cluster_.task("album").State_ == TaskState::Claimed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
