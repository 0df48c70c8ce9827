/// \file
/// Checks the answers to callers in histories of submissions and cancellations
/// at two instances, with faults of the store: refused calls, lost answers,
/// calls relayed by the other instance, and transactions carried out late.

#include "callers.h"
#include "cell_directory.h"
#include "filbertspring/transport/async_http_server.h"
#include "platform/caller_codec.h"
#include "rows.h"
#include "store_client.h"
#include "store_relay.h"
#include "store_standin.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <map>
#include <random>
#include <vector>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;
using platform::test::StoreMode;

constexpr std::uint16_t StorePorts[] = {17431, 17432};
constexpr std::uint16_t PeerPorts[] = {17433, 17434};
constexpr Duration HistoryTime = 3s;

std::string loopback(std::uint16_t Port) {
  return fmt::format("127.0.0.1:{}", Port);
}

/// An instance that serves callers, its access to the store, and its listener
/// for store calls of the other instance.
struct ServingInstance {
  ServingInstance(EventLoop &Loop, std::uint16_t StorePort,
                  std::uint16_t PeerPort)
      : Store_(Loop, loopback(StorePort), Counters_),
        Cell_(Loop, Store_, {}, "nonce"),
        Requests_(Loop, Store_, Cell_, Counters_,
                  [](const scheduling::Row &) {}),
        Peers_(Loop, {},
               [this](const HttpRequest &Request, HttpResponder Respond) {
                 Store_.serveRelayedCall(Request, std::move(Respond));
               }) {
    BOOST_REQUIRE(Peers_.listen(loopback(PeerPort)).has_value());
    auto Queues = std::make_shared<scheduling::QueueTable>();
    scheduling::Queue Batch;
    Batch.Name_ = "batch";
    Batch.Host_ = "host";
    Batch.PathPrefix_ = "/batch/";
    Batch.Service_ = "service";
    Queues->Queues_ = {Batch};
    Requests_.configure(Queues);
  }

  CounterRegistry Counters_;
  StoreClient Store_;
  CellDirectory Cell_;
  CallerRequestHandler Requests_;
  AsyncHttpServer Peers_;
};

/// What callers were told about one job.
struct JobAnswers {
  bool IsAccepted_ = false;
  bool IsCancelled_ = false;
  /// Attempts whose outcome the caller does not know.
  int OpenSubmissions_ = 0;
  int Submissions_ = 0;
};

/// Two instances on one event loop, and a store that fails for each of them as
/// a test chooses.
struct TwoServingInstances {
  TwoServingInstances() {
    for (std::uint16_t Port : StorePorts)
      Store_.listen(Port);
    Store_.start();
    for (std::size_t Number = 0; Number < 2; ++Number)
      Instances_.push_back(std::make_unique<ServingInstance>(
          Loop_, StorePorts[Number], PeerPorts[Number]));
  }

  void relayStoreCalls() {
    for (std::size_t Number = 0; Number < 2; ++Number)
      Instances_[Number]->Store_.setRelays({loopback(PeerPorts[1 - Number])});
  }

  void send(std::size_t Instance, const char *Method, const std::string &Job,
            Duration Timeout, const std::function<void(int)> &Answered) {
    HttpRequest Request;
    Request.Method_ = Method;
    Request.Path_ = "/batch/" + Job;
    Request.Headers_ = {
        {"Host", "host"},
        {std::string(platform::DeadlineHeader), std::to_string(Timeout / 1ms)}};
    Request.Body_ = R"({"Spec":"","Steps":[{"Count":1,"Cpu":500}]})";
    Instances_[Instance]->Requests_.handle(
        std::move(Request),
        [Answered](const HttpAnswer &Answer) { Answered(Answer.Status_); });
  }

  bool isStored(const scheduling::RowKey &Key) const {
    return !Store_.get(Key.Table_, Key.Partition_, Key.Key_).empty();
  }

