#define BOOST_TEST_MODULE job_system
#include "cluster.h"
#include "oracle.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <fmt/format.h>
#include <thread>

using namespace filbertspring::tests;
using nlohmann::json;

namespace {

/// Short leases, so that recovery takes seconds.
const char *const ShortLeases = R"({"leases": {
  "worker_lease": "3s", "renew_every": "500ms", "cut_off_grace": "3s",
  "heartbeat_every": "1s", "instance_lapse": "3s"}})";

ClusterOptions shortLeases() {
  ClusterOptions Options;
  Options.EntriesPerZone_ = 2;
  Options.ExtraSettings_ = ShortLeases;
  return Options;
}

std::string submitUntilAccepted(Cluster &System, const Node &Entry,
                                const std::string &Key, int Tasks,
                                int RunTimeMs) {
  std::string Job;
  eventually([&] {
    Reply Answer = System.submit(Entry, Key, Tasks, RunTimeMs);
    if (Answer.Status_ != 200 && Answer.Status_ != 201)
      return false;
    Job = Answer.json()["job"];
    return true;
  });
  return Job;
}

bool allFinish(const Node &Entry, const std::string &Job, int Tasks,
               int Seconds = 120) {
  return eventually(
      [&] { return countTaskStates(Entry, Job)["finished"] == Tasks; },
      Seconds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(tasks)

BOOST_AUTO_TEST_CASE(finish_once_when_each_instance_is_killed_in_turn) {
  Cluster System(shortLeases());
  std::string Job =
      submitUntilAccepted(System, System.entries()[0], "kills", 24, 2500);
  for (int EntryIndex = 0; EntryIndex < 3; ++EntryIndex) {
    std::this_thread::sleep_for(std::chrono::seconds(2));
    System.entries()[EntryIndex].Process_.kill();
  }
  BOOST_TEST(allFinish(System.entries()[3], Job, 24));
  BOOST_TEST(findOverlaps(taskRunIntervals(System)).empty());
}

BOOST_AUTO_TEST_CASE(do_not_run_twice_when_their_scheduler_is_paused) {
  Cluster System(shortLeases());
  std::string Job =
      submitUntilAccepted(System, System.entries()[3], "pauses", 24, 3000);
  for (int Round = 0; Round < 2; ++Round) {
    Process &Paused = System.entries()[Round].Process_;
    Paused.signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds(9));
    Paused.signal(SIGCONT);
  }
  BOOST_TEST(allFinish(System.entries()[3], Job, 24));
  BOOST_TEST(findOverlaps(taskRunIntervals(System)).empty());
}

BOOST_AUTO_TEST_CASE(of_a_worker_that_restarted_run_again) {
  Cluster System(shortLeases());
  std::string Job =
      submitUntilAccepted(System, System.entries()[0], "restarts", 16, 3000);
  eventually([&] { return !taskRunIntervals(System).empty(); });
  for (Node &Worker : System.workers())
    call(Worker.Port_, "POST", "/control", R"({"restart":true})");
  BOOST_TEST(allFinish(System.entries()[0], Job, 16));
  BOOST_TEST(findOverlaps(taskRunIntervals(System)).empty());
}

BOOST_AUTO_TEST_CASE(of_a_paused_worker_run_nowhere_else_meanwhile) {
  Cluster System(shortLeases());
  std::string Job =
      submitUntilAccepted(System, System.entries()[0], "mute", 12, 3000);
  eventually([&] { return !taskRunIntervals(System).empty(); });
  call(System.workers()[0].Port_, "POST", "/control", R"({"pause_ms":8000})");
  BOOST_TEST(allFinish(System.entries()[0], Job, 12));
  BOOST_TEST(findOverlaps(taskRunIntervals(System)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(accepted_jobs)

BOOST_AUTO_TEST_CASE(survive_lost_answers_of_the_table) {
  Cluster System(shortLeases());
  std::vector<std::string> Jobs;
  for (int Index = 0; Index < 6; ++Index) {
    System.setFaults({{"lose_answers", 3}});
    Jobs.push_back(submitUntilAccepted(System, System.entries()[Index % 2],
                                       fmt::format("lost-{}", Index), 2, 500));
  }
  for (const std::string &Job : Jobs)
    BOOST_TEST(allFinish(System.entries()[0], Job, 2));
  BOOST_TEST(findOverlaps(taskRunIntervals(System)).empty());
}

BOOST_AUTO_TEST_CASE(survive_the_loss_of_all_instances) {
  Cluster System(shortLeases());
  std::string Job =
      submitUntilAccepted(System, System.entries()[0], "all", 8, 4000);
  for (Node &Entry : System.entries())
    Entry.Process_.kill();
  Node &NewEntry = System.addEntry("bodrum");
  BOOST_TEST(allFinish(NewEntry, Job, 8));
  BOOST_TEST(findOverlaps(taskRunIntervals(System)).empty());
}

BOOST_AUTO_TEST_CASE(that_can_never_run_are_reported_as_impossible) {
  Cluster System({});
  json Body = {
      {"contract", "tours"},
      {"kind", "filing"},
      {"idempotency_key", "giant"},
      {"tasks", 1},
      {"run_time_ms", 100},
      {"size",
       {{"cpu_millicores", 64000}, {"memory_mib", 1}, {"accelerators", 0}}}};
  const Node &Entry = System.entries()[0];
  Reply Answer = call(Entry.Port_, "POST", "/v1/jobs", Body.dump());
  BOOST_TEST(Answer.Status_ == 201);
  std::string Job = Answer.json()["job"];
  BOOST_TEST(eventually(
      [&] { return countTaskStates(Entry, Job)["impossible"] == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
