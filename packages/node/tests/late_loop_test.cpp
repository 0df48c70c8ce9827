/// \file
/// Tests of an owner whose event loop is late, while a relay and workers, on
/// a thread of their own, answer at once.

#include "filbertspring/transport/async_http_server.h"
#include "filbertspring/transport/event_loop.h"
#include "worker_channel.h"
#include "worker_relay.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

constexpr const char *OwnerAddress = "127.0.0.1:17441";
constexpr const char *RelayAddress = "127.0.0.1:17442";
constexpr std::size_t WorkerCount = 20;
constexpr std::uint64_t OwnerToken = 17;
/// How often the owner commands the worker, and how many commands it sends.
constexpr Duration CallInterval = 50ms;
constexpr int CommandsAtOnce = 40;
/// The answers to one batch are more than the owner reads at once.
constexpr std::size_t AnswerBytes = 2000;
/// The path of calls that workers answer when waitingTime() has passed.
constexpr const char *WaitingPath = "/renew";

std::string workerAddress(std::size_t Worker) {
  return fmt::format("127.0.1.{}:17443", Worker + 1);
}

/// The answers of the workers arrive one after another.
Duration waitingTime(std::size_t Worker) {
  return 100ms + 20ms * static_cast<std::int64_t>(Worker);
}

/// A relay and workers on one thread.
class PromptRelay {
public:
  PromptRelay()
      : Relay_(Loop_, Counters_, "process"),
        RelayServer_(
            Loop_, {},
            [this](const HttpRequest &Request, const HttpResponder &Respond) {
              Relay_.handle(Request, Respond);
            }) {
    for (std::size_t Worker = 0; Worker < WorkerCount; ++Worker)
      listenAsWorker(Worker);
    BOOST_REQUIRE(RelayServer_.listen(RelayAddress).has_value());
    Thread_ = std::thread([this] { Loop_.run(); });
  }
  ~PromptRelay() {
    Loop_.stop();
    Thread_.join();
  }
  PromptRelay(const PromptRelay &) = delete;
  PromptRelay &operator=(const PromptRelay &) = delete;

  int workerCalls() const { return WorkerCalls_; }

private:
  void listenAsWorker(std::size_t Worker) {
    WorkerServers_.push_back(std::make_unique<AsyncHttpServer>(
        Loop_, AsyncServerLimits(),
        [this, Worker](const HttpRequest &Request,
                       const HttpResponder &Respond) {
          ++WorkerCalls_;
          Duration Delay =
              Request.Path_ == WaitingPath ? waitingTime(Worker) : 0ms;
          Loop_.after(Delay, [Respond] {
            HttpAnswer Answer;
            Answer.Body_ = std::string(AnswerBytes, 'x');
            Respond(std::move(Answer));
          });
        }));
    BOOST_REQUIRE(
        WorkerServers_.back()->listen(workerAddress(Worker)).has_value());
  }

  EventLoop Loop_;
  CounterRegistry Counters_;
  WorkerRelay Relay_;
  std::atomic<int> WorkerCalls_{0};
  std::vector<std::unique_ptr<AsyncHttpServer>> WorkerServers_;
  AsyncHttpServer RelayServer_;
  std::thread Thread_;
};

/// An owner that calls workers all the time.
struct LateOwner {
  LateOwner()
      : Server_(
            Loop_, {},
            [this](const HttpRequest &Request, const HttpResponder &Respond) {
              auto Batch = decodeWorkerAnswers(Request.Body_);
              BOOST_TEST(Batch.has_value());
              Channel_.handleAnswers(std::move(*Batch));
              Respond({});
            }),
        Channel_(Loop_, Counters_, OwnerAddress, OwnerToken) {
    BOOST_REQUIRE(Server_.listen(OwnerAddress).has_value());
    Channel_.routes().setCandidates({{RelayAddress, "a", 0.5}});
    for (int Index = 0; Index < 500; ++Index)
      Channel_.routes().addWorker(std::to_string(Index),
                                  "other" + std::to_string(Index), "a");
    for (std::size_t Worker = 0; Worker < WorkerCount; ++Worker)
      Channel_.routes().addWorker(fmt::format("w{}", Worker),
                                  workerAddress(Worker), "a");
  }

  void call(std::size_t Worker, const char *Path, Duration Timeout) {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = Path;
    Request.Body_ = "body";
    std::string Address = workerAddress(Worker);
    ++Calls_;
    if (Channel_.routes().relayFor(Address, SchedulerClock::now()) !=
        RelayAddress)
      ++CallsWithoutRelay_;
    Channel_.send(Address, Request, {Timeout},
                  [this, Worker, Path](const Result<HttpAnswer> &Answer) {
                    ++(Answer ? Answered_ : Failed_);
                    if (Path == WaitingPath)
                      OpenRenewals_.erase(Worker);
                  });
  }

  void callWorkers() {
    for (std::size_t Worker = 0; Worker < WorkerCount; ++Worker)
      if (OpenRenewals_.insert(Worker).second)
        call(Worker, WaitingPath, WorkerCallTimeout + waitingTime(Worker));
    for (int Command = 0; Command < CommandsAtOnce; ++Command)
      call(0, "/stop", WorkerCallTimeout);
    Channel_.flush();
  }

