#include "filbertspring/placement/failure_evidence.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace std::chrono_literals;

namespace {

const WorkerName FaultyWorker("broken");

JobId job(int Number) { return JobId(fmt::format("j{}", Number)); }

WorkerName worker(int Number) { return WorkerName(fmt::format("w{}", Number)); }

/// Returns the evidence after three different jobs failed on FaultyWorker at
/// \p Now, which puts it into quarantine.
FailureEvidence quarantinedAt(TimePoint Now) {
  FailureEvidence Evidence;
  for (int Number = 0; Number < 3; ++Number)
    Evidence.record(FaultyWorker, job(Number), true, Now);
  return Evidence;
}

} // namespace

BOOST_AUTO_TEST_SUITE(faulty_worker)

BOOST_AUTO_TEST_CASE(is_quarantined_after_three_different_jobs) {
  FailureEvidence Evidence;
  TimePoint Now{};
  BOOST_TEST(!Evidence.record(FaultyWorker, job(1), true, Now));
  BOOST_TEST(!Evidence.record(FaultyWorker, job(1), true, Now));
  BOOST_TEST(!Evidence.record(FaultyWorker, job(2), true, Now));
  BOOST_TEST(Evidence.allowance(FaultyWorker, Now) == UnboundedAllowance);
  BOOST_TEST(Evidence.record(FaultyWorker, job(3), true, Now));
  BOOST_TEST(Evidence.allowance(FaultyWorker, Now) == 0U);
}

BOOST_AUTO_TEST_CASE(
    gets_one_trial_and_a_longer_quarantine_after_each_failure) {
  TimePoint Now{};
  FailureEvidence Evidence = quarantinedAt(Now);
  BOOST_TEST(Evidence.allowance(FaultyWorker, Now + 29s) == 0U);
  BOOST_TEST(Evidence.allowance(FaultyWorker, Now + 30s) == 1U);
  BOOST_TEST(Evidence.record(FaultyWorker, job(9), true, Now + 31s));
  BOOST_TEST(Evidence.allowance(FaultyWorker, Now + 31s + 59s) == 0U);
  BOOST_TEST(Evidence.allowance(FaultyWorker, Now + 31s + 60s) == 1U);
}

BOOST_AUTO_TEST_CASE(has_its_allowance_doubled_by_each_success) {
  TimePoint Now{};
  FailureEvidence Evidence = quarantinedAt(Now);
  Now += 30s;
  for (std::size_t Allowed : {2U, 4U, 8U}) {
    Evidence.record(FaultyWorker, job(9), false, Now);
    BOOST_TEST(Evidence.allowance(FaultyWorker, Now) == Allowed);
  }
  Evidence.record(FaultyWorker, job(9), false, Now);
  BOOST_TEST(Evidence.allowance(FaultyWorker, Now) == UnboundedAllowance);
}

BOOST_AUTO_TEST_CASE(is_quarantined_beside_another_faulty_worker) {
  FailureEvidence Evidence;
  TimePoint Now{};
  for (int Number = 0; Number < 3; ++Number)
    for (int Index : {1, 2})
      Evidence.record(worker(Index), job(Number), true, Now);
  BOOST_TEST(Evidence.allowance(worker(1), Now) == 0U);
  BOOST_TEST(Evidence.allowance(worker(2), Now) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(faulty_job)

BOOST_AUTO_TEST_CASE(does_not_quarantine_healthy_workers) {
  FailureEvidence Evidence;
  TimePoint Now{};
  for (int Index = 0; Index < 10; ++Index)
    Evidence.record(worker(Index), job(100 + Index), false, Now);
  for (int FaultyJob = 0; FaultyJob < 5; ++FaultyJob)
    for (int Index = 0; Index < 10; ++Index)
      Evidence.record(worker(Index), job(FaultyJob), true, Now);
  for (int Index = 0; Index < 10; ++Index)
    BOOST_TEST(Evidence.allowance(worker(Index), Now) == UnboundedAllowance);
  BOOST_TEST(Evidence.isSuspect(job(0)));
}

BOOST_AUTO_TEST_CASE(ends_a_quarantine_that_it_caused) {
  FailureEvidence Evidence;
  TimePoint Now{};
  for (int Index = 0; Index < 3; ++Index)
    Evidence.record(worker(Index), job(100), false, Now);
  for (int FaultyJob = 0; FaultyJob < 3; ++FaultyJob)
    Evidence.record(worker(0), job(FaultyJob), true, Now);
  BOOST_TEST(Evidence.allowance(worker(0), Now) == 0U);
  for (int FaultyJob = 0; FaultyJob < 3; ++FaultyJob)
    for (int Index : {1, 2})
      Evidence.record(worker(Index), job(FaultyJob), true, Now);
  BOOST_TEST(Evidence.allowance(worker(0), Now) == UnboundedAllowance);
}

BOOST_AUTO_TEST_CASE(is_no_longer_suspect_after_a_success) {
  FailureEvidence Evidence;
  TimePoint Now{};
  for (int Index : {1, 2}) {
    Evidence.record(worker(Index), job(50), false, Now);
    Evidence.record(worker(Index), job(1), true, Now);
  }
  BOOST_TEST(Evidence.isSuspect(job(1)));
  Evidence.record(worker(3), job(1), false, Now);
  BOOST_TEST(!Evidence.isSuspect(job(1)));
}

BOOST_AUTO_TEST_SUITE_END()
