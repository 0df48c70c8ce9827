/// \file
/// Tests of calls to workers through another instance, over loopback.

#include "filbertspring/transport/async_http_server.h"
#include "filbertspring/transport/event_loop.h"
#include "worker_channel.h"
#include "worker_relay.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

constexpr const char *OwnerAddress = "127.0.0.1:17411";
constexpr const char *RelayAddress = "127.0.0.1:17412";
constexpr const char *WorkerAddress = "127.0.0.1:17413";
constexpr const char *UnusedAddress = "127.0.0.1:17414";
constexpr std::uint64_t OwnerToken = 17;
/// The path of calls that the worker does not answer at once.
constexpr const char *WaitingCall = "/hold";

/// How the relay handles batches.
enum class RelayBehaviour { Relay, Refuse, Ignore, ReachNoWorker, Freeze };

/// An owner, a relay and a worker on one event loop.
struct RelayedWorker {
  RelayedWorker()
      : Relay_(Loop_, Counters_),
        WorkerServer_(
            Loop_, {},
            [this](const HttpRequest &Request, const HttpResponder &Respond) {
              ++WorkerCalls_;
              if (Request.Path_ == WaitingCall) {
                Waiting_.push_back(Respond);
                return;
              }
              HttpAnswer Answer;
              Answer.Body_ = Request.Path_ + " " + Request.Body_;
              Respond(std::move(Answer));
            }),
        RelayServer_(
            Loop_, {},
            [this](const HttpRequest &Request, const HttpResponder &Respond) {
              ++Batches_;
              handleBatch(Request, Respond);
            }),
        OwnerServer_(
            Loop_, {},
            [this](const HttpRequest &Request, const HttpResponder &Respond) {
              auto Batch = decodeWorkerAnswers(Request.Body_);
              BOOST_TEST(Batch.has_value());
              Channel_->handleAnswers(std::move(*Batch));
              Respond({});
            }) {
    BOOST_REQUIRE(WorkerServer_.listen(WorkerAddress).has_value());
    BOOST_REQUIRE(RelayServer_.listen(RelayAddress).has_value());
    BOOST_REQUIRE(OwnerServer_.listen(OwnerAddress).has_value());
    Channel_.emplace(Loop_, Counters_, OwnerAddress, OwnerToken);
    Channel_->routes().setCandidates({{RelayAddress, "a", 0.5}});
    for (int Index = 0; Index < 500; ++Index)
      Channel_->routes().addWorker(std::to_string(Index),
                                   "other" + std::to_string(Index), "a");
    Channel_->routes().addWorker("w1", WorkerAddress, "a");
    Channel_->routes().addWorker("w2", UnusedAddress, "a");
  }

  void handleBatch(const HttpRequest &Request, const HttpResponder &Respond) {
    HttpAnswer Refusal;
    Refusal.Status_ = 503;
    switch (Behaviour_) {
    case RelayBehaviour::Relay:
      return Relay_.handle(Request, Respond);
    case RelayBehaviour::Refuse:
      return Respond(std::move(Refusal));
    case RelayBehaviour::Ignore:
      return Respond({});
    case RelayBehaviour::ReachNoWorker:
      return answerWithoutWorker(Request, Respond);
    case RelayBehaviour::Freeze:
      Frozen_.push_back(Respond);
      return;
    }
  }

  static void answerWithoutWorker(const HttpRequest &Request,
                                  const HttpResponder &Respond) {
    Result<WorkerCallBatch> Batch = decodeWorkerCalls(Request.Body_);
    BOOST_REQUIRE(Batch.has_value());
    WorkerAnswerBatch Answers{OwnerToken, {}};
    for (const RelayedWorkerCall &Call : Batch->Calls_)
      Answers.Answers_.push_back({Call.Id_, fail(Errc::OutcomeUnknown)});
    HttpAnswer Answer;
    Answer.Body_ = encodeWorkerAnswers(Answers);
    Respond(std::move(Answer));
  }