  EventLoop Loop_;
  platform::test::StoreStandin Store_;
  std::vector<std::unique_ptr<ServingInstance>> Instances_;
};

struct CallerHistory : TwoServingInstances {
  CallerHistory() { relayStoreCalls(); }

  Duration draw(Duration Limit) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, Limit.count())(Random_));
  }

  void sendToAny(const char *Method, const std::string &Job,
                 const std::function<void(int)> &Answered) {
    send(Random_() % Instances_.size(), Method, Job, 500ms, Answered);
  }

  void submit(const std::string &Job) {
    JobAnswers &Told = Jobs_[Job];
    ++Told.Submissions_;
    ++Told.OpenSubmissions_;
    sendToAny("POST", Job, [&Told](int Status) {
      Told.IsAccepted_ |= Status == 200;
      bool IsRejected = Status == 410 || Status == 503 || Status == 400;
      Told.OpenSubmissions_ -= IsRejected ? 1 : 0;
    });
  }

  void cancel(const std::string &Job) {
    JobAnswers &Told = Jobs_[Job];
    sendToAny("DELETE", Job, [&Told](int Status) {
      Told.IsCancelled_ |= Status == 200 || Status == 410;
    });
  }

  /// Lets the store fail in a random way for a random time.
  void disturbStore() {
    constexpr StoreMode Modes[] = {StoreMode::Serving, StoreMode::Refusing,
                                   StoreMode::Silent, StoreMode::LosingCommits,
                                   StoreMode::HoldingCommits};
    Store_.setMode(StorePorts[Random_() % 2], Modes[Random_() % 5]);
    if (Random_() % 2 == 0)
      Store_.carryOutHeld();
    Loop_.after(draw(300ms), [this] {
      if (!IsCalm_)
        disturbStore();
    });
  }

  void play(std::size_t Jobs) {
    for (std::size_t Number = 0; Number < Jobs; ++Number) {
      std::string Job = fmt::format("{:016x}", Number + 1);
      Jobs_[Job];
      for (std::size_t Times = 1 + Random_() % 2; Times > 0; --Times)
        Loop_.after(draw(HistoryTime), [this, Job] { submit(Job); });
      for (std::size_t Times = Random_() % 3; Times > 0; --Times)
        Loop_.after(draw(HistoryTime), [this, Job] { cancel(Job); });
    }
    disturbStore();
    Loop_.after(HistoryTime, [this] {
      IsCalm_ = true;
      for (std::uint16_t Port : StorePorts)
        Store_.setMode(Port, StoreMode::Serving);
    });
    Loop_.after(HistoryTime + 1000ms, [this] { Store_.carryOutHeld(); });
    Loop_.after(HistoryTime + 1500ms, [this] { Loop_.stop(); });
    Loop_.run();
  }

  std::mt19937 Random_{20261206};
  std::map<std::string, JobAnswers> Jobs_;
  bool IsCalm_ = false;
};

/// One job, submitted at the first instance and cancelled, while a test decides
/// when the store carries out the transactions.
struct OneJob : TwoServingInstances {
  static constexpr const char *Job = "00000000000000a1";

  /// Sends a request and returns a place for the status of its answer.
  std::shared_ptr<int> open(std::size_t Instance, const char *Method,
                            Duration Timeout = 3s) {
    auto Status = std::make_shared<int>(0);
    send(Instance, Method, Job, Timeout,
         [Status](int Answered) { *Status = Answered; });
    return Status;
  }

  int call(std::size_t Instance, const char *Method) {
    std::shared_ptr<int> Status = open(Instance, Method);
    runUntil([&] { return *Status != 0; });
    return *Status;
  }

  /// Repeats a request that was not carried out, as callers do: an instance
  /// finds out with the first one that it needs a relay.
  int callUntilServed(std::size_t Instance, const char *Method) {
    int Status = 503;
    for (int Attempt = 0; Attempt < 10 && Status >= 500; ++Attempt)
      Status = call(Instance, Method);
    return Status;
  }

