/// \file
/// Tests of calls with keys of workspaces: what they get, and what they leave
/// in the store.

#include "callers.h"
#include "cell_directory.h"
#include "filbertspring/scheduling/progress_codec.h"
#include "platform/caller_codec.h"
#include "rows.h"
#include "store_client.h"
#include "store_standin.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;
using platform::test::StoreMode;
using scheduling::JobState;

constexpr std::uint16_t KeysStorePort = 17461;
constexpr const char *KeysStoreAddress = "127.0.0.1:17461";
const std::string Job = "0123456789abcdef";

scheduling::Queue makeQueue(const char *Name, bool IsPublic) {
  scheduling::Queue Made;
  Made.Name_ = Name;
  Made.Host_ = "host";
  Made.PathPrefix_ = std::string("/") + Name + "/";
  Made.Service_ = "service";
  Made.IsPublic_ = IsPublic;
  return Made;
}

/// Returns a configuration with a queue that requires keys, a public one, and
/// two workspaces.
std::shared_ptr<scheduling::QueueTable> makeKeyedTable() {
  auto Table = std::make_shared<scheduling::QueueTable>();
  Table->Queues_ = {makeQueue("batch", false), makeQueue("open", true)};
  scheduling::Workspace First;
  First.Name_ = "a";
  First.Keys_ = {"a1", "a2"};
  scheduling::Workspace Second;
  Second.Name_ = "b";
  Second.Keys_ = {"b1"};
  Table->Workspaces_ = {First, Second};
  return Table;
}

/// An instance in a deployment with workspaces, and its store.
struct KeyedInstance {
  KeyedInstance()
      : Store_(Loop_, KeysStoreAddress, Counters_),
        Cell_(Loop_, Store_, {}, "nonce"),
        Requests_(Loop_, Store_, Cell_, Counters_,
                  [](const scheduling::Row &) {}) {
    StoreServer_.listen(KeysStorePort);
    StoreServer_.start();
    configure(makeKeyedTable());
  }

  void configure(std::shared_ptr<const scheduling::QueueTable> Table) {
    Requests_.configure(std::move(Table));
    Requests_.confirmConfiguration(SchedulerClock::now());
  }

  static HttpRequest makeRequest(const char *Method, const std::string &Path,
                                 const char *Key) {
    HttpRequest Request;
    Request.Method_ = Method;
    Request.Path_ = Path;
    Request.Headers_ = {{"Host", "host"}};
    if (Key)
      Request.Headers_.push_back({std::string(platform::KeyHeader), Key});
    Request.Body_ = R"({"Spec":"","Steps":[{"Count":1,"Cpu":500}]})";
    return Request;
  }

  HttpAnswer call(const char *Method, const std::string &Path,
                  const char *Key) {
    std::optional<HttpAnswer> Received;
    Requests_.handle(makeRequest(Method, Path, Key), [&](HttpAnswer Answer) {
      Received = std::move(Answer);
      Loop_.stop();
    });
    if (!Received)
      Loop_.run();
    Loop_.context().restart();
    return *Received;
  }

  int submit(const char *Key, const char *Queue = "/batch/") {
    return call("POST", Queue + Job, Key).Status_;
  }
  int cancel(const char *Key, const char *Queue = "/batch/") {
    return call("DELETE", Queue + Job, Key).Status_;
  }
  int query(const char *Key, const char *Queue = "/batch/") {
    return call("GET", Queue + Job, Key).Status_;
  }

  bool isStored(const scheduling::RowKey &Key) const {
    return !StoreServer_.get(Key.Table_, Key.Partition_, Key.Key_).empty();
  }
  void put(const scheduling::RowKey &Key, const std::string &Value) {
    StoreServer_.put(Key.Table_, Key.Partition_, Key.Key_, Value);
  }
  /// Returns the workspace that the stored job belongs to.
  std::string storedOwner() const {
    scheduling::RowKey Key = jobKey(Job);
    auto Accepted = decodeAcceptance(
        Job, StoreServer_.get(Key.Table_, Key.Partition_, Key.Key_));
    return Accepted ? Accepted->Workspace_ : "unreadable";
  }
  /// Stores that the job has ended.
  void finishJob() {
    scheduling::JobProgress Progress;
    Progress.State_ = JobState::Completed;
    put(progressKey(Job), scheduling::encodeProgress(Progress));
  }

  platform::test::StoreStandin StoreServer_;
  EventLoop Loop_;
  CounterRegistry Counters_;
  StoreClient Store_;
  CellDirectory Cell_;
  CallerRequestHandler Requests_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_call_in_a_deployment_with_workspaces)

BOOST_FIXTURE_TEST_CASE(without_a_valid_key_stores_nothing, KeyedInstance) {
  for (const char *Key : {static_cast<const char *>(nullptr), "", "x", "a11"}) {
    BOOST_TEST(submit(Key) == 401);
    BOOST_TEST(cancel(Key) == 401);
    BOOST_TEST(query(Key) == 401);
    BOOST_TEST(call("GET", "/batch/", Key).Status_ == 401);
  }
  BOOST_TEST(StoreServer_.count(JobTable) == 0U);
  BOOST_TEST(call("GET", "/batch/", "x").header("WWW-Authenticate") ==
             platform::KeyChallenge);
}

BOOST_FIXTURE_TEST_CASE(with_a_key_is_served, KeyedInstance) {
  BOOST_TEST(submit("a1") == 200);
  BOOST_TEST(storedOwner() == "a");
  BOOST_TEST(query("a1") == 200);
  BOOST_TEST(cancel("a1") == 200);
  // The cell has no owner that counts; the key is no obstacle.
  BOOST_TEST(call("GET", "/batch/", "a1").Status_ == 503);
}

// A refusal before the body must be the same as one after it.
BOOST_FIXTURE_TEST_CASE(is_refused_by_its_head_alone, KeyedInstance) {
  const char *None = nullptr;
  auto Refusal = [&](const char *Method, const std::string &Path,
                     const char *Key) {
    auto Answer = Requests_.refuseEarly(makeRequest(Method, Path, Key));
    return Answer ? Answer->Status_ : 0;
  };
  BOOST_TEST(Refusal("POST", "/batch/" + Job, None) == 401);
  BOOST_TEST(Refusal("POST", "/batch/" + Job, "a1") == 0);
  BOOST_TEST(Refusal("POST", "/open/" + Job, None) == 0);
  BOOST_TEST(Refusal("GET", "/batch/", "a1") == 0);
  BOOST_TEST(Refusal("GET", "/elsewhere/", "a1") == 404);
  BOOST_TEST(Refusal("POST", "/batch/x", "a1") == 404);
  BOOST_TEST(Refusal("POST", "/batch/", "a1") == 404);
  BOOST_TEST(Refusal("PUT", "/batch/" + Job, "a1") == 405);
}

BOOST_FIXTURE_TEST_CASE(is_unavailable_before_the_configuration,
                        KeyedInstance) {
  CallerRequestHandler Starting(Loop_, Store_, Cell_, Counters_,
                                [](const scheduling::Row &) {});
  auto Refusal =
      Starting.refuseEarly(makeRequest("POST", "/batch/" + Job, "a1"));
  BOOST_REQUIRE(Refusal.has_value());
  BOOST_TEST(Refusal->Status_ == 503);
}

BOOST_FIXTURE_TEST_CASE(to_a_public_queue_needs_no_key, KeyedInstance) {
  BOOST_TEST(submit("b1", "/open/") == 200);
  BOOST_TEST(storedOwner() == "");
  BOOST_TEST(submit(nullptr, "/open/") == 200);
  BOOST_TEST(query(nullptr, "/open/") == 200);
}

BOOST_FIXTURE_TEST_CASE(is_decided_by_the_newest_keys, KeyedInstance) {
  auto Newer = makeKeyedTable();
  Newer->Workspaces_[0].Keys_ = {"a2", "a3"};
  configure(Newer);
  BOOST_TEST(submit("a1") == 401);
  BOOST_TEST(submit("a3") == 200);
}

// Neither a removed key may succeed nor an added one get 401.
BOOST_FIXTURE_TEST_CASE(is_unavailable_if_the_keys_may_have_changed,
                        KeyedInstance) {
  Requests_.confirmConfiguration(SchedulerClock::now() - 3s);
  for (const char *Key : {"a1", "a3"}) {
    BOOST_TEST(submit(Key) == 503);
    BOOST_TEST(query(Key) == 503);
  }
  BOOST_TEST(submit(nullptr, "/open/") == 200);
  Requests_.confirmConfiguration(SchedulerClock::now());
  BOOST_TEST(query("a1") == 200);
}

BOOST_FIXTURE_TEST_CASE(that_is_refused_is_counted_by_reason, KeyedInstance) {
  submit(nullptr);
  submit("gkcuyj8pjbvk9m68k7b2");
  submit("gkcuyj8pjbvk9m68k7b2");
  std::string Metrics = Counters_.toPrometheusText();
  BOOST_TEST(Metrics.find("caller_key_refusals_total{reason=\"missing\"} 1") !=
             std::string::npos);
  BOOST_TEST(Metrics.find("caller_key_refusals_total{reason=\"unknown\"} 2") !=
             std::string::npos);
  BOOST_TEST(Metrics.find("gkcuyj") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_job_of_a_workspace)

BOOST_FIXTURE_TEST_CASE(is_the_same_for_all_its_keys, KeyedInstance) {
  BOOST_TEST(submit("a1") == 200);
  BOOST_TEST(submit("a2") == 200);
  BOOST_TEST(StoreServer_.count(JobTable) == 1U);
  BOOST_TEST(query("a2") == 200);
  BOOST_TEST(cancel("a2") == 200);
}

BOOST_FIXTURE_TEST_CASE(does_not_exist_for_others, KeyedInstance) {
  BOOST_TEST(submit("a1") == 200);
  for (bool IsFinished : {false, true}) {
    if (IsFinished)
      finishJob();
    // The second time, the instance may have the final state in its cache.
    for (int Times = 0; Times < 2; ++Times) {
      BOOST_TEST(query("b1") == 410);
      BOOST_TEST(query(nullptr, "/open/") == 410);
      BOOST_TEST(query("a1") == 200);
    }
  }
  BOOST_TEST(call("GET", "/batch/" + Job, "b1").Body_.empty());
}

BOOST_FIXTURE_TEST_CASE(is_not_changed_by_others, KeyedInstance) {
  BOOST_TEST(submit("a1") == 200);
  BOOST_TEST(cancel("b1") == 410);
  BOOST_TEST(cancel(nullptr, "/open/") == 410);
  BOOST_TEST(!isStored(cancellationKey(Job)));
  BOOST_TEST(submit("b1") == 410);
  BOOST_TEST(submit(nullptr, "/open/") == 410);
  BOOST_TEST(storedOwner() == "a");
}

// A call whose first attempt came before the deployment had workspaces.
BOOST_FIXTURE_TEST_CASE(differs_from_one_of_an_earlier_version, KeyedInstance) {
  put(jobKey(Job), R"({"queue":"batch","service":"service","accepted_ms":1,)"
                   R"("body":"{\"Steps\":[{\"Count\":1}]}"})");
  BOOST_TEST(submit("b1") == 200);
  BOOST_TEST(query("a1") == 200);
  BOOST_TEST(cancel("a1") == 200);
  BOOST_TEST(isStored(cancellationKey(Job)));
}

BOOST_FIXTURE_TEST_CASE(is_open_to_all_once_no_keys_are_required,
                        KeyedInstance) {
  BOOST_TEST(submit("a1") == 200);
  auto Newer = makeKeyedTable();
  Newer->Workspaces_.clear();
  configure(Newer);
  BOOST_TEST(query(nullptr) == 200);
  BOOST_TEST(cancel(nullptr) == 200);
  BOOST_TEST(isStored(cancellationKey(Job)));
}

// The state was cached for a caller whose workspace did not matter.
BOOST_FIXTURE_TEST_CASE(stays_hidden_if_keys_are_required_later,
                        KeyedInstance) {
  BOOST_TEST(submit("a1") == 200);
  finishJob();
  auto Open = makeKeyedTable();
  Open->Workspaces_.clear();
  configure(Open);
  BOOST_TEST(query(nullptr) == 200);
  configure(makeKeyedTable());
  BOOST_TEST(query("b1") == 410);
  BOOST_TEST(query("a1") == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_cancellation_by_a_workspace_without_the_job)

// The promise of the answer 410.
BOOST_FIXTURE_TEST_CASE(binds_its_own_later_submissions, KeyedInstance) {
  BOOST_TEST(cancel("a1") == 410);
  BOOST_TEST(submit("a2") == 410);
  BOOST_TEST(!isStored(jobKey(Job)));
}

// Any workspace could keep the others from working.
BOOST_FIXTURE_TEST_CASE(binds_no_submission_by_another, KeyedInstance) {
  BOOST_TEST(cancel("a1") == 410);
  BOOST_TEST(cancel(nullptr, "/open/") == 410);
  BOOST_TEST(submit("b1") == 200);
  BOOST_TEST(storedOwner() == "b");
  BOOST_TEST(query("b1") == 200);
  BOOST_TEST(!isStored(cancellationKey(Job)));
}

// The other's job may be removed while a submission is still on its way.
BOOST_FIXTURE_TEST_CASE(binds_its_own_also_after_the_job_of_another,
                        KeyedInstance) {
  BOOST_TEST(submit("b1") == 200);
  BOOST_TEST(cancel("a1") == 410);
  BOOST_TEST(isStored(cancellationKeyWithin("a", Job)));
}

BOOST_FIXTURE_TEST_CASE(binds_public_submissions_if_it_is_public,
                        KeyedInstance) {
  BOOST_TEST(cancel(nullptr, "/open/") == 410);
  BOOST_TEST(submit(nullptr, "/open/") == 410);
}

// A promise that was made before the deployment had workspaces.
BOOST_FIXTURE_TEST_CASE(is_joined_by_those_without_workspaces, KeyedInstance) {
  put(cancellationKey(Job), "{}");
  BOOST_TEST(submit("a1") == 410);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
