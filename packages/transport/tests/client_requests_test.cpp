/// \file
/// Tests of the limits of a server, with requests of a client on loopback.

#include "filbertspring/transport/async_http_server.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace filbertspring {
namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr std::uint16_t Port = 17461;
constexpr std::size_t MaxBodyBytes = 262'144;

/// A server that answers with the number of fields and the size of the body,
/// and refuses the path "/refused".
struct Exchange {
  explicit Exchange(AsyncServerLimits Limits = {})
      : Server_(
            Loop_, Limits,
            [this](const HttpRequest &Request, const HttpResponder &Respond) {
              Paths_.push_back(Request.Path_);
              HttpAnswer Answer;
              Answer.Body_ = std::to_string(Request.Headers_.size()) + " " +
                             std::to_string(Request.Body_.size());
              Respond(Answer);
            },
            hooks(), &Budget_) {
    BOOST_REQUIRE(
        Server_.listen("127.0.0.1:" + std::to_string(Port)).has_value());
  }

  AsyncServerHooks hooks() {
    AsyncServerHooks Hooks;
    Hooks.CheckHead_ = [](const HttpRequest &Head) {
      HeadDecision Decision;
      Decision.MaxBodyBytes_ = MaxBodyBytes;
      if (Head.Path_ == "/refused")
        Decision.Refusal_.emplace().Status_ = 404;
      return Decision;
    };
    Hooks.Refused_ = [this](ClientRefusal Reason) {
      Refusals_.push_back(Reason);
    };
    return Hooks;
  }

  /// Sends \p Bytes and returns what is received until the server closes the
  /// connection or \p Time has passed.
  std::string send(const std::string &Bytes, Duration Time = 500ms) {
    tcp::socket Socket(Loop_.context());
    Socket.connect({asio::ip::address_v4::loopback(), Port});
    std::string Received;
    std::array<char, 4096> Buffer{};
    asio::async_write(Socket, asio::buffer(Bytes),
                      [](const std::error_code &, std::size_t) {});
    std::function<void()> Read = [&] {
      Socket.async_read_some(
          asio::buffer(Buffer),
          [&](const std::error_code &Error, std::size_t Size) {
            Received.append(Buffer.data(), Size);
            if (Error)
              return Loop_.stop();
            Read();
          });
    };
    Read();
    std::shared_ptr<void> Limit = Loop_.timer(Time, [this] { Loop_.stop(); });
    Loop_.run();
    Loop_.context().restart();
    Socket.close();
    // The end of the read stops the loop; then the server reads the end.
    Loop_.context().poll();
    Loop_.context().restart();
    Loop_.after(50ms, [this] { Loop_.stop(); });
    Loop_.run();
    Loop_.context().restart();
    return Received;
  }

  EventLoop Loop_;
  ClientBudget Budget_{1U << 20U};
  std::vector<std::string> Paths_;
  std::vector<ClientRefusal> Refusals_;
  AsyncHttpServer Server_;
};

std::string post(const std::string &Path, std::size_t Size) {
  return "POST " + Path +
         " HTTP/1.1\r\nContent-Length: " + std::to_string(Size) + "\r\n\r\n";
}

bool startsWith(const std::string &Text, const std::string &Status) {
  return Text.starts_with("HTTP/1.1 " + Status);
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_request)

BOOST_FIXTURE_TEST_CASE(inside_the_limits_is_served_whatever_it_consists_of,
                        Exchange) {
  std::string Fields;
  while (Fields.size() + 4 <= 16'384)
    Fields += "a:\r\n";
  std::string Many = "GET / HTTP/1.1\r\n" + Fields + "\r\n";
  BOOST_TEST(send(Many).ends_with("\r\n\r\n4096 0"));
  std::string Large = post("/", MaxBodyBytes) + std::string(MaxBodyBytes, ' ');
  BOOST_TEST(send(Large).ends_with("\r\n\r\n1 262144"));
  std::string Chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int Chunk = 0; Chunk < 1000; ++Chunk)
    Chunked += "1\r\nx\r\n";
  BOOST_TEST(send(Chunked + "0\r\n\r\n").ends_with("\r\n\r\n1 1000"));
  BOOST_TEST(Refusals_.empty());
}

BOOST_FIXTURE_TEST_CASE(is_answered_in_order_if_it_is_pipelined, Exchange) {
  std::string Received = send(post("/a", 1) + "x" + post("/refused", 2) + "xx" +
                              post("/b", 0) + post("/c", 1) + "x");
  BOOST_TEST(startsWith(Received, "200"));
  BOOST_TEST(Received.find("404") < Received.find("1 0"));
  BOOST_TEST(Paths_ == (std::vector<std::string>{"/a", "/b", "/c"}),
             boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(over_the_limits_is_refused_and_not_handled, Exchange) {
  std::string Fields = "a: " + std::string(21'000, 'x');
  BOOST_TEST(startsWith(send("GET / HTTP/1.1\r\n" + Fields), "431"));
  // The response arrives although the body is still being sent.
  std::string Body(400'000, 'x');
  BOOST_TEST(startsWith(send(post("/", 1U << 20U) + Body), "413"));
  BOOST_TEST(startsWith(send(post("/refused", 1U << 20U) + Body), "404"));
  std::string Chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  BOOST_TEST(startsWith(send(Chunked + "61a80\r\n" + Body), "413"));
  BOOST_TEST(Paths_.empty());
  BOOST_TEST(Server_.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(that_arrives_too_slowly_is_refused_and_not_handled) {
  AsyncServerLimits Limits;
  Limits.HeaderTimeout_ = 300ms;
  Limits.BodyGrace_ = 300ms;
  Exchange Slow(Limits);
  BOOST_TEST(startsWith(Slow.send("GET / HTTP/1.1\r\na: b\r\n", 5s), "408"));
  BOOST_TEST(startsWith(Slow.send(post("/", 1000) + "x", 5s), "408"));
  BOOST_TEST(Slow.Paths_.empty());
  BOOST_TEST(Slow.Refusals_.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(gives_its_memory_back, Exchange) {
  send(post("/", MaxBodyBytes) + std::string(1000, ' '), 100ms);
  send(post("/", 1000) + std::string(1000, ' '), 100ms);
  BOOST_TEST(Budget_.used() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ends_its_connection_while_the_server_drains, Exchange) {
  Server_.beginDrain();
  std::string Received = send(post("/a", 0) + post("/b", 0));
  BOOST_TEST(Received.find("Connection: close") != std::string::npos);
  BOOST_TEST(Paths_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring
