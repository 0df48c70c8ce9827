#define BOOST_TEST_MODULE drain_system
#include "cluster.h"
#include "oracle.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <thread>

using namespace filbertspring::tests;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(a_graceful_shutdown)

BOOST_AUTO_TEST_CASE(cuts_off_no_request_in_flight) {
  ClusterOptions Options;
  Options.ServiceUs_ = 200000;
  Cluster System(Options);
  Node &Draining = System.entries()[0];
  constexpr int Callers = 8;
  std::atomic<bool> Stop{false};
  std::atomic<int> Completed{0};
  std::atomic<int> NotRun{0};
  std::atomic<int> Failed{0};
  std::vector<std::thread> Threads;
  Threads.reserve(Callers);
  for (int Caller = 0; Caller < Callers; ++Caller)
    Threads.emplace_back([&, Caller] {
      for (int Index = 0; !Stop; ++Index) {
        // Like a load balancer, sends requests only while the instance is
        // ready.
        if (call(Draining.Port_, "GET", "/readyz").Status_ != 200)
          return;
        Reply Answer =
            System.request(Draining, fmt::format("drain-{}-{}", Caller, Index));
        if (Answer.header("x-outcome") == "completed")
          ++Completed;
        else if (Answer.header("x-outcome") == "not-run")
          ++NotRun;
        else
          ++Failed;
      }
    });
  eventually([&] { return Completed > Callers; });
  Draining.Process_.signal(SIGTERM);
  std::optional<int> Exit = Draining.Process_.wait(60);
  Stop = true;
  for (std::thread &Each : Threads)
    Each.join();
  BOOST_TEST(Exit.value_or(-1) == 0);
  BOOST_TEST(Failed == 0);
  BOOST_TEST(Completed > Callers);
}

BOOST_AUTO_TEST_CASE(leaves_watches_open_for_other_instances) {
  Cluster System({});
  Node &Draining = System.entries()[0];
  json Body = {{"contract", "tours"},
               {"subject", "telescope-9"},
               {"idempotency_key", "night"},
               {"duration_ms", 36000000}};
  std::string Watch =
      call(Draining.Port_, "POST", "/v1/watches", Body.dump()).json()["watch"];
  std::string Path = "/v1/watches/" + Watch;
  Reply Waiting;
  std::thread Caller([&] {
    Waiting = call(Draining.Port_, "GET", Path + "?cursor=0&wait_ms=20000");
  });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  Draining.Process_.signal(SIGTERM);
  BOOST_TEST(Draining.Process_.wait(60).value_or(-1) == 0);
  Caller.join();
  BOOST_TEST(Waiting.Status_ == 200);
  BOOST_TEST(Waiting.json()["closed"] == false);
  std::uint16_t Other = System.entries()[1].Port_;
  BOOST_TEST(
      call(Other, "POST", Path + "/events", R"({"payload":"damp"})").Status_ ==
      200);
  json Events = call(Other, "GET", Path + "?cursor=0&wait_ms=5000").json();
  BOOST_TEST(Events["events"].size() == 1U);
}

BOOST_AUTO_TEST_CASE(hands_running_tasks_over) {
  Cluster System({});
  Node &Draining = System.entries()[0];
  std::string Job = System.submit(Draining, "over", 6, 8000).json()["job"];
  eventually([&] { return countTaskStates(Draining, Job)["claimed"] == 6; });
  Draining.Process_.signal(SIGTERM);
  BOOST_TEST(Draining.Process_.wait(60).value_or(-1) == 0);
  Node &Other = System.entries()[1];
  BOOST_TEST(eventually(
      [&] { return countTaskStates(Other, Job)["finished"] == 6; }, 120));
  BOOST_TEST(findOverlaps(taskRunIntervals(System)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_restart_of_all_entry_instances)

namespace {

/// Longer than a heartbeat may be overdue before its process counts as failed,
/// a read and two writes of the share ledger.
constexpr int MaxSecondsWithoutShare = 30;

void restartAll(Cluster &System) {
  for (Node &Entry : System.entries())
    System.restartEntry(Entry);
  for (const Node &Entry : System.entries())
    BOOST_TEST(eventually(
        [&] { return call(Entry.Port_, "GET", "/readyz").Status_ == 200; }));
}

bool serves(const Cluster &System, const Node &Entry) {
  return eventually(
      [&] {
        Reply Answer = System.request(Entry, "restarted-" + Entry.Name_);
        return Answer.header("x-outcome") == "completed";
      },
      MaxSecondsWithoutShare);
}

} // namespace

BOOST_AUTO_TEST_CASE(serves_requests_after_a_drain) {
  Cluster System({});
  for (Node &Entry : System.entries())
    Entry.Process_.signal(SIGTERM);
  for (Node &Entry : System.entries())
    BOOST_TEST(Entry.Process_.wait(60).value_or(-1) == 0);
  restartAll(System);
  for (const Node &Entry : System.entries())
    BOOST_TEST(serves(System, Entry));
}

BOOST_AUTO_TEST_CASE(serves_requests_after_a_loss_of_power) {
  Cluster System({});
  for (Node &Entry : System.entries())
    Entry.Process_.kill();
  restartAll(System);
  for (const Node &Entry : System.entries())
    BOOST_TEST(serves(System, Entry));
}

BOOST_AUTO_TEST_SUITE_END()
