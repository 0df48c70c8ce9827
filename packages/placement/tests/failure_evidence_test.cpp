#include "filbertspring/placement/failure_evidence.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace std::chrono_literals;

namespace {

const WorkerName Broken("broken");

JobId job(int Number) { return JobId(fmt::format("j{}", Number)); }

WorkerName worker(int Number) { return WorkerName(fmt::format("w{}", Number)); }

/// Evidence after three different jobs have failed on the broken worker.
FailureEvidence setAsideAt(TimePoint Now) {
  FailureEvidence Evidence;
  for (int Number = 0; Number < 3; ++Number)
    Evidence.record(Broken, job(Number), true, Now);
  return Evidence;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_worker_that_fails_everything)

BOOST_AUTO_TEST_CASE(is_set_aside_after_three_different_jobs) {
  FailureEvidence Evidence;
  TimePoint Now{};
  BOOST_TEST(!Evidence.record(Broken, job(1), true, Now));
  BOOST_TEST(!Evidence.record(Broken, job(1), true, Now));
  BOOST_TEST(!Evidence.record(Broken, job(2), true, Now));
  BOOST_TEST(Evidence.allowance(Broken, Now) == UnboundedAllowance);
  BOOST_TEST(Evidence.record(Broken, job(3), true, Now));
  BOOST_TEST(Evidence.allowance(Broken, Now) == 0U);
}

BOOST_AUTO_TEST_CASE(gets_one_trial_and_a_longer_wait_after_each_failure) {
  TimePoint Now{};
  FailureEvidence Evidence = setAsideAt(Now);
  BOOST_TEST(Evidence.allowance(Broken, Now + 29s) == 0U);
  BOOST_TEST(Evidence.allowance(Broken, Now + 30s) == 1U);
  BOOST_TEST(Evidence.record(Broken, job(9), true, Now + 31s));
  BOOST_TEST(Evidence.allowance(Broken, Now + 31s + 59s) == 0U);
  BOOST_TEST(Evidence.allowance(Broken, Now + 31s + 60s) == 1U);
}

BOOST_AUTO_TEST_CASE(is_let_in_slowly_after_it_succeeds) {
  TimePoint Now{};
  FailureEvidence Evidence = setAsideAt(Now);
  Now += 30s;
  for (std::size_t Allowed : {2U, 4U, 8U}) {
    Evidence.record(Broken, job(9), false, Now);
    BOOST_TEST(Evidence.allowance(Broken, Now) == Allowed);
  }
  Evidence.record(Broken, job(9), false, Now);
  BOOST_TEST(Evidence.allowance(Broken, Now) == UnboundedAllowance);
}

BOOST_AUTO_TEST_CASE(is_not_excused_by_another_one_that_is_broken_too) {
  FailureEvidence Evidence;
  TimePoint Now{};
  for (int Number = 0; Number < 3; ++Number)
    for (int Each : {1, 2})
      Evidence.record(worker(Each), job(Number), true, Now);
  BOOST_TEST(Evidence.allowance(worker(1), Now) == 0U);
  BOOST_TEST(Evidence.allowance(worker(2), Now) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_job_that_fails_everywhere)

BOOST_AUTO_TEST_CASE(sets_no_healthy_worker_aside) {
  FailureEvidence Evidence;
  TimePoint Now{};
  for (int Each = 0; Each < 10; ++Each)
    Evidence.record(worker(Each), job(100 + Each), false, Now);
  for (int Poisonous = 0; Poisonous < 5; ++Poisonous)
    for (int Each = 0; Each < 10; ++Each)
      Evidence.record(worker(Each), job(Poisonous), true, Now);
  for (int Each = 0; Each < 10; ++Each)
    BOOST_TEST(Evidence.allowance(worker(Each), Now) == UnboundedAllowance);
  BOOST_TEST(Evidence.isSuspect(job(0)));
}

BOOST_AUTO_TEST_CASE(gives_a_worker_back_that_it_set_aside_at_first) {
  FailureEvidence Evidence;
  TimePoint Now{};
  for (int Each = 0; Each < 3; ++Each)
    Evidence.record(worker(Each), job(100), false, Now);
  for (int Poisonous = 0; Poisonous < 3; ++Poisonous)
    Evidence.record(worker(0), job(Poisonous), true, Now);
  BOOST_TEST(Evidence.allowance(worker(0), Now) == 0U);
  for (int Poisonous = 0; Poisonous < 3; ++Poisonous)
    for (int Each : {1, 2})
      Evidence.record(worker(Each), job(Poisonous), true, Now);
  BOOST_TEST(Evidence.allowance(worker(0), Now) == UnboundedAllowance);
}

BOOST_AUTO_TEST_CASE(is_cleared_by_a_success) {
  FailureEvidence Evidence;
  TimePoint Now{};
  for (int Each : {1, 2}) {
    Evidence.record(worker(Each), job(50), false, Now);
    Evidence.record(worker(Each), job(1), true, Now);
  }
  BOOST_TEST(Evidence.isSuspect(job(1)));
  Evidence.record(worker(3), job(1), false, Now);
  BOOST_TEST(!Evidence.isSuspect(job(1)));
}

BOOST_AUTO_TEST_SUITE_END()
