#include "job_order.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::scheduling {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint AcceptedAt{100s};

/// Returns a job with a run time of one second, accepted at AcceptedAt.
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

/// Returns a queue with an objective of 2.5 seconds for the jobs of makeJob().
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

BOOST_AUTO_TEST_CASE(
    is_after_timed_jobs_until_a_long_running_job_has_waited_too_long) {
  Job Timed = makeJob(false);
  Job LongRunning = makeJob(true);
  Queue Policy = makeQueue(0);
  auto IsTimedFirst = [&](Duration Age) {
    return rankOf(Timed, &Policy, AcceptedAt + Age) <
           rankOf(LongRunning, &Policy, AcceptedAt + Age);
  };
  BOOST_TEST(IsTimedFirst(2900ms));
  BOOST_TEST(!IsTimedFirst(3s));
}

BOOST_AUTO_TEST_CASE(is_defined_without_a_queue) {
  Job TestJob = makeJob(false);
  BOOST_TEST(rankOf(TestJob, nullptr, AcceptedAt).Priority_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling
