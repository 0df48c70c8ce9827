/// \file
/// Tests of tasks that crash the workers that start them. Such a task takes
/// other tasks with it, so it has to be told from them before it is given up.

#include "crash_attribution.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::scheduling::test {
namespace {

using enum CrashVerdict;
using enum RunMaturity;

} // namespace

BOOST_AUTO_TEST_SUITE(the_verdict_on_a_crash)

BOOST_AUTO_TEST_CASE(suspects_all_runs_that_have_not_settled) {
  std::vector<CrashSuspect> Runs{{Fresh, 0}, {Settled, 1}, {Fresh, 0}};
  std::vector<CrashVerdict> Expected{Suspected, Unlikely, Suspected};
  BOOST_TEST((judgeCrash(Runs, false) == Expected));
}

BOOST_AUTO_TEST_CASE(is_proof_if_a_suspected_run_is_the_only_fresh_one) {
  std::vector<CrashSuspect> Runs{{Fresh, 1}, {Settled, 0}};
  std::vector<CrashVerdict> Expected{Proven, Unlikely};
  BOOST_TEST((judgeCrash(Runs, false) == Expected));
}

BOOST_AUTO_TEST_CASE(is_no_proof_at_the_first_crash) {
  std::vector<CrashSuspect> Runs{{Fresh, 0}};
  BOOST_TEST((judgeCrash(Runs, false).front() == Suspected));
}

BOOST_AUTO_TEST_CASE(is_no_proof_while_most_of_the_zone_is_lost) {
  std::vector<CrashSuspect> Runs{{Fresh, 1}};
  BOOST_TEST((judgeCrash(Runs, true).front() == Suspected));
}

BOOST_AUTO_TEST_CASE(ends_a_task_after_four_crashes_in_any_case) {
  std::vector<CrashSuspect> Runs{{Fresh, 3}, {Fresh, 0}};
  std::vector<CrashVerdict> Expected{Proven, Suspected};
  BOOST_TEST((judgeCrash(Runs, true) == Expected));
}

BOOST_AUTO_TEST_CASE(follows_earlier_crashes_if_all_runs_have_settled) {
  std::vector<CrashSuspect> Runs{{Settled, 1}, {Settled, 0}, {Established, 3}};
  std::vector<CrashVerdict> Expected{Suspected, Unlikely, Unlikely};
  BOOST_TEST((judgeCrash(Runs, false) == Expected));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
