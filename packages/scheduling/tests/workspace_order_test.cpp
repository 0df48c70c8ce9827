#include "workspace_order.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace filbertspring::scheduling {
namespace {

using namespace std::chrono_literals;

/// A job of workspace \p Workspace that is due at \p Due.
WaitingJob makeJob(std::size_t Workspace, Duration Due, int Priority = 0,
                   bool IsBeyondRate = false) {
  JobRank Rank;
  Rank.Priority_ = Priority;
  Rank.Due_ = TimePoint(Due);
  return {Rank, Workspace, IsBeyondRate};
}

/// Returns the indices of \p Jobs in their order. Each job adds \p Increase to
/// the share of its workspace.
std::string orderOf(const std::vector<WaitingJob> &Jobs,
                    std::vector<double> Shares, double Increase = 1) {
  WorkspaceOrder Order(Jobs, Shares);
  std::string Result;
  double Share = 0;
  while (std::optional<std::size_t> Next = Order.next(Share)) {
    Result += std::to_string(*Next);
    Share = Shares[Jobs[*Next].Workspace_] += Increase;
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_order_of_workspaces)

BOOST_AUTO_TEST_CASE(is_empty_without_jobs) {
  BOOST_TEST(orderOf({}, {0, 0}) == "");
}

BOOST_AUTO_TEST_CASE(alternates_between_those_that_use_as_much) {
  // A long line of jobs that are due earlier delays nobody.
  BOOST_TEST(orderOf({makeJob(0, 1s), makeJob(0, 2s), makeJob(0, 3s),
                      makeJob(1, 8s), makeJob(1, 9s)},
                     {0, 0}) == "03142");
}

BOOST_AUTO_TEST_CASE(starts_with_the_one_that_uses_least) {
  BOOST_TEST(
      orderOf({makeJob(0, 1s), makeJob(0, 2s), makeJob(1, 8s), makeJob(1, 9s)},
              {1.5, 0}) == "2301");
}

BOOST_AUTO_TEST_CASE(follows_the_ranks_within_a_workspace) {
  std::vector<WaitingJob> Jobs = {makeJob(0, 3s), makeJob(0, 2s),
                                  makeJob(0, 1s)};
  Jobs[2].Rank_.Lateness_ = Lateness::Worthless;
  BOOST_TEST(orderOf(Jobs, {0}) == "102");
}

BOOST_AUTO_TEST_CASE(puts_priorities_before_shares) {
  BOOST_TEST(orderOf({makeJob(0, 1s, 2), makeJob(1, 1s, 0), makeJob(1, 2s, 0)},
                     {0, 7}) == "120");
}

BOOST_AUTO_TEST_CASE(puts_jobs_beyond_the_rate_behind_all_others) {
  // Otherwise a flood of urgent jobs would delay all others.
  BOOST_TEST(
      orderOf({makeJob(0, 1s, 0, true), makeJob(1, 9s, 2), makeJob(0, 9s, 2)},
              {0, 5}) == "210");
}

BOOST_AUTO_TEST_CASE(keeps_shares_from_one_priority_to_the_next) {
  BOOST_TEST(orderOf({makeJob(0, 1s, 0), makeJob(0, 1s, 1), makeJob(1, 1s, 1)},
                     {0, 0.5}) == "021");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_share_of_a_workspace)

BOOST_AUTO_TEST_CASE(is_that_of_the_resource_that_it_uses_most_of) {
  BOOST_TEST(weightedShare({1000, 500, 0}, {10'000, 1000, 0}, 1) == 0.5);
  BOOST_TEST(weightedShare({1000, 0, 3}, {10'000, 1000, 4}, 1) == 0.75);
}

BOOST_AUTO_TEST_CASE(is_smaller_with_a_larger_weight) {
  BOOST_TEST(weightedShare({1000, 0, 0}, {10'000, 1000, 0}, 2) == 0.05);
}

BOOST_AUTO_TEST_CASE(is_defined_without_workers_and_without_a_weight) {
  BOOST_TEST(weightedShare({1000, 0, 0}, {}, 1) == 0);
  BOOST_TEST(weightedShare({1000, 0, 0}, {10'000, 0, 0}, 0) > 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_rate_of_a_workspace)

BOOST_AUTO_TEST_CASE(covers_its_weight_in_jobs_a_second) {
  ArrivalCounter Arrivals;
  std::uint32_t Beyond = 0;
  for (std::int64_t Ms = 0; Ms < 10'000; Ms += 100)
    Beyond += isBeyondRate(Arrivals.add(Ms), 4) ? 1 : 0;
  // Of 20 jobs in two seconds 8 and two standard deviations, 6, are covered.
  BOOST_TEST(Beyond == 5 * (20 - 14));
}

BOOST_AUTO_TEST_CASE(is_the_same_for_an_owner_that_reads_the_jobs_later) {
  ArrivalCounter Arrivals;
  std::uint32_t Beyond = 0;
  for (std::int64_t Ms = 9'900; Ms >= 0; Ms -= 100)
    Beyond += isBeyondRate(Arrivals.add(Ms), 4) ? 1 : 0;
  BOOST_TEST(Beyond == 5 * (20 - 14));
}

BOOST_AUTO_TEST_CASE(covers_a_job_of_the_smallest_workspace) {
  ArrivalCounter Arrivals;
  BOOST_TEST(!isBeyondRate(Arrivals.add(0), 0.01));
  BOOST_TEST(isBeyondRate(Arrivals.add(1), 0.01));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling
