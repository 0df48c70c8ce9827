#include "filbertspring/transport/http_server.h"

#include "raw_socket.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <fmt/format.h>
#include <thread>
#include <vector>

using namespace filbertspring;
using namespace std::chrono_literals;
using tests::RawClient;

namespace {

HttpAnswer echo(const HttpRequest &Request) {
  return {200, {}, "text/plain", Request.Path_ + ":" + Request.Body_};
}

HttpServerOptions smallServerOptions() {
  HttpServerOptions Options;
  Options.Listen_ = {"127.0.0.1", 0};
  Options.Threads_ = 4;
  Options.MaxQueuedConnections_ = 2;
  Options.MaxBodyBytes_ = 1024;
  Options.MaxHeaderBytes_ = 4096;
  return Options;
}

std::string getRequest(const std::string &Path) {
  return fmt::format("GET {} HTTP/1.1\r\nhost: h\r\n\r\n", Path);
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_http_server)

BOOST_AUTO_TEST_CASE(answers_requests_that_arrive_together_in_order) {
  HttpServer Server(smallServerOptions(), echo);
  BOOST_REQUIRE(Server.start().has_value());
  RawClient Caller(Server.port());
  Caller.send(getRequest("/one") + getRequest("/two") + getRequest("/three"));
  std::string Bytes = Caller.readUntil("/three:");
  BOOST_TEST(Bytes.find("/one:") < Bytes.find("/two:"));
  BOOST_TEST(Bytes.find("/two:") < Bytes.find("/three:"));
}

BOOST_AUTO_TEST_SUITE(given_bad_input)

BOOST_AUTO_TEST_CASE(answers_not_run_to_a_malformed_request_line) {
  HttpServer Server(smallServerOptions(), echo);
  BOOST_REQUIRE(Server.start().has_value());
  RawClient Caller(Server.port());
  Caller.send("NONSENSE\r\n\r\n");
  std::string Bytes = Caller.readUntil("\r\n\r\n");
  BOOST_TEST(Bytes.find("400") != std::string::npos);
  BOOST_TEST(Bytes.find("x-outcome: not-run") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(refuses_a_body_beyond_the_limit) {
  HttpServer Server(smallServerOptions(), echo);
  BOOST_REQUIRE(Server.start().has_value());
  RawClient Caller(Server.port());
  Caller.send("POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 99999\r\n\r\n");
  std::string Bytes = Caller.readUntil("\r\n\r\n");
  BOOST_TEST(Bytes.find("413") != std::string::npos);
  BOOST_TEST(Bytes.find("x-outcome: not-run") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(closes_on_headers_beyond_the_limit) {
  HttpServer Server(smallServerOptions(), echo);
  BOOST_REQUIRE(Server.start().has_value());
  RawClient Caller(Server.port());
  Caller.send("GET / HTTP/1.1\r\n");
  for (int Index = 0; Index < 400; ++Index)
    Caller.send("x-filler: aaaaaaaaaaaaaaaaaaaa\r\n");
  BOOST_TEST(Caller.closedByPeer());
}

BOOST_AUTO_TEST_CASE(closes_on_a_request_that_arrives_too_slowly) {
  HttpServerOptions Options = smallServerOptions();
  Options.ReadTimeout_ = 300ms;
  HttpServer Server(Options, echo);
  BOOST_REQUIRE(Server.start().has_value());
  RawClient Slow(Server.port());
  for (char Character : std::string("GET /slow HT")) {
    Slow.send(std::string(1, Character));
    std::this_thread::sleep_for(50ms);
  }
  BOOST_TEST(Slow.closedByPeer());
  RawClient Other(Server.port());
  Other.send(getRequest("/other"));
  BOOST_TEST(Other.readUntil("/other:").ends_with("/other:"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_more_connections_than_threads)

BOOST_AUTO_TEST_CASE(closes_idle_connections_to_serve_new_callers) {
  HttpServer Server(smallServerOptions(), echo);
  BOOST_REQUIRE(Server.start().has_value());
  std::vector<std::unique_ptr<RawClient>> Idle;
  for (int Index = 0; Index < 4; ++Index) {
    Idle.push_back(std::make_unique<RawClient>(Server.port()));
    Idle.back()->send(getRequest("/idle"));
    Idle.back()->readUntil("/idle:");
  }
  RawClient Caller(Server.port());
  Caller.send(getRequest("/new"));
  BOOST_TEST(Caller.readUntil("/new:").ends_with("/new:"));
}

BOOST_AUTO_TEST_CASE(answers_not_run_to_connections_beyond_the_queue) {
  std::atomic<bool> Release{false};
  HttpServer Server(smallServerOptions(),
                    [&Release](const HttpRequest &Request) {
                      while (!Release)
                        std::this_thread::sleep_for(1ms);
                      return echo(Request);
                    });
  BOOST_REQUIRE(Server.start().has_value());
  std::vector<std::unique_ptr<RawClient>> Callers;
  for (int Index = 0; Index < 7; ++Index) {
    Callers.push_back(std::make_unique<RawClient>(Server.port()));
    Callers.back()->send(getRequest("/x"));
    std::this_thread::sleep_for(50ms); // Lets a pool thread dequeue it.
  }
  std::string Bytes = Callers.back()->readUntil("\r\n\r\n");
  BOOST_TEST(Bytes.find("503") != std::string::npos);
  BOOST_TEST(Bytes.find("x-outcome: not-run") != std::string::npos);
  Release = true;
  BOOST_TEST(Callers.front()->readUntil("/x:").ends_with("/x:"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_drains)

BOOST_AUTO_TEST_CASE(finishes_running_requests_and_closes_afterwards) {
  std::atomic<bool> Entered{false};
  HttpServer Server(smallServerOptions(),
                    [&Entered](const HttpRequest &Request) {
                      Entered = true;
                      std::this_thread::sleep_for(300ms);
                      return echo(Request);
                    });
  BOOST_REQUIRE(Server.start().has_value());
  RawClient Caller(Server.port());
  Caller.send(getRequest("/long"));
  while (!Entered)
    std::this_thread::yield();
  Server.beginDrain();
  Server.stop();
  std::string Bytes = Caller.readUntil("/long:");
  BOOST_TEST(Bytes.ends_with("/long:"));
  BOOST_TEST(Caller.closedByPeer());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