  /// Sends a call and returns its outcome.
  Result<HttpAnswer> call(const char *Address = WorkerAddress) {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/stop";
    Request.Body_ = "body";
    std::optional<Result<HttpAnswer>> Outcome;
    Channel_->send(Address, Request, 300ms, [&](Result<HttpAnswer> Answer) {
      Outcome.emplace(std::move(Answer));
      Loop_.stop();
    });
    Channel_->flush();
    Loop_.context().restart();
    Loop_.run();
    BOOST_REQUIRE(Outcome.has_value());
    return *Outcome;
  }

  /// Sends a renewal for whose answer the worker waits for an end.
  void sendWaitingCall() {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = WaitingCall;
    Request.Body_ = "body";
    Channel_->send(
        WorkerAddress, Request, WorkerCallTimeout + 1s,
        [this](const Result<HttpAnswer> &) { ++WaitingEnded_; },
        CallUrgency::MayWait);
  }

  void runFor(Duration Time) {
    Loop_.after(Time, [this] { Loop_.stop(); });
    Loop_.context().restart();
    Loop_.run();
  }

  /// Sends a stop command after \p Delay without waiting for its answer.
  void sendStopAfter(Duration Delay) {
    Loop_.after(Delay, [this] {
      HttpRequest Request;
      Request.Method_ = "POST";
      Request.Path_ = "/stop";
      Request.Body_ = "body";
      Channel_->send(WorkerAddress, Request, WorkerCallTimeout,
                     [this](const Result<HttpAnswer> &Answer) {
                       IsStopAnswered_ |= Answer.has_value();
                       if (Answer)
                         Loop_.stop();
                     });
      Channel_->flush();
    });
  }

  /// The time limit only ends a test that would hang.
  void runUntilStopIsAnswered() {
    Loop_.after(10s, [this] { Loop_.stop(); });
    Loop_.run();
    BOOST_REQUIRE(IsStopAnswered_);
  }

  EventLoop Loop_;
  CounterRegistry Counters_;
  WorkerRelay Relay_;
  AsyncHttpServer WorkerServer_;
  AsyncHttpServer RelayServer_;
  AsyncHttpServer OwnerServer_;
  std::optional<WorkerChannel> Channel_;
  RelayBehaviour Behaviour_ = RelayBehaviour::Relay;
  /// Batches that the relay does not answer.
  std::vector<HttpResponder> Frozen_;
  /// Calls that the worker has not answered.
  std::vector<HttpResponder> Waiting_;
  int WaitingEnded_ = 0;
  bool IsStopAnswered_ = false;
  int WorkerCalls_ = 0;
  int Batches_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_relayed_worker_call)

BOOST_FIXTURE_TEST_CASE(returns_the_answer_of_the_worker, RelayedWorker) {
  Result<HttpAnswer> Answer = call();
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST(Answer->Body_ == "/stop body");
  BOOST_TEST(Batches_ == 1);
  BOOST_TEST(WorkerCalls_ == 1);
}

BOOST_FIXTURE_TEST_CASE(states_that_the_worker_did_not_receive_it,
                        RelayedWorker) {
  Result<HttpAnswer> Answer = call(UnusedAddress);
  BOOST_TEST((Answer.error() == Errc::ConnectFailed));
  BOOST_TEST(Batches_ == 1);
}

BOOST_FIXTURE_TEST_CASE(is_made_directly_if_the_relay_refuses_it,
                        RelayedWorker) {
  Behaviour_ = RelayBehaviour::Refuse;
  BOOST_TEST(call().has_value());
  BOOST_TEST(call().has_value());
  BOOST_TEST(Batches_ == 1);
  BOOST_TEST(WorkerCalls_ == 2);
}

BOOST_FIXTURE_TEST_CASE(is_made_directly_if_the_relay_stops, RelayedWorker) {
  Relay_.stop();
  BOOST_TEST(call().has_value());
  BOOST_TEST(WorkerCalls_ == 1);
}

BOOST_FIXTURE_TEST_CASE(has_an_unknown_outcome_if_the_relay_stays_silent,
                        RelayedWorker) {
  Behaviour_ = RelayBehaviour::Ignore;
  BOOST_TEST((call().error() == Errc::OutcomeUnknown));
  // The next call does not use that relay.
  BOOST_TEST(call().has_value());
  BOOST_TEST(Batches_ == 1);
  BOOST_TEST(WorkerCalls_ == 1);
}

