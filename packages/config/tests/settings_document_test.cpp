#include "filbertspring/config/settings_document.h"

#include "finding_lines.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace std::chrono_literals;

namespace {

/// Returns valid settings with \p More members appended.
std::string settingsWith(const std::string &More) {
  return R"({"instance": "bodrum-1", "zone": "bodrum",
    "zones": [{"name": "bodrum", "region": "aegean"}],
    "listen": {"http": "127.0.0.1:18101", "peer": "[::1]:18201"},
    "platform": {"address": "127.0.0.1:18000"})" +
         More + "}";
}

std::vector<std::string> findingsWith(const std::string &More) {
  return findingLines(parseSettings(settingsWith(More)).Findings_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_SUITE(without_errors)

BOOST_AUTO_TEST_CASE(absent_fields_have_their_defaults) {
  ParsedSettings Parsed = parseSettings(settingsWith(""));
  BOOST_REQUIRE_MESSAGE(Parsed.Settings_, Parsed.Findings_.toText("settings"));
  const Settings &Values = *Parsed.Settings_;
  BOOST_TEST(Values.Listen_.Http_.toString() == "127.0.0.1:18101");
  BOOST_TEST(Values.Listen_.Peer_.Host_ == "::1");
  BOOST_TEST(Values.Listen_.MaxConnections_ == 320);
  BOOST_CHECK(Values.Platform_.Timeout_ == 800ms);
  BOOST_CHECK(Values.ZonesOut_.StartBound_ == 3s);
  BOOST_CHECK(Values.Batch_.Interference_ == Toggle::On);
}

BOOST_AUTO_TEST_CASE(given_fields_replace_the_defaults) {
  ParsedSettings Parsed = parseSettings(settingsWith(R"(,
    "leases": {"worker_lease": "20s", "renew_every": "3s",
               "cut_off_grace": "2min", "heartbeat_every": "1s",
               "instance_lapse": "15s", "clock_drift": 0.002,
               "margin": "700ms"},
    "requests": {"queue_limit": 50, "retry_budget": 0.2,
                 "idle_reuse": "3s"},
    "shares": {"lapse": "60s", "rebalance_every": "2s"},
    "configuration": {"poll_every": "500ms"},
    "batch": {"interference": "off"}, "drain": {"limit": "5s"})"));
  BOOST_REQUIRE_MESSAGE(Parsed.Settings_, Parsed.Findings_.toText("settings"));
  const Settings &Values = *Parsed.Settings_;
  BOOST_CHECK(Values.Leases_.WorkerLease_ == 20s);
  BOOST_CHECK(Values.Leases_.RenewInterval_ == 3s);
  BOOST_CHECK(Values.Leases_.CutOffGrace_ == 2min);
  BOOST_CHECK(Values.Leases_.HeartbeatInterval_ == 1s);
  BOOST_CHECK(Values.Leases_.InstanceLapse_ == 15s);
  BOOST_TEST(Values.Leases_.ClockDrift_ == 0.002);
  BOOST_CHECK(Values.Leases_.Margin_ == 700ms);
  BOOST_TEST(Values.Requests_.QueueLimit_ == 50);
  BOOST_TEST(Values.Requests_.RetryBudget_ == 0.2);
  BOOST_CHECK(Values.Requests_.IdleReuse_ == 3s);
  BOOST_CHECK(Values.Shares_.Lapse_ == 60s);
  BOOST_CHECK(Values.Shares_.RebalanceInterval_ == 2s);
  BOOST_CHECK(Values.Configuration_.PollInterval_ == 500ms);
  BOOST_CHECK(Values.Batch_.Interference_ == Toggle::Off);
  BOOST_CHECK(Values.Drain_.Limit_ == 5s);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_errors)

BOOST_AUTO_TEST_CASE(report_everything_that_is_missing) {
  const std::vector<std::string> Expected = {
      "/instance: is missing", "/zone: is missing", "/zones: is missing",
      "/listen: is missing", "/platform: is missing"};
  BOOST_TEST(findingLines(parseSettings("{}").Findings_) == Expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(report_wrong_types_units_and_ranges_together) {
  const std::vector<std::string> Expected = {
      "/leases/worker_lease: 12 has no unit",
      "/leases/renew_every: \"2\" has no unit",
      "/leases/clock_drift: 3 is out of range",
      "/leases/margin: \"1d\" has an unknown unit",
      "/requests/queue_limit: is not a whole number",
      "/shares: is not an object",
      "/batch/interference: \"maybe\" is not known",
      "/drain/limit: \"1us\" is out of range"};
  std::vector<std::string> Found = findingsWith(R"(,
    "leases": {"worker_lease": 12, "renew_every": "2", "margin": "1d",
               "clock_drift": 3},
    "requests": {"queue_limit": "100"},
    "shares": 7, "batch": {"interference": "maybe"},
    "drain": {"limit": "1us"})");
  BOOST_TEST(Found == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(report_violated_relations) {
  const std::vector<std::string> Expected = {
      "/leases/renew_every: renewals are too rare for the lease",
      "/leases/heartbeat_every: heartbeats are too rare for the lapse",
      "/leases/margin: margin is not shorter than the lease",
      "/leases/cut_off_grace: grace is shorter than the lease",
      "/platform/timeout: one call may delay the next heartbeat",
      "/zones_out/start_bound: zone states cannot be known in time",
      "/shares/lapse: a share lapses before its instance does",
      "/shares/rebalance_every: shares are renewed too rarely for the lapse"};
  std::string Text = R"({"instance": "bodrum-1", "zone": "bodrum",
    "zones": [{"name": "bodrum", "region": "aegean"}],
    "listen": {"http": "127.0.0.1:18101", "peer": "127.0.0.1:18201"},
    "platform": {"address": "127.0.0.1:18000", "timeout": "8s"},
    "leases": {"worker_lease": "8s", "renew_every": "4s", "margin": "8s",
               "cut_off_grace": "7s", "heartbeat_every": "5s",
               "instance_lapse": "12s"},
    "shares": {"lapse": "2s", "rebalance_every": "1s"}})";
  BOOST_TEST(findingLines(parseSettings(Text).Findings_) == Expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(do_not_report_relations_of_unread_fields) {
  const std::vector<std::string> Expected = {
      "/leases/worker_lease: 1 has no unit"};
  BOOST_TEST(findingsWith(R"(, "leases": {"worker_lease": 1,
    "renew_every": "20s"})") == Expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(accept_numeric_ip_addresses_only) {
  for (const char *Text :
       {"localhost:1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.1:80",
        "127.0.0.1:65536", "::1:80", "[127.0.0.1]:80", "127.0.0.1:80x",
        ":80"}) {
    std::string Document = settingsWith("");
    const std::string Good = "127.0.0.1:18000";
    Document.replace(Document.find(Good), Good.size(), Text);
    const std::vector<std::string> Expected = {
        "/platform/address: \"" + std::string(Text) + "\" is not an address"};
    BOOST_TEST(findingLines(parseSettings(Document).Findings_) == Expected,
               boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
