#include "job_order.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::scheduling {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint AcceptedAt{100s};

/// A job of one second's work, accepted at AcceptedAt.
Job makeJob(bool IsLasting) {
  AcceptedJob Accepted;
  Accepted.Id_ = "job";
  StepSpec Step;
  Step.Estimate_ = 1s;
  Step.IsLongRunning_ = IsLasting;
  Accepted.Spec_.Steps_ = {Step};
  Job TestJob(Accepted, AcceptedAt);
  TestJob.releaseSteps(0, AcceptedAt);
  return TestJob;
}

/// An objective of 2.5 seconds for such a job.
Queue makeQueue(int Priority) {
  Queue Policy;
  Policy.Priority_ = Priority;
  Policy.SlackFactor_ = 2;
  Policy.TargetLatency_ = 500ms;
  return Policy;
}

BOOST_AUTO_TEST_SUITE(the_rank_of_a_job)

BOOST_AUTO_TEST_CASE(falls_when_it_can_no_longer_be_in_time) {
  Job TestJob = makeJob(false);
  Queue Policy = makeQueue(0);
  auto LatenessAt = [&](Duration Age) {
    return rankOf(TestJob, &Policy, AcceptedAt + Age).Lateness_;
  };
  BOOST_TEST((LatenessAt(1500ms) == Lateness::InTime));
  BOOST_TEST((LatenessAt(1501ms) == Lateness::Late));
  BOOST_TEST((LatenessAt(6500ms) == Lateness::Late));
  BOOST_TEST((LatenessAt(6501ms) == Lateness::Worthless));
}

BOOST_AUTO_TEST_CASE(follows_the_priority_first) {
  Job TestJob = makeJob(false);
  Queue Urgent = makeQueue(0);
  Queue Patient = makeQueue(2);
  BOOST_TEST((rankOf(TestJob, &Urgent, AcceptedAt + 10s) <
              rankOf(TestJob, &Patient, AcceptedAt)));
}

BOOST_AUTO_TEST_CASE(is_after_timed_ones_while_it_lasts_and_waits_briefly) {
  Job Timed = makeJob(false);
  Job Lasting = makeJob(true);
  Queue Policy = makeQueue(0);
  auto IsTimedFirst = [&](Duration Age) {
    return rankOf(Timed, &Policy, AcceptedAt + Age) <
           rankOf(Lasting, &Policy, AcceptedAt + Age);
  };
  BOOST_TEST(IsTimedFirst(2900ms));
  BOOST_TEST(!IsTimedFirst(3s));
}

BOOST_AUTO_TEST_CASE(needs_no_queue) {
  Job TestJob = makeJob(false);
  BOOST_TEST(rankOf(TestJob, nullptr, AcceptedAt).Priority_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling
