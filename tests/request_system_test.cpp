#define BOOST_TEST_MODULE request_system
#include "cluster.h"
#include "oracle.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <fmt/format.h>
#include <mutex>
#include <set>
#include <thread>

using namespace filbertspring::tests;
using nlohmann::json;

namespace {

/// Outcomes that callers received, by request.
class CallerResults {
public:
  void add(const std::string &Id, const Reply &Answer) {
    std::scoped_lock Lock(Mutex_);
    std::string Outcome =
        Answer.Status_ == 0 ? "lost" : Answer.header("x-outcome");
    ByOutcome_[Outcome].insert(Id);
    if (Outcome != "completed")
      ++Reasons_[Outcome + " " + Answer.header("x-reason")];
    bool BodyMatches =
        Outcome != "completed" || Answer.Body_.find(Id) != std::string::npos;
    bool IdMatches = Answer.Status_ == 0 || Answer.header("x-request-id") == Id;
    if (!BodyMatches || !IdMatches)
      Mismatched_.insert(Id);
  }

  std::set<std::string> withOutcome(const std::string &Outcome) {
    std::scoped_lock Lock(Mutex_);
    return ByOutcome_[Outcome];
  }
  std::size_t mismatchedCount() const { return Mismatched_.size(); }
  /// Returns the reasons why requests did not complete, with counts, for
  /// messages of checks.
  std::string reasons() {
    std::scoped_lock Lock(Mutex_);
    std::string Text;
    for (const auto &[Reason, Count] : Reasons_)
      Text += fmt::format("{}: {}; ", Reason, Count);
    return Text;
  }

private:
  std::mutex Mutex_;
  std::map<std::string, std::set<std::string>> ByOutcome_;
  std::set<std::string> Mismatched_;
  std::map<std::string, int> Reasons_;
};

/// Sends \p Count requests withOutcome identifiers from \p Prefix on four
/// threads.
void sendMany(Cluster &System, const Node &Entry, const std::string &Prefix,
              int Count, bool Keyed, CallerResults &Answers) {
  constexpr int Callers = 4;
  std::atomic<int> Next{0};
  std::vector<std::thread> Threads;
  Threads.reserve(Callers);
  for (int Caller = 0; Caller < Callers; ++Caller)
    Threads.emplace_back([&] {
      for (int Index = Next++; Index < Count; Index = Next++) {
        std::string Id = fmt::format("{}-{}", Prefix, Index);
        Answers.add(Id, System.request(Entry, Id, Keyed ? Id : ""));
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
}

/// Returns the subset of \p Ids that ran.
std::set<std::string> executedRequests(Cluster &System,
                                       const std::set<std::string> &Ids) {
  std::map<std::string, int> Runs = runsByRequest(System);
  std::set<std::string> Ran;
  for (const std::string &Id : Ids)
    if (Runs.contains(Id))
      Ran.insert(Id);
  return Ran;
}

int maxRunsPerRequest(Cluster &System, const std::string &Prefix) {
  int MaxRuns = 0;
  for (const auto &[Id, Count] : runsByRequest(System))
    if (Id.starts_with(Prefix))
      MaxRuns = std::max(MaxRuns, Count);
  return MaxRuns;
}

void control(const Node &Executor, const json &Fault) {
  call(Executor.Port_, "POST", "/control", Fault.dump());
}

} // namespace

BOOST_AUTO_TEST_SUITE(callers)

BOOST_AUTO_TEST_CASE(receive_whole_answers_of_their_own_or_none) {
  Cluster System({});
  for (Node &Executor : System.executors())
    control(Executor, {{"truncate_next", 10}, {"foreign_next", 10}});
  CallerResults Answers;
  sendMany(System, System.entries()[0], "mixed", 200, false, Answers);
  BOOST_TEST(Answers.mismatchedCount() == 0U);
  BOOST_TEST(Answers.withOutcome("lost").empty());
  BOOST_TEST(executedRequests(System, Answers.withOutcome("not-run")).empty());
}

BOOST_AUTO_TEST_CASE(of_non_idempotent_requests_have_them_run_at_most_once) {
  Cluster System({});
  for (Node &Executor : System.executors())
    control(Executor, {{"truncate_next", 5}, {"foreign_next", 5}});
  CallerResults First;
  sendMany(System, System.entries()[0], "keyed", 60, true, First);
  CallerResults Second;
  sendMany(System, System.entries()[1], "keyed", 60, true, Second);
  BOOST_TEST(maxRunsPerRequest(System, "keyed") == 1);
  BOOST_TEST(First.mismatchedCount() == 0U);
  // A request with the outcome "unknown" may have run, so a repetition must not
  // be answered "not-run".
  for (const std::string &Id : First.withOutcome("unknown"))
    BOOST_TEST(!Second.withOutcome("not-run").contains(Id));
  for (const std::string &Id : First.withOutcome("completed"))
    BOOST_TEST(Second.withOutcome("completed").contains(Id));
}

BOOST_AUTO_TEST_CASE(of_a_killed_instance_repeat_through_another_safely) {
  Cluster System({});
  CallerResults First;
  std::thread Sender([&] {
    sendMany(System, System.entries()[0], "killed", 200, true, First);
  });
  eventually([&] { return First.withOutcome("completed").size() > 20; });
  System.entries()[0].Process_.kill();
  Sender.join();
  CallerResults Second;
  sendMany(System, System.entries()[1], "killed", 200, true, Second);
  BOOST_TEST(!First.withOutcome("lost").empty());
  BOOST_TEST(maxRunsPerRequest(System, "killed") == 1);
  BOOST_TEST(executedRequests(System, Second.withOutcome("not-run")).empty());
}

BOOST_AUTO_TEST_CASE(are_served_by_others_when_an_executor_hangs) {
  Cluster System({});
  control(System.executors()[0], {{"hang", true}});
  CallerResults Answers;
  sendMany(System, System.entries()[0], "hang", 100, false, Answers);
  BOOST_TEST(Answers.withOutcome("completed").size() == 100U,
             Answers.reasons());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(connections)

BOOST_AUTO_TEST_CASE(that_go_silent_do_not_block_requests_indefinitely) {
  Cluster System({{"bodrum"}, 1, 2, 1, 3000, ""});
  Node &Executor = System.executors()[0];
  std::uint16_t Port = freePort();
  std::uint16_t Control = freePort();
  Process Relay("standin-relay",
                {"--listen", std::to_string(Port), "--to",
                 fmt::format("127.0.0.1:{}", Executor.Port_), "--control",
                 std::to_string(Control)},
                "/dev/null");
  json Listed = {{"name", Executor.Name_},
                 {"role", "executor"},
                 {"state", "live"},
                 {"zone", "bodrum"},
                 {"service", "check"},
                 {"slots", 8},
                 {"http", fmt::format("127.0.0.1:{}", Port)}};
  eventually([&] {
    return call(Control, "POST", "/control", R"({"mode":"pass"})").Status_ != 0;
  });
  BOOST_TEST(
      call(System.platform(), "POST", "/instances", Listed.dump()).Status_ ==
      200);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  CallerResults Before;
  sendMany(System, System.entries()[0], "pass", 50, false, Before);
  BOOST_TEST(Before.withOutcome("completed").size() == 50U, Before.reasons());
  BOOST_TEST(
      call(Control, "POST", "/control", R"({"mode":"silent"})").Status_ == 200);
  CallerResults After;
  sendMany(System, System.entries()[0], "silent", 100, false, After);
  BOOST_TEST(After.withOutcome("completed").size() == 100U, After.reasons());
  CallerResults Keyed;
  sendMany(System, System.entries()[0], "silent-keyed", 50, true, Keyed);
  BOOST_TEST(maxRunsPerRequest(System, "silent-keyed") == 1);
  BOOST_TEST(Keyed.withOutcome("completed").size() == 50U, Keyed.reasons());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_list_of_instances)

BOOST_AUTO_TEST_CASE(is_ignored_when_it_is_empty) {
  Cluster System({});
  // The list is now older than the first registration.
  System.setFaults({{"list_lag_ms", 600000}});
  std::this_thread::sleep_for(std::chrono::seconds(3));
  CallerResults Answers;
  sendMany(System, System.entries()[0], "unlisted", 50, false, Answers);
  BOOST_TEST(Answers.withOutcome("completed").size() == 50U, Answers.reasons());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(endpoints_that_leave)

BOOST_AUTO_TEST_CASE(receive_no_new_work_although_the_list_lags) {
  Cluster System({});
  // Every registration must be older than the list lag set below.
  std::this_thread::sleep_for(std::chrono::seconds(6));
  System.setFaults({{"list_lag_ms", 5000}});
  Node &Leaving = System.executors()[0];
  BOOST_TEST(call(Leaving.Port_, "POST", "/leave", "{}").Status_ == 200);
  CallerResults Notice;
  sendMany(System, System.entries()[0], "notice", 60, false, Notice);
  BOOST_TEST(Notice.withOutcome("completed").size() == 60U, Notice.reasons());
  auto StatsOf = [&Leaving] {
    return call(Leaving.Port_, "GET", "/stats").Body_;
  };
  std::this_thread::sleep_for(std::chrono::seconds(3));
  std::string Before = StatsOf();
  CallerResults After;
  for (Node &Entry : System.entries())
    sendMany(System, Entry, "after-" + Entry.Name_, 100, false, After);
  BOOST_TEST(After.withOutcome("completed").size() == 200U, After.reasons());
  BOOST_TEST(StatsOf() == Before);
}

BOOST_AUTO_TEST_SUITE_END()
