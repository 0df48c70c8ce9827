/// \file
/// Tests of calls to workers through another instance, over loopback.

#include "filbertspring/transport/async_http_server.h"
#include "filbertspring/transport/event_loop.h"
#include "worker_channel.h"
#include "worker_relay.h"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>

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

constexpr Duration Standstill = 100ms;

/// How the relay handles batches.
enum class RelayBehaviour {
  Relay,
  Refuse,
  Ignore,
  ReachNoWorker,
  Freeze,
  /// It stands still before it reads a batch.
  RelayLate,
  RefuseLate
};

/// An owner, a relay and a worker on one event loop.
struct RelayedWorker {
  RelayedWorker()
      : Relay_(Loop_, Counters_, "process"),
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
    // The answer to the first batch shows the clock of the relay.
    BOOST_REQUIRE(call().has_value());
    // The next batch does not wait for others.
    runFor(50ms);
    Loop_.context().restart();
    Batches_ = 0;
    WorkerCalls_ = 0;
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
    case RelayBehaviour::RelayLate:
      return Loop_.after(Standstill, [this, Request, Respond] {
        Relay_.handle(Request, Respond);
      });
    case RelayBehaviour::RefuseLate:
      return Loop_.after(Standstill, [Refusal, Respond] { Respond(Refusal); });
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
  Result<HttpAnswer> call(const char *Address = WorkerAddress,
                          TimePoint SendBefore = TimePoint::max()) {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/stop";
    Request.Body_ = "body";
    std::optional<Result<HttpAnswer>> Outcome;
    Channel_->send(Address, Request, {300ms, SendBefore},
                   [&](Result<HttpAnswer> Answer) {
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
        WorkerAddress, Request, {WorkerCallTimeout + 1s},
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
      Channel_->send(WorkerAddress, Request, {WorkerCallTimeout},
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

// An owner that was replaced, or a relay that stood still, would otherwise
// start tasks that the next owner has started elsewhere.
BOOST_AUTO_TEST_SUITE(a_call_whose_sending_limit_has_passed)

BOOST_FIXTURE_TEST_CASE(is_not_made, RelayedWorker) {
  Channel_->routes().setCandidates({});
  BOOST_TEST((call(WorkerAddress, SchedulerClock::now()).error() ==
              Errc::DeadlineExceeded));
  BOOST_TEST(WorkerCalls_ == 0);
}

BOOST_FIXTURE_TEST_CASE(is_not_made_once_it_gets_a_connection, RelayedWorker) {
  // Without any connection.
  Channel_.emplace(Loop_, Counters_, OwnerAddress, OwnerToken);
  std::optional<std::error_code> Error;
  Loop_.after(0ms, [&] {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/stop";
    Channel_->send(WorkerAddress, Request,
                   {300ms, SchedulerClock::now() + Standstill / 2},
                   [&](const Result<HttpAnswer> &Answer) {
                     BOOST_REQUIRE(!Answer.has_value());
                     Error = Answer.error();
                   });
    // The connection is noticed afterwards.
    std::this_thread::sleep_for(Standstill);
  });
  runFor(2 * Standstill);
  BOOST_TEST((Error == Errc::DeadlineExceeded));
  BOOST_TEST(WorkerCalls_ == 0);
  // The connection is used by the next call.
  BOOST_TEST(call().has_value());
}

BOOST_FIXTURE_TEST_CASE(is_not_made_by_a_relay_that_stood_still,
                        RelayedWorker) {
  Behaviour_ = RelayBehaviour::RelayLate;
  BOOST_TEST(
      (call(WorkerAddress, SchedulerClock::now() + Standstill / 2).error() ==
       Errc::DeadlineExceeded));
  BOOST_TEST(WorkerCalls_ == 0);
  // This says nothing about the path from the relay to the worker.
  BOOST_TEST(call().has_value());
  BOOST_TEST(Batches_ == 2);
}

BOOST_FIXTURE_TEST_CASE(is_not_made_in_place_of_a_relay, RelayedWorker) {
  Behaviour_ = RelayBehaviour::RefuseLate;
  BOOST_TEST(
      (call(WorkerAddress, SchedulerClock::now() + Standstill / 2).error() ==
       Errc::DeadlineExceeded));
  BOOST_TEST(WorkerCalls_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_relay_that_has_restarted)

BOOST_FIXTURE_TEST_CASE(makes_no_call_with_a_limit_on_its_former_clock,
                        RelayedWorker) {
  WorkerRelay Restarted(Loop_, Counters_, "next process");
  HttpRequest Request;
  WorkerCallBatch Batch{OwnerAddress, OwnerToken, "process", {}};
  HttpRequest Call;
  Call.Method_ = "POST";
  Call.Path_ = "/stop";
  Batch.Calls_.push_back({1, WorkerAddress, Call, {300ms}});
  Request.Body_ = encodeWorkerCalls(Batch);
  HttpAnswer Rejection;
  Restarted.handle(Request,
                   [&](const HttpAnswer &Answer) { Rejection = Answer; });
  runFor(50ms);
  BOOST_TEST(Rejection.Status_ == OtherRelayProcessStatus);
  BOOST_TEST(Rejection.header(RelayProcessHeader) == "next process");
  BOOST_TEST(WorkerCalls_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_clock_of_a_relay)

BOOST_AUTO_TEST_CASE(is_never_taken_for_later_than_it_is) {
  RelayClock Clock;
  // The relay is 7 s ahead; its answers are handled 30 ms and 200 ms later.
  Clock.observed("a", TimePoint(107s), TimePoint(100s + 30ms));
  BOOST_TEST((Clock.toRelay(TimePoint(102s)) == TimePoint(109s - 30ms)));
  Clock.observed("a", TimePoint(108s), TimePoint(101s + 200ms));
  BOOST_TEST((Clock.toRelay(TimePoint(102s)) == TimePoint(109s - 30ms)));
}

BOOST_AUTO_TEST_CASE(is_observed_anew_after_some_time) {
  RelayClock Clock;
  Clock.observed("a", TimePoint(107s), TimePoint(100s));
  Clock.observed("a", TimePoint(117s), TimePoint(111s));
  BOOST_TEST((Clock.toRelay(TimePoint(112s)) == TimePoint(118s)));
}

BOOST_AUTO_TEST_CASE(is_another_one_after_a_restart) {
  RelayClock Clock;
  Clock.observed("a", TimePoint(107s), TimePoint(100s));
  Clock.observed("b", TimePoint(3s), TimePoint(101s));
  BOOST_TEST(Clock.process() == "b");
  BOOST_TEST((Clock.toRelay(TimePoint(102s)) == TimePoint(4s)));
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
