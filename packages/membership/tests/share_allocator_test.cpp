#include "share_cluster.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::membership;
using namespace filbertspring::membership::test;
using namespace std::chrono_literals;

namespace {

constexpr int Instances = 6;
constexpr std::int32_t Hysteresis = ShareSettings{}.HysteresisPermille_;
constexpr Duration MaxFollowTime = 10s;
constexpr Duration MaxReclaimTime = 30s;
constexpr std::int32_t Floor = WholeLimitPermille / (4 * Instances);

struct SettledCluster {
  SettledCluster() : Cluster_(Instances, 7, FaultRates{}) { Cluster_.run(30s); }
  ShareCluster Cluster_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(shares_of_a_limit)

BOOST_FIXTURE_TEST_CASE(are_even_without_demand, SettledCluster) {
  BOOST_TEST(Cluster_.largestDeficit() < Hysteresis);
  BOOST_TEST(Cluster_.largestSum() <= WholeLimitPermille);
}

BOOST_FIXTURE_TEST_SUITE(when_demand_moves, SettledCluster)

BOOST_AUTO_TEST_CASE(follow_it_within_seconds_and_few_writes) {
  const auto Before = Cluster_.ledgerWrites();
  Cluster_.setDemand(0, 800);
  Cluster_.run(MaxFollowTime);
  BOOST_TEST(Cluster_.largestDeficit() < Hysteresis);
  BOOST_TEST(Cluster_.usable(0) > 700);
  // Each of the other instances gives once; conflicts may double that.
  BOOST_TEST(Cluster_.ledgerWrites() - Before <= 2 * Instances);
}

BOOST_AUTO_TEST_CASE(leave_a_floor_to_the_others) {
  Cluster_.setDemand(0, 1000);
  Cluster_.run(60s);
  for (int Index = 1; Index < Instances; ++Index)
    BOOST_TEST(Cluster_.usable(Index) >= Floor);
}

BOOST_AUTO_TEST_CASE(ignore_noise) {
  Cluster_.setDemand(0, 500);
  Cluster_.setDemand(1, 500);
  Cluster_.run(30s);
  const auto Before = Cluster_.ledgerWrites();
  Cluster_.setDemand(0, 510);
  Cluster_.run(30s);
  BOOST_TEST(Cluster_.ledgerWrites() == Before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_a_holder_fails, SettledCluster)

BOOST_AUTO_TEST_CASE(are_reclaimed_after_a_kill) {
  Cluster_.kill(2);
  Cluster_.run(MaxReclaimTime);
  BOOST_TEST(Cluster_.largestDeficit() < Hysteresis);
}

BOOST_AUTO_TEST_CASE(stay_in_use_while_the_cut_is_short) {
  Cluster_.disconnect(2, 5s);
  Cluster_.run(5s);
  BOOST_TEST(Cluster_.usable(2) > 0);
}

BOOST_AUTO_TEST_CASE(are_not_used_by_a_holder_that_is_cut_off_for_long) {
  Cluster_.disconnect(2, 60s);
  Cluster_.run(15s);
  BOOST_TEST(Cluster_.usable(2) == 0);
  Cluster_.run(60s + MaxReclaimTime);
  BOOST_TEST(Cluster_.usable(2) > 0);
  BOOST_TEST(Cluster_.largestSum() <= WholeLimitPermille);
}

BOOST_AUTO_TEST_CASE(are_not_doubled_by_a_restart_under_the_same_name) {
  Cluster_.restart(2);
  Cluster_.run(MaxReclaimTime);
  BOOST_TEST(Cluster_.usable(2) > 0);
  BOOST_TEST(Cluster_.largestSum() <= WholeLimitPermille);
}

BOOST_AUTO_TEST_CASE(are_divided_again_when_the_ledger_row_vanishes) {
  const RowKey Key{RowKind::ShareLedger, "booking"};
  const RowVersion Version = Cluster_.table().read(Key)->Version_;
  Cluster_.table().commit(
      {TransactionId("operator"), {}, {{Key, Version, std::nullopt}}});
  Cluster_.run(MaxReclaimTime);
  BOOST_TEST(Cluster_.largestDeficit() < Hysteresis);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_processes_stop, SettledCluster)

BOOST_AUTO_TEST_CASE(are_released_even_if_all_stop_at_once) {
  for (int Index = 0; Index < Instances; ++Index)
    Cluster_.stop(Index);
  Cluster_.run(MaxReclaimTime);
  const RowKey Key{RowKind::ShareLedger, "booking"};
  const auto Row = Cluster_.table().read(Key);
  BOOST_REQUIRE(Row.has_value());
  for (const InstanceShare &Share :
       std::get<ShareLedgerRecord>(Row->Value_).Shares_)
    BOOST_TEST(Share.Permille_ == 0);
  BOOST_TEST(Cluster_.table().scan(RowKind::Heartbeat).empty());
}

BOOST_AUTO_TEST_CASE(pass_to_the_others_if_one_stops) {
  Cluster_.stop(2);
  Cluster_.run(MaxFollowTime);
  BOOST_TEST(Cluster_.usable(2) == 0);
  BOOST_TEST(Cluster_.largestDeficit() < Hysteresis);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