  /// Runs the loop without interruption, so that calls time out.
  void runUntil(const std::function<bool()> &Holds) {
    constexpr int MaxChecks = 2000;
    int Checks = 0;
    std::function<void()> Check = [&] {
      if (Holds() || ++Checks == MaxChecks)
        return Loop_.stop();
      Loop_.after(5ms, Check);
    };
    Check();
    Loop_.run();
    Loop_.context().restart();
    BOOST_REQUIRE(Holds());
  }

  /// The job may not start: it is not stored, or its cancellation is.
  bool isKeptFromStarting() const {
    return isStored(cancellationKey(Job)) || !isStored(jobKey(Job));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(what_callers_were_told)

BOOST_FIXTURE_TEST_CASE(stays_true_whatever_comes_later, CallerHistory) {
  play(600);
  std::size_t Accepted = 0;
  std::size_t CancelledBefore = 0;
  for (const auto &[Job, Told] : Jobs_) {
    bool IsStored = isStored(jobKey(Job));
    bool IsCancellationStored = isStored(cancellationKey(Job));
    Accepted += Told.IsAccepted_ ? 1 : 0;
    CancelledBefore += Told.IsCancelled_ && !Told.IsAccepted_ ? 1 : 0;
    BOOST_TEST((!Told.IsAccepted_ || IsStored), Job << " is lost");
    BOOST_TEST((!Told.IsCancelled_ || IsCancellationStored),
               Job << " may start although it was cancelled");
    BOOST_TEST((Told.OpenSubmissions_ > 0 || !IsStored),
               Job << " may start although it was refused");
  }
  // Otherwise the history shows nothing.
  BOOST_TEST(Accepted > 50U);
  BOOST_TEST(CancelledBefore > 10U);
}

BOOST_AUTO_TEST_SUITE_END()

// An instance repeats an insert without an answer. The store may carry out the
// first one at any later time.
BOOST_AUTO_TEST_SUITE(a_job_cancelled_while_its_insert_has_no_answer)

BOOST_FIXTURE_TEST_CASE(is_cancelled_if_it_was_inserted_before, OneJob) {
  Store_.setMode(StorePorts[0], StoreMode::HoldingCommits);
  std::shared_ptr<int> Submission = open(0, "POST");
  runUntil([this] { return Store_.heldCommits() == 1; });
  Store_.setMode(StorePorts[0], StoreMode::Serving);
  Store_.carryOutHeld();
  BOOST_TEST(call(1, "DELETE") == 200);
  runUntil([&] { return *Submission != 0; });
  BOOST_TEST(*Submission == 200);
  BOOST_TEST(isStored(cancellationKey(Job)));
}

BOOST_FIXTURE_TEST_CASE(is_not_stored_if_the_insert_comes_before_its_repeat,
                        OneJob) {
  Store_.setMode(StorePorts[0], StoreMode::HoldingCommits);
  std::shared_ptr<int> Submission = open(0, "POST");
  runUntil([this] { return Store_.heldCommits() == 1; });
  Store_.setMode(StorePorts[0], StoreMode::Serving);
  BOOST_TEST(call(1, "DELETE") == 410);
  Store_.carryOutHeld();
  runUntil([&] { return *Submission != 0; });
  BOOST_TEST(*Submission == 410);
  BOOST_TEST(!isStored(jobKey(Job)));
}

BOOST_FIXTURE_TEST_CASE(is_not_stored_if_the_insert_comes_after_its_repeat,
                        OneJob) {
  Store_.setMode(StorePorts[0], StoreMode::HoldingCommits);
  std::shared_ptr<int> Submission = open(0, "POST");
  runUntil([this] { return Store_.heldCommits() == 1; });
  Store_.setMode(StorePorts[0], StoreMode::Serving);
  BOOST_TEST(call(1, "DELETE") == 410);
  runUntil([&] { return *Submission != 0; });
  Store_.carryOutHeld();
  BOOST_TEST(*Submission == 410);
  BOOST_TEST(!isStored(jobKey(Job)));
}

BOOST_FIXTURE_TEST_CASE(is_not_stored_if_all_inserts_come_at_last, OneJob) {
  Store_.setMode(StorePorts[0], StoreMode::HoldingCommits);
  std::shared_ptr<int> Submission = open(0, "POST");
  runUntil([this] { return Store_.heldCommits() == 2; });
  BOOST_TEST(call(1, "DELETE") == 410);
  runUntil([&] { return *Submission != 0; });
  BOOST_TEST(*Submission == 504);
  Store_.carryOutHeld();
  BOOST_TEST(!isStored(jobKey(Job)));
}

BOOST_FIXTURE_TEST_CASE(is_cancelled_if_the_job_comes_beside_it, OneJob) {
  Store_.setMode(StorePorts[0], StoreMode::HoldingCommits);
  Store_.setMode(StorePorts[1], StoreMode::HoldingCommits);
  std::shared_ptr<int> Submission = open(0, "POST");
  std::shared_ptr<int> Cancellation = open(1, "DELETE");
  runUntil([this] { return Store_.heldCommits() == 2; });
  for (std::uint16_t Port : StorePorts)
    Store_.setMode(Port, StoreMode::Serving);
  Store_.carryOutHeld();
  runUntil([&] { return *Submission != 0 && *Cancellation != 0; });
  BOOST_TEST((*Cancellation == 200 || *Cancellation == 410));
  BOOST_TEST(isStored(cancellationKey(Job)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_cancellation_answered_through_a_relay)

BOOST_FIXTURE_TEST_CASE(keeps_the_job_from_being_stored, OneJob) {
  relayStoreCalls();
  for (StoreMode Mode : {StoreMode::Silent, StoreMode::Refusing}) {
    Store_.setMode(StorePorts[0], Mode);
    BOOST_TEST(callUntilServed(0, "DELETE") == 410);
    BOOST_TEST(call(1, "POST") == 410);
    BOOST_TEST(callUntilServed(0, "POST") == 410);
    BOOST_TEST(!isStored(jobKey(Job)));
  }
}

BOOST_FIXTURE_TEST_CASE(cancels_a_job_whose_insert_was_relayed_late, OneJob) {
  relayStoreCalls();
  // Also the transactions that the second instance relays are held.
  Store_.setMode(StorePorts[0], StoreMode::Silent);
  Store_.setMode(StorePorts[1], StoreMode::HoldingCommits);
  std::shared_ptr<int> Submission = open(0, "POST");
  runUntil([&] { return *Submission != 0; });
  BOOST_TEST(*Submission == 504);
  BOOST_REQUIRE(Store_.heldCommits() > 0U);
  Store_.setMode(StorePorts[1], StoreMode::Serving);
  BOOST_TEST(callUntilServed(0, "DELETE") == 410);
  Store_.carryOutHeld();
  BOOST_TEST(isKeptFromStarting());
  BOOST_TEST(callUntilServed(1, "POST") == 410);
}

// A cancellation without an answer promises nothing, and must not hit a job
// that was accepted afterwards.
BOOST_FIXTURE_TEST_CASE(without_an_answer_does_not_hit_a_later_job, OneJob) {
  relayStoreCalls();
  Store_.setMode(StorePorts[0], StoreMode::Silent);
  BOOST_TEST(callUntilServed(0, "GET") == 410);
  Store_.setMode(StorePorts[1], StoreMode::HoldingCommits);
  BOOST_TEST(call(0, "DELETE") == 504);
  BOOST_REQUIRE(Store_.heldCommits() > 0U);
  Store_.setMode(StorePorts[1], StoreMode::Serving);
  BOOST_TEST(callUntilServed(1, "POST") == 200);
  Store_.carryOutHeld();
  BOOST_TEST(isStored(jobKey(Job)));
  BOOST_TEST(!isStored(cancellationKey(Job)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
