#define BOOST_TEST_MODULE outage_system
#include "cluster.h"
#include "oracle.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace filbertspring::tests;
using nlohmann::json;

namespace {

json contractOf(const Node &Entry) {
  return call(Entry.Port_, "GET", "/v1/admin/contracts/tours").json();
}

std::int64_t configurationVersion(const Node &Entry) {
  json Status = call(Entry.Port_, "GET", "/v1/admin/status").json();
  return Status.is_object() ? Status["head"].get<std::int64_t>() : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(while_the_platform_is_down)

BOOST_AUTO_TEST_CASE(each_zone_serves_plain_requests_and_rejects_stored_ones) {
  Cluster System({});
  const Node &Entry = System.entries()[0];
  System.setFaults({{"down", true}});
  std::this_thread::sleep_for(std::chrono::seconds(3));
  BOOST_TEST(System.request(Entry, "plain").header("x-outcome") == "completed");
  Reply Keyed = System.request(Entry, "keyed", "key-1");
  BOOST_TEST(Keyed.header("x-outcome") == "not-run");
  BOOST_TEST(Keyed.header("x-reason") == "platform-unavailable");
  BOOST_TEST(runsByRequest(System).count("keyed") == 0U);
  Reply Job = System.submit(Entry, "job-1", 1, 100);
  BOOST_TEST(Job.Status_ == 503);
  System.setFaults({{"down", false}});
  BOOST_TEST(eventually([&] {
    return System.request(Entry, "keyed-2", "key-1").header("x-outcome") ==
           "completed";
  }));
}

BOOST_AUTO_TEST_CASE(an_isolated_zone_receives_changes_from_peers) {
  Cluster System({});
  const Node &Connected = System.entries()[0];
  const Node &Isolated = System.entries()[1];
  System.setFaults({{"cut_zones", {"kusadasi"}}});
  std::int64_t Before = configurationVersion(Isolated);
  BOOST_TEST(System.setZone(Connected, "bodrum", "out-of-service").Status_ ==
             200);
  BOOST_TEST(
      eventually([&] { return configurationVersion(Isolated) > Before; }, 14));
  BOOST_TEST(System.request(Isolated, "still").header("x-outcome") ==
             "completed");
}

BOOST_AUTO_TEST_CASE(a_new_instance_reports_that_it_is_not_ready) {
  Cluster System({});
  System.setFaults({{"down", true}});
  Node &NewEntry = System.addEntry("bodrum");
  BOOST_TEST(eventually(
      [&] { return call(NewEntry.Port_, "GET", "/healthz").Status_ == 200; }));
  BOOST_TEST(call(NewEntry.Port_, "GET", "/readyz").Status_ == 503);
  BOOST_TEST(System.request(NewEntry, "early").header("x-outcome") ==
             "not-run");
  System.setFaults({{"down", false}});
  BOOST_TEST(eventually(
      [&] { return call(NewEntry.Port_, "GET", "/readyz").Status_ == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(is_in_force_everywhere_within_the_target) {
  Cluster System({});
  BOOST_TEST(System.setZone(System.entries()[0], "kusadasi", "out-of-service")
                 .Status_ == 200);
  std::int64_t Head = call(System.entries()[0].Port_, "GET", "/v1/admin/zones")
                          .json()["zones"][1]["version"];
  for (const Node &Entry : System.entries())
    BOOST_TEST(
        eventually([&] { return configurationVersion(Entry) >= Head; }, 14));
}

BOOST_AUTO_TEST_CASE(never_reverts_for_an_instance_that_was_paused) {
  Cluster System({});
  Node &Paused = System.entries()[1];
  Paused.Process_.signal(SIGSTOP);
  json Body = {{"terms", contractOf(System.entries()[0])["terms"]},
               {"changed_by", "test"}};
  Body["terms"]["weight"] = 77;
  BOOST_TEST(call(System.entries()[0].Port_, "PUT", "/v1/admin/contracts/tours",
                  Body.dump())
                 .Status_ == 200);
  std::this_thread::sleep_for(std::chrono::seconds(5));
  Paused.Process_.signal(SIGCONT);
  std::int64_t Head = configurationVersion(System.entries()[0]);
  BOOST_TEST(
      eventually([&] { return configurationVersion(Paused) >= Head; }, 14));
  BOOST_TEST(contractOf(Paused)["terms"]["weight"] == 77);
}

BOOST_AUTO_TEST_SUITE_END()
