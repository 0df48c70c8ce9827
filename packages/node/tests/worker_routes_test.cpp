#include "worker_routes.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

/// A cell with \p Workers workers in each of two zones.
struct RoutesOfTwoZones {
  explicit RoutesOfTwoZones(int Workers = 500) {
    Routes_.setCandidates({{"weak-a", "a", 0.07},
                           {"strong-a1", "a", 0.3},
                           {"strong-a2", "a", 0.5},
                           {"strong-a3", "a", 0.5},
                           {"weak-b", "b", 0.1}});
    for (int Index = 0; Index < Workers; ++Index) {
      addWorker("a", Index);
      addWorker("b", Index);
    }
  }

  void addWorker(const std::string &Zone, int Index) {
    std::string Name = Zone + std::to_string(Index);
    Routes_.addWorker(Name, "address-" + Name, Zone);
    Addresses_[Zone].push_back("address-" + Name);
  }

  /// Returns the number of workers of \p Zone by the relay that calls them.
  std::map<std::string, int> relays(const std::string &Zone) const {
    std::map<std::string, int> Counts;
    for (const std::string &Address : Addresses_.at(Zone))
      ++Counts[Routes_.relayFor(Address, Now_)];
    return Counts;
  }

  WorkerRoutes Routes_;
  std::map<std::string, std::vector<std::string>> Addresses_;
  TimePoint Now_{100s};
};

struct RoutesOfFewWorkers : RoutesOfTwoZones {
  RoutesOfFewWorkers() : RoutesOfTwoZones(20) {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(calls_to_workers)

BOOST_FIXTURE_TEST_CASE(are_shared_by_the_strongest_instances_of_the_zone,
                        RoutesOfTwoZones) {
  std::map<std::string, int> Counts = relays("a");
  BOOST_TEST(Counts.size() == 2U);
  BOOST_TEST(Counts["strong-a2"] > 200);
  BOOST_TEST(Counts["strong-a3"] > 200);
}

BOOST_FIXTURE_TEST_CASE(are_made_by_the_owner_where_all_instances_are_weak,
                        RoutesOfTwoZones) {
  BOOST_TEST(relays("b")[""] == 500);
}

BOOST_FIXTURE_TEST_CASE(are_made_by_the_owner_if_there_are_few_workers,
                        RoutesOfFewWorkers) {
  BOOST_TEST(relays("a")[""] == 20);
}

BOOST_FIXTURE_TEST_CASE(are_made_by_the_owner_for_an_unknown_worker,
                        RoutesOfTwoZones) {
  BOOST_TEST(Routes_.relayFor("address-other", Now_).empty());
  Routes_.removeWorker("a1");
  BOOST_TEST(Routes_.relayFor("address-a1", Now_).empty());
}

BOOST_FIXTURE_TEST_CASE(follow_a_worker_to_its_new_address, RoutesOfTwoZones) {
  Routes_.addWorker("a1", "elsewhere", "a");
  BOOST_TEST(Routes_.relayFor("address-a1", Now_).empty());
  BOOST_TEST(!Routes_.relayFor("elsewhere", Now_).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_instance_that_fails)

BOOST_FIXTURE_TEST_CASE(is_replaced_by_the_next_one, RoutesOfTwoZones) {
  BOOST_TEST(Routes_.relayFailed("strong-a2", Now_, Now_));
  std::map<std::string, int> Counts = relays("a");
  BOOST_TEST(!Counts.contains("strong-a2"));
  BOOST_TEST(Counts.contains("strong-a1"));
  BOOST_TEST(!Routes_.relayFailed("strong-a2", Now_, Now_));
}

BOOST_FIXTURE_TEST_CASE(is_tried_again_later_and_then_less_often,
                        RoutesOfTwoZones) {
  Routes_.relayFailed("strong-a2", Now_, Now_);
  Now_ += 3s;
  BOOST_TEST(relays("a").contains("strong-a2"));
  Routes_.relayFailed("strong-a2", Now_, Now_);
  Now_ += 3s;
  BOOST_TEST(!relays("a").contains("strong-a2"));
  Now_ += 3s;
  BOOST_TEST(relays("a").contains("strong-a2"));
}

BOOST_FIXTURE_TEST_CASE(has_not_failed_if_it_answered_later_calls,
                        RoutesOfTwoZones) {
  Routes_.relayAnswered("strong-a2", Now_);
  BOOST_TEST(!Routes_.relayFailed("strong-a2", Now_ - 1s, Now_));
  BOOST_TEST(relays("a").contains("strong-a2"));
}

BOOST_FIXTURE_TEST_CASE(leaves_the_calls_to_the_owner_if_no_other_is_left,
                        RoutesOfTwoZones) {
  for (const char *Relay : {"strong-a1", "strong-a2", "strong-a3"})
    Routes_.relayFailed(Relay, Now_, Now_);
  BOOST_TEST(relays("a")[""] == 500);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_worker_that_a_relay_does_not_reach)

BOOST_FIXTURE_TEST_CASE(is_called_by_the_owner_for_some_time,
                        RoutesOfTwoZones) {
  Routes_.workerMissedByRelay("address-a1", Now_);
  BOOST_TEST(relays("a")[""] == 1);
  BOOST_TEST(Routes_.isDetoured("address-a1", Now_));
  Now_ += 3s;
  BOOST_TEST(!Routes_.relayFor("address-a1", Now_).empty());
}

BOOST_FIXTURE_TEST_CASE(is_called_by_the_owner_longer_if_it_is_missed_again,
                        RoutesOfTwoZones) {
  // The second call was open when the first one failed.
  Routes_.workerMissedByRelay("address-a1", Now_);
  Routes_.workerMissedByRelay("address-a1", Now_);
  Now_ += 3s;
  Routes_.workerMissedByRelay("address-a1", Now_);
  Now_ += 3s;
  BOOST_TEST(Routes_.isDetoured("address-a1", Now_));
  Now_ += 2s;
  BOOST_TEST(!Routes_.isDetoured("address-a1", Now_));
}

BOOST_FIXTURE_TEST_CASE(is_called_by_the_relay_again_once_that_reaches_it,
                        RoutesOfTwoZones) {
  Routes_.workerMissedByRelay("address-a1", Now_);
  Routes_.workerAnsweredRelay("address-a1");
  BOOST_TEST(!Routes_.relayFor("address-a1", Now_).empty());
}

BOOST_FIXTURE_TEST_CASE(is_called_by_the_relay_again_if_the_owner_misses_it_too,
                        RoutesOfTwoZones) {
  Routes_.workerMissedByRelay("address-a1", Now_);
  Routes_.workerMissedByOwner("address-a1", Now_);
  BOOST_TEST(!Routes_.relayFor("address-a1", Now_).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
