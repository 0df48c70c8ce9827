/// \file
/// Tests of calls on an event loop that callbacks block.

#include "filbertspring/transport/async_http_client.h"
#include "filbertspring/transport/async_http_server.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>

namespace filbertspring {
namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr const char *ServerAddress = "127.0.0.1:17431";
constexpr std::uint16_t SlowServerPort = 17432;
constexpr Duration Timeout = 300ms;
/// The server never answers calls of this path.
constexpr const char *SilentPath = "/silent";

/// A server on a thread of its own, which answers at once.
class ServerThread {
public:
  ServerThread()
      : Server_(Loop_, {},
                [](const HttpRequest &Request, const HttpResponder &Respond) {
                  if (Request.Path_ == SilentPath)
                    return;
                  HttpAnswer Answer;
                  Answer.Body_ = std::string(AnswerBytes, 'x');
                  Respond(std::move(Answer));
                }) {
    BOOST_REQUIRE(Server_.listen(ServerAddress).has_value());
    Thread_ = std::thread([this] { Loop_.run(); });
  }
  ~ServerThread() {
    Loop_.stop();
    Thread_.join();
  }
  ServerThread(const ServerThread &) = delete;
  ServerThread &operator=(const ServerThread &) = delete;

  /// More than the client reads at once.
  static constexpr std::size_t AnswerBytes = 60'000;

private:
  EventLoop Loop_;
  AsyncHttpServer Server_;
  std::thread Thread_;
};

/// A client whose event loop is blocked right after each call.
struct BlockedClient {
  Result<HttpAnswer> call(const char *Path, Duration Blocked) {
    HttpRequest Request;
    Request.Method_ = "GET";
    Request.Path_ = Path;
    std::optional<Result<HttpAnswer>> Outcome;
    Loop_.after(0ms, [&] {
      Client_.send(ServerAddress, Request, Timeout,
                   [&](Result<HttpAnswer> Answer) {
                     Outcome.emplace(std::move(Answer));
                     Loop_.stop();
                   });
      std::this_thread::sleep_for(Blocked);
    });
    Loop_.run();
    Loop_.context().restart();
    BOOST_REQUIRE(Outcome.has_value());
    return *Outcome;
  }

  ServerThread Server_;
  EventLoop Loop_;
  AsyncHttpClient Client_{Loop_, {}};
};

/// A server that sends an answer in parts.
class SlowServer {
public:
  /// Sends \p Parts of an answer of 12, with half of the timeout before each.
  explicit SlowServer(int Parts) : Parts_(Parts) {
    Acceptor_.async_accept(
        [this](const std::error_code &Error, tcp::socket New) {
          BOOST_REQUIRE(!Error);
          Socket_.emplace(std::move(New));
          std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n";
          asio::write(*Socket_, asio::buffer(Head));
          sendPart();
        });
  }

  EventLoop Loop_;

private:
  void sendPart() {
    if (Parts_-- == 0)
      return;
    Loop_.after(Timeout / 2, [this] {
      asio::write(*Socket_, asio::buffer("x", 1));
      sendPart();
    });
  }

  int Parts_;
  tcp::acceptor Acceptor_{
      Loop_.context(),
      tcp::endpoint(asio::ip::make_address("127.0.0.1"), SlowServerPort)};
  std::optional<tcp::socket> Socket_;
};

/// Calls a server that sends \p Parts of its answer.
Result<HttpAnswer> callSlowServer(int Parts, bool IsTimeoutForEachPart) {
  SlowServer Server(Parts);
  AsyncHttpLimits Limits;
  Limits.IsTimeoutForEachPart_ = IsTimeoutForEachPart;
  AsyncHttpClient Client(Server.Loop_, Limits);
  HttpRequest Request;
  Request.Method_ = "GET";
  Request.Path_ = "/";
  std::optional<Result<HttpAnswer>> Outcome;
  Client.send("127.0.0.1:" + std::to_string(SlowServerPort), Request, Timeout,
              [&](Result<HttpAnswer> Answer) {
                Outcome.emplace(std::move(Answer));
                Server.Loop_.stop();
              });
  Server.Loop_.run();
  BOOST_REQUIRE(Outcome.has_value());
  return *Outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_call_on_a_blocked_loop)

BOOST_FIXTURE_TEST_CASE(gets_the_answer_that_has_arrived_meanwhile,
                        BlockedClient) {
  for (Duration Blocked : {0ms, 500ms, 1000ms, 700ms})
    BOOST_TEST(call("/", Blocked).has_value());
  BOOST_TEST(Client_.counts().Connections_ == 1U);
}

BOOST_FIXTURE_TEST_CASE(ends_if_the_server_is_silent, BlockedClient) {
  BOOST_TEST((call(SilentPath, 500ms).error() == Errc::OutcomeUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_in_parts)

BOOST_AUTO_TEST_CASE(may_take_longer_than_the_timeout_for_each_part) {
  BOOST_TEST(callSlowServer(12, true).has_value());
}

BOOST_AUTO_TEST_CASE(may_not_take_longer_than_the_timeout_for_the_whole) {
  BOOST_TEST((callSlowServer(12, false).error() == Errc::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(that_stops_ends_the_call) {
  BOOST_TEST((callSlowServer(3, true).error() == Errc::OutcomeUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring
