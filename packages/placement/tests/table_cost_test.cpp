#define BOOST_TEST_MODULE table_cost
#include "table_cost.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace filbertspring::placement::test;

namespace {

/// The writes that the platform grants in one second.
constexpr std::uint64_t GrantedWritesPerSecond = 300;

void reportUse(const TableUse &Use) {
  BOOST_TEST_MESSAGE("  " << Use.Commits_ << " commits, " << Use.RowsWritten_
                          << " rows written, " << Use.Reads_ << " reads, "
                          << Use.RowsRead_ << " rows read");
}

void reportStarts(const char *Name, const StartCost &Cost) {
  BOOST_TEST_MESSAGE(Name << ": " << Cost.Starts_ << " starts");
  reportUse(Cost.Use_);
}

void reportRecovery(int Workers, const RecoveryCost &Cost) {
  BOOST_TEST_MESSAGE(Workers << " workers: " << Cost.RacksMoved_
                             << " racks with " << Cost.AttemptsHeld_
                             << " attempts moved; busiest second "
                             << Cost.BusiestSecond_ << " commits");
  reportUse(Cost.Use_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(table_cost)

BOOST_AUTO_TEST_SUITE(of_starts)

BOOST_AUTO_TEST_CASE(is_lower_with_group_commit) {
  StartCost Single = costOfStarts(1);
  StartCost Grouped = costOfStarts(32);
  reportStarts("one start a commit", Single);
  reportStarts("up to 32 starts a commit", Grouped);
  BOOST_TEST(Single.Starts_ == Grouped.Starts_);
  BOOST_TEST(Grouped.Use_.Commits_ * 4 < Single.Use_.Commits_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_an_instance_that_dies)

BOOST_AUTO_TEST_CASE(stays_within_the_grant_at_50_workers) {
  RecoveryCost Cost = costOfRecovery(2, 5, 5, 6);
  reportRecovery(2 * 5 * 5, Cost);
  BOOST_TEST(Cost.RacksMoved_ > 0U);
  BOOST_TEST(Cost.BusiestSecond_ < GrantedWritesPerSecond);
}

BOOST_AUTO_TEST_CASE(stays_within_the_grant_at_580_workers) {
  RecoveryCost Cost = costOfRecovery(2, 29, 10, 28);
  reportRecovery(2 * 29 * 10, Cost);
  BOOST_TEST(Cost.RacksMoved_ > 0U);
  BOOST_TEST(Cost.BusiestSecond_ < GrantedWritesPerSecond);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
