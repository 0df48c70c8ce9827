#define BOOST_TEST_MODULE table_cost
#include "table_cost.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace filbertspring::placement::test;

namespace {

/// The write quota that the platform grants per second.
constexpr std::uint64_t PlatformWriteQuotaPerSecond = 300;

void reportUsage(const TableUsage &Usage) {
  BOOST_TEST_MESSAGE("  " << Usage.Commits_ << " commits, "
                          << Usage.RowsWritten_ << " rows written, "
                          << Usage.Reads_ << " reads, " << Usage.RowsRead_
                          << " rows read");
}

void reportStarts(const char *Name, const StartCost &Cost) {
  BOOST_TEST_MESSAGE(Name << ": " << Cost.Starts_ << " starts");
  reportUsage(Cost.Usage_);
}

void reportRecovery(int Workers, const RecoveryCost &Cost) {
  BOOST_TEST_MESSAGE(Workers << " workers: " << Cost.RacksMoved_
                             << " racks with " << Cost.AssignedAttempts_
                             << " attempts moved; busiest second "
                             << Cost.PeakCommitsPerSecond_ << " commits");
  reportUsage(Cost.Usage_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(table_cost)

BOOST_AUTO_TEST_SUITE(of_starts)

BOOST_AUTO_TEST_CASE(is_lower_with_group_commit) {
  StartCost Single = measureStartCost(1);
  StartCost Grouped = measureStartCost(32);
  reportStarts("one start a commit", Single);
  reportStarts("up to 32 starts a commit", Grouped);
  BOOST_TEST(Single.Starts_ == Grouped.Starts_);
  BOOST_TEST(Grouped.Usage_.Commits_ * 4 < Single.Usage_.Commits_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_an_instance_crash)

BOOST_AUTO_TEST_CASE(stays_within_the_write_quota_at_50_workers) {
  RecoveryCost Cost = measureRecoveryCost(2, 5, 5, 6);
  reportRecovery(2 * 5 * 5, Cost);
  BOOST_TEST(Cost.RacksMoved_ > 0U);
  BOOST_TEST(Cost.PeakCommitsPerSecond_ < PlatformWriteQuotaPerSecond);
}

BOOST_AUTO_TEST_CASE(stays_within_the_write_quota_at_580_workers) {
  RecoveryCost Cost = measureRecoveryCost(2, 29, 10, 28);
  reportRecovery(2 * 29 * 10, Cost);
  BOOST_TEST(Cost.RacksMoved_ > 0U);
  BOOST_TEST(Cost.PeakCommitsPerSecond_ < PlatformWriteQuotaPerSecond);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