BOOST_FIXTURE_TEST_CASE(is_repeated_directly_if_the_relay_is_cut_off,
                        RelayedWorker) {
  Behaviour_ = RelayBehaviour::ReachNoWorker;
  BOOST_TEST((call().error() == Errc::OutcomeUnknown));
  BOOST_TEST(call().has_value());
  BOOST_TEST(call().has_value());
  BOOST_TEST(Batches_ == 1);
  BOOST_TEST(WorkerCalls_ == 2);
}

BOOST_FIXTURE_TEST_CASE(is_relayed_again_if_a_direct_one_fails_as_well,
                        RelayedWorker) {
  for (int Attempt = 0; Attempt < 4; ++Attempt)
    BOOST_TEST((call(UnusedAddress).error() == Errc::ConnectFailed));
  BOOST_TEST(Batches_ == 2);
}

BOOST_FIXTURE_TEST_CASE(survives_a_malformed_batch, RelayedWorker) {
  HttpRequest Malformed;
  Malformed.Body_ = "1:a99:b";
  int Status = 0;
  Relay_.handle(Malformed,
                [&](const HttpAnswer &Answer) { Status = Answer.Status_; });
  BOOST_TEST(Status == 400);
  BOOST_TEST(call().has_value());
}

BOOST_FIXTURE_TEST_CASE(ignores_answers_to_an_earlier_tenure, RelayedWorker) {
  Behaviour_ = RelayBehaviour::Ignore;
  Loop_.after(50ms, [this] {
    WorkerAnswerBatch Batch{OwnerToken - 1, {}};
    Batch.Answers_.push_back({1, HttpAnswer{}});
    Channel_->handleAnswers(std::move(Batch));
  });
  BOOST_TEST((call().error() == Errc::OutcomeUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_relayed_renewal)

BOOST_FIXTURE_TEST_CASE(waits_for_others_after_a_batch, RelayedWorker) {
  sendWaitingCall();
  Channel_->flush();
  for (int Count = 0; Count < 3; ++Count) {
    sendWaitingCall();
    Channel_->flush();
  }
  runFor(100ms);
  BOOST_TEST(Batches_ == 1);
  Channel_->flush();
  runFor(100ms);
  BOOST_TEST(Batches_ == 2);
}

BOOST_FIXTURE_TEST_CASE(is_sent_with_an_urgent_call, RelayedWorker) {
  sendWaitingCall();
  Channel_->flush();
  sendWaitingCall();
  sendStopAfter(0ms);
  runUntilStopIsAnswered();
  BOOST_TEST(Batches_ == 2);
  BOOST_TEST(WorkerCalls_ == 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_stop)

// The owner repeats a stop every 300 ms until the worker confirms it.
BOOST_FIXTURE_TEST_CASE(bypasses_a_frozen_relay_at_the_third_attempt,
                        RelayedWorker) {
  Behaviour_ = RelayBehaviour::Freeze;
  for (Duration Delay : {0ms, 300ms, 600ms, 900ms})
    sendStopAfter(Delay);
  runUntilStopIsAnswered();
  BOOST_TEST(Batches_ == 2);
  BOOST_TEST(WorkerCalls_ == 1);
}

BOOST_AUTO_TEST_SUITE(does_not_wait_for_open_renewals)

BOOST_FIXTURE_TEST_CASE(that_are_relayed, RelayedWorker) {
  sendWaitingCall();
  sendWaitingCall();
  sendStopAfter(0ms);
  runUntilStopIsAnswered();
  BOOST_TEST(WaitingEnded_ == 0);
}

BOOST_FIXTURE_TEST_CASE(that_are_made_directly, RelayedWorker) {
  Channel_->routes().setCandidates({});
  sendWaitingCall();
  sendWaitingCall();
  sendStopAfter(0ms);
  runUntilStopIsAnswered();
  BOOST_TEST(WaitingEnded_ == 0);
  BOOST_TEST(Batches_ == 0);
}

BOOST_FIXTURE_TEST_CASE(if_the_relay_refuses_all, RelayedWorker) {
  Behaviour_ = RelayBehaviour::Refuse;
  sendWaitingCall();
  sendWaitingCall();
  sendStopAfter(0ms);
  runUntilStopIsAnswered();
  BOOST_TEST(WaitingEnded_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
