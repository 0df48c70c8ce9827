#define BOOST_TEST_MODULE configuration_fuzz
#include "configuration_cluster.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace filbertspring;
using namespace filbertspring::membership;
using namespace filbertspring::membership::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration FaultyTime = 120s;
/// The maximum time until a change is in force at all instances.
constexpr Duration SpreadLimit = 14s;
constexpr std::uint64_t SearchedSeeds = 200;

/// Returns true when \p IsBroken holds for some run with \p Disabled.
template <typename Rule>
bool oracleDetectsViolation(DisabledConfigurationMechanism Disabled,
                            Rule IsBroken) {
  for (std::uint64_t Seed = 1; Seed <= SearchedSeeds; ++Seed) {
    ConfigurationCluster Cluster(4, Seed, HeavyConfigurationFaults, Disabled);
    Cluster.run(FaultyTime);
    Cluster.endFaults();
    Cluster.run(SpreadLimit);
    if (!IsBroken(Cluster))
      continue;
    BOOST_TEST_MESSAGE("seed " << Seed << ": reverts " << Cluster.reverts()
                               << ", false confirmations "
                               << Cluster.falseConfirmations() << ", converged "
                               << Cluster.converged());
    return true;
  }
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_under_faults)

BOOST_AUTO_TEST_CASE(never_reverts_and_converges_afterwards) {
  const bool Holds = rc::check([](std::uint64_t Seed) {
    const auto Instances = *rc::gen::inRange(1, 7);
    ConfigurationCluster Cluster(Instances, Seed, HeavyConfigurationFaults);
    Cluster.run(FaultyTime);
    Cluster.endFaults();
    Cluster.run(SpreadLimit);
    RC_ASSERT(Cluster.reverts() == 0);
    RC_ASSERT(Cluster.falseConfirmations() == 0);
    RC_ASSERT(Cluster.converged());
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE(needs)

BOOST_AUTO_TEST_CASE(confirmations_dated_by_the_send_time) {
  BOOST_TEST(oracleDetectsViolation(
      DisabledConfigurationMechanism::SendTime,
      [](const auto &Cluster) { return Cluster.falseConfirmations() > 0; }));
}

BOOST_AUTO_TEST_CASE(versions_to_decide_between_rows) {
  BOOST_TEST(oracleDetectsViolation(
      DisabledConfigurationMechanism::Versions,
      [](const auto &Cluster) { return Cluster.reverts() > 0; }));
}

BOOST_AUTO_TEST_CASE(the_head_to_be_read_before_the_scan) {
  BOOST_TEST(oracleDetectsViolation(
      DisabledConfigurationMechanism::HeadFirst,
      [](auto &Cluster) { return !Cluster.converged(); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(cut_from_the_table)

BOOST_AUTO_TEST_CASE(is_received_from_peers) {
  ConfigurationCluster Cluster(4, 3, ConfigurationFaults{});
  Cluster.run(5s);
  Cluster.disconnectFromTable(0, 600s);
  Cluster.writeRow();
  Cluster.run(SpreadLimit);
  BOOST_TEST(Cluster.converged());
  BOOST_TEST(Cluster.deltas() > 0U);
}

BOOST_AUTO_TEST_CASE(makes_a_restarted_instance_ready_through_peers) {
  ConfigurationCluster Cluster(4, 4, ConfigurationFaults{});
  Cluster.run(5s);
  Cluster.disconnectFromTable(0, 600s);
  Cluster.restart(0);
  BOOST_TEST(!Cluster.view(0).ready());
  Cluster.run(SpreadLimit);
  BOOST_TEST(Cluster.view(0).ready());
  BOOST_TEST(Cluster.converged());
  // Deltas from peers do not confirm the state of a zone.
  BOOST_TEST(!Cluster.view(0).zoneConfirmedAt(ZoneName("z0")).has_value());
}

BOOST_AUTO_TEST_CASE(leaves_a_restarted_instance_alone_not_ready) {
  ConfigurationCluster Cluster(1, 5, ConfigurationFaults{});
  Cluster.disconnectFromTable(0, 600s);
  Cluster.run(60s);
  BOOST_TEST(!Cluster.view(0).ready());
  BOOST_TEST(Cluster.view(0).contracts().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
