/// \file
/// Tests of an owner whose event loop is late, while the relay and the worker,
/// on a thread of their own, answer at once.

#include "filbertspring/transport/async_http_server.h"
#include "filbertspring/transport/event_loop.h"
#include "worker_channel.h"
#include "worker_relay.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <utility>
#include <vector>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

constexpr const char *OwnerAddress = "127.0.0.1:17441";
constexpr const char *RelayAddress = "127.0.0.1:17442";
constexpr const char *WorkerAddress = "127.0.0.1:17443";
constexpr std::uint64_t OwnerToken = 17;
/// How often the owner commands the worker, and how many commands it sends.
constexpr Duration CallInterval = 50ms;
constexpr int CommandsAtOnce = 40;
/// The answers to one batch are more than the owner reads at once.
constexpr std::size_t AnswerBytes = 2000;
/// The path of calls that the worker answers when WaitingTime has passed.
constexpr const char *WaitingPath = "/renew";
constexpr Duration WaitingTime = 200ms;

/// A relay and a worker on one thread.
class PromptRelay {
public:
  PromptRelay()
      : Relay_(Loop_, Counters_),
        WorkerServer_(
            Loop_, {},
            [this](const HttpRequest &Request, const HttpResponder &Respond) {
              ++WorkerCalls_;
              Duration Delay =
                  Request.Path_ == WaitingPath ? WaitingTime : Duration::zero();
              Loop_.after(Delay, [Respond] {
                HttpAnswer Answer;
                Answer.Body_ = std::string(AnswerBytes, 'x');
                Respond(std::move(Answer));
              });
            }),
        RelayServer_(
            Loop_, {},
            [this](const HttpRequest &Request, const HttpResponder &Respond) {
              Relay_.handle(Request, Respond);
            }) {
    BOOST_REQUIRE(WorkerServer_.listen(WorkerAddress).has_value());
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
  EventLoop Loop_;
  CounterRegistry Counters_;
  WorkerRelay Relay_;
  std::atomic<int> WorkerCalls_{0};
  AsyncHttpServer WorkerServer_;
  AsyncHttpServer RelayServer_;
  std::thread Thread_;
};

/// An owner that calls a worker all the time.
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
    Channel_.routes().addWorker("w1", WorkerAddress, "a");
  }

  void call(const char *Path, Duration Timeout) {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = Path;
    Request.Body_ = "body";
    ++Calls_;
    if (Channel_.routes().relayFor(WorkerAddress, SchedulerClock::now()) !=
        RelayAddress)
      ++CallsWithoutRelay_;
    Channel_.send(WorkerAddress, Request, Timeout,
                  [this, Path](const Result<HttpAnswer> &Answer) {
                    ++(Answer ? Answered_ : Failed_);
                    if (Path == WaitingPath)
                      IsRenewalOpen_ = false;
                  });
  }

  void callWorker() {
    if (!std::exchange(IsRenewalOpen_, true))
      call(WaitingPath, WorkerCallTimeout + WaitingTime);
    for (int Command = 0; Command < CommandsAtOnce; ++Command)
      call("/stop", WorkerCallTimeout);
    Channel_.flush();
  }

  void keepCalling() {
    if (IsStopping_)
      return;
    callWorker();
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
      callWorker();
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
  bool IsRenewalOpen_ = false;
  bool IsStopping_ = false;
  int Calls_ = 0;
  int CallsWithoutRelay_ = 0;
  int Answered_ = 0;
  int Failed_ = 0;
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