  void keepCalling() {
    if (IsStopping_)
      return;
    callWorkers();
    Loop_.after(CallInterval, [this] { keepCalling(); });
  }

  /// Blocks the loop for each of \p Delays, with \p Pause before each. Calls
  /// that were just made are answered meanwhile.
  void blockLoop(std::vector<Duration> Delays, Duration Pause) {
    if (Delays.empty()) {
      IsStopping_ = true;
      return stopWhenAllCallsEnded();
    }
    Loop_.after(Pause, [this, Delays = std::move(Delays), Pause] {
      callWorkers();
      std::this_thread::sleep_for(Delays.front());
      blockLoop({Delays.begin() + 1, Delays.end()}, Pause);
    });
  }

  void stopWhenAllCallsEnded() {
    if (Answered_ + Failed_ == Calls_)
      return Loop_.stop();
    Loop_.after(50ms, [this] { stopWhenAllCallsEnded(); });
  }

  PromptRelay Relay_;
  EventLoop Loop_;
  CounterRegistry Counters_;
  AsyncHttpServer Server_;
  WorkerChannel Channel_;
  std::set<std::size_t> OpenRenewals_;
  bool IsStopping_ = false;
  int Calls_ = 0;
  int CallsWithoutRelay_ = 0;
  int Answered_ = 0;
  int Failed_ = 0;
};

/// A relay whose owner takes each request with answers late, and workers that
/// answer one after another.
struct RelayOfLateOwner {
  RelayOfLateOwner()
      : Relay_(Loop_, Counters_, "process"),
        Owner_(
            Loop_, {},
            [this](const HttpRequest &Request, const HttpResponder &Respond) {
              takeAnswers(Request, Respond);
            }) {
    BOOST_REQUIRE(Owner_.listen(OwnerAddress).has_value());
    for (std::size_t Worker = 0; Worker < Workers; ++Worker) {
      WorkerServers_.push_back(std::make_unique<AsyncHttpServer>(
          Loop_, AsyncServerLimits(),
          [this, Worker](const HttpRequest &, const HttpResponder &Respond) {
            Loop_.after(waitingTime(Worker), [Respond] { Respond({}); });
          }));
      BOOST_REQUIRE(
          WorkerServers_.back()->listen(workerAddress(Worker)).has_value());
    }
  }

  void takeAnswers(const HttpRequest &Request, const HttpResponder &Respond) {
    auto Batch = decodeWorkerAnswers(Request.Body_);
    BOOST_REQUIRE(Batch.has_value());
    Answers_ += Batch->Answers_.size();
    Loop_.after(TimeToTake, [this, Respond] {
      Respond({});
      if (Answers_ == Workers)
        Loop_.stop();
    });
  }

  /// Calls all workers in one batch, which is answered before they answer.
  void callWorkers() {
    WorkerCallBatch Batch{OwnerAddress, OwnerToken, "process", {}};
    HttpRequest Call;
    Call.Method_ = "POST";
    Call.Path_ = WaitingPath;
    for (std::size_t Worker = 0; Worker < Workers; ++Worker)
      Batch.Calls_.push_back({Worker + 1, workerAddress(Worker), Call, {5s}});
    HttpRequest Request;
    Request.Body_ = encodeWorkerCalls(Batch);
    Relay_.handle(Request, [](const HttpAnswer &) {});
  }

  static constexpr std::size_t Workers = 60;
  /// Shorter than the timeout of a request with answers.
  static constexpr Duration TimeToTake = 400ms;

  EventLoop Loop_;
  CounterRegistry Counters_;
  WorkerRelay Relay_;
  AsyncHttpServer Owner_;
  std::vector<std::unique_ptr<AsyncHttpServer>> WorkerServers_;
  std::size_t Answers_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_owner_whose_loop_is_late)

BOOST_FIXTURE_TEST_CASE(does_not_take_relays_and_workers_for_silent,
                        LateOwner) {
  keepCalling();
  blockLoop({1000ms, 500ms, 700ms, 1000ms}, 300ms);
  Loop_.run();
  BOOST_TEST(Failed_ == 0);
  BOOST_TEST(CallsWithoutRelay_ == 0);
  BOOST_TEST(Relay_.workerCalls() == Calls_);
  BOOST_TEST(Counters_.counter("worker_calls_detoured_total").value() == 0U);
}

// A relay has more answers than the owner takes at a time.
BOOST_FIXTURE_TEST_CASE(gets_all_answers_of_relays, LateOwner) {
  keepCalling();
  blockLoop(std::vector<Duration>(12, 350ms), 1ms);
  Loop_.run();
  BOOST_TEST(Failed_ == 0);
  BOOST_TEST(CallsWithoutRelay_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_relay)

BOOST_FIXTURE_TEST_CASE(loses_no_answers_for_an_owner_that_takes_them_late,
                        RelayOfLateOwner) {
  callWorkers();
  // Ends a test in which answers are lost.
  Loop_.after(10s, [this] { Loop_.stop(); });
  Loop_.run();
  BOOST_TEST(Answers_ == Workers);
  BOOST_TEST(Counters_.counter("worker_answers_lost_total").value() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
