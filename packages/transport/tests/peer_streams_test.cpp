#include "filbertspring/transport/peer_links.h"
#include "filbertspring/transport/peer_server.h"

#include <asio.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>

using namespace filbertspring;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

/// Maximum time to wait for a condition.
constexpr Duration TestTimeout = 30s;
const Address AnyPort{"127.0.0.1", 0};
const InstanceName Sender("entry-1");
const InstanceName Receiver("entry-2");

bool eventually(const std::function<bool()> &Condition) {
  const TimePoint End = SchedulerClock::now() + TestTimeout;
  while (!Condition()) {
    if (SchedulerClock::now() >= End)
      return false;
    std::this_thread::sleep_for(10ms);
  }
  return true;
}

PeerLinksSettings fastLinks() {
  PeerLinksSettings Settings;
  Settings.PingInterval_ = 100ms;
  Settings.ReceiveTimeout_ = 1s;
  Settings.MinBackoff_ = 20ms;
  Settings.MaxBackoff_ = 100ms;
  return Settings;
}

struct PeerStreamsFixture {
  PeerStreamsFixture() { listen(AnyPort); }

  void listen(const Address &ListenAddress, PeerServerSettings Settings = {}) {
    auto Started = PeerServer::start(ListenAddress, Ring_, Settings);
    BOOST_REQUIRE(Started.has_value());
    Server_ = *std::move(Started);
  }
  void connect() { Links_.setPeers({{Receiver, Server_->address()}}); }
  bool connected() const { return Links_.status().front().Connected_; }
  /// Sends \p Text repeatedly until it arrives, since delivery is not
  /// guaranteed.
  bool sendUntilReceived(const std::string &Text) {
    return eventually([&] {
      Links_.send(Receiver, Text);
      auto Message = Ring_.popFor(200ms);
      return Message && Message->From_ == Sender && Message->Bytes_ == Text;
    });
  }
  /// Sends raw bytes and returns true when the server closes the connection.
  bool closesConnectionOn(const std::string &Bytes) const {
    asio::io_context Io;
    tcp::socket Socket(Io);
    const Address ListenAddress = Server_->address();
    Socket.connect(
        {asio::ip::make_address(ListenAddress.Host_), ListenAddress.Port_});
    std::error_code Error;
    asio::write(Socket, asio::buffer(Bytes), Error);
    bool IsClosed = static_cast<bool>(Error);
    std::string Answer;
    if (!IsClosed)
      asio::async_read(Socket, asio::dynamic_buffer(Answer),
                       [&](std::error_code, std::size_t) { IsClosed = true; });
    Io.run_for(TestTimeout);
    return IsClosed;
  }

  PeerMessageRing Ring_{64};
  std::unique_ptr<PeerServer> Server_;
  PeerLinks Links_{Sender, fastLinks()};
};

/// Accepts connections and never sends anything.
struct UnresponsivePeer {
  UnresponsivePeer()
      : Acceptor_(Io_, {asio::ip::make_address("127.0.0.1"), 0}) {}
  Address address() const {
    return {"127.0.0.1", Acceptor_.local_endpoint().port()};
  }
  asio::io_context Io_;
  tcp::acceptor Acceptor_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_streams, PeerStreamsFixture)

BOOST_AUTO_TEST_SUITE(carry_messages)

BOOST_AUTO_TEST_CASE(whole_and_with_their_sender) {
  connect();
  BOOST_TEST(sendUntilReceived("hello"));
  BOOST_TEST(sendUntilReceived(std::string(200'000, 'x')));
}

BOOST_AUTO_TEST_CASE(in_order) {
  connect();
  BOOST_REQUIRE(eventually([&] { return connected(); }));
  for (int Number = 0; Number < 10; ++Number)
    Links_.send(Receiver, std::to_string(Number));
  for (int Number = 0; Number < 10; ++Number) {
    auto Message = Ring_.popFor(TestTimeout);
    BOOST_REQUIRE(Message.has_value());
    BOOST_TEST(Message->Bytes_ == std::to_string(Number));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(bound_their_queues)

BOOST_AUTO_TEST_CASE(drops_the_oldest_when_a_queue_is_full) {
  PeerLinksSettings Settings = fastLinks();
  Settings.MaxQueued_ = 2;
  PeerLinks Links(Sender, Settings);
  UnresponsivePeer Unresponsive;
  Links.setPeers({{Receiver, Unresponsive.address()}});
  for (int Number = 0; Number < 100; ++Number)
    Links.send(Receiver, "digest");
  // At most eight messages are unacknowledged and two queued.
  BOOST_TEST(Links.counts().Dropped_ >= 90U);
}

BOOST_AUTO_TEST_CASE(drops_messages_that_are_too_large_or_for_unknown_peers) {
  connect();
  Links_.send(Receiver, std::string(300 * 1024, 'x'));
  Links_.send(InstanceName("nobody"), "hello");
  BOOST_TEST(Links_.counts().Dropped_ == 2U);
  BOOST_TEST(sendUntilReceived("hello"));
}

BOOST_AUTO_TEST_CASE(drops_messages_when_the_ring_is_full) {
  connect();
  const bool Dropped = eventually([&] {
    Links_.send(Receiver, "digest");
    return Server_->counts().Dropped_ > 0;
  });
  BOOST_TEST(Dropped);
  BOOST_TEST(Server_->counts().Messages_ == 64U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(recover)

BOOST_AUTO_TEST_CASE(when_the_peer_restarts) {
  connect();
  BOOST_REQUIRE(sendUntilReceived("before"));
  const Address OldAddress = Server_->address();
  Server_.reset();
  BOOST_REQUIRE(eventually([&] { return !connected(); }));
  listen(OldAddress);
  BOOST_TEST(sendUntilReceived("after"));
  BOOST_TEST(Links_.status().front().Connects_ >= 2U);
}

BOOST_AUTO_TEST_CASE(when_the_peer_changes_its_address) {
  connect();
  BOOST_REQUIRE(sendUntilReceived("before"));
  Server_.reset();
  listen(AnyPort);
  connect();
  BOOST_TEST(sendUntilReceived("after"));
}

BOOST_AUTO_TEST_CASE(when_a_peer_stops_responding) {
  UnresponsivePeer Unresponsive;
  Links_.setPeers({{Receiver, Unresponsive.address()}});
  BOOST_TEST(eventually([&] { return Links_.counts().ReceiveTimeouts_ > 0; }));
  connect();
  BOOST_TEST(sendUntilReceived("after"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(refuse)

BOOST_AUTO_TEST_CASE(other_protocols_without_affecting_other_connections) {
  connect();
  BOOST_REQUIRE(sendUntilReceived("before"));
  BOOST_TEST(closesConnectionOn("GET / HTTP/1.1\r\n\r\n"));
  BOOST_TEST(Server_->counts().Refused_ == 1U);
  BOOST_TEST(sendUntilReceived("after"));
  BOOST_TEST(Links_.status().front().Connects_ == 1U);
}

BOOST_AUTO_TEST_CASE(messages_above_the_servers_limit) {
  PeerServerSettings SmallLimits;
  SmallLimits.MaxMessageBytes_ = 1000;
  listen(AnyPort, SmallLimits);
  connect();
  BOOST_REQUIRE(eventually([&] { return connected(); }));
  Links_.send(Receiver, std::string(1001, 'x'));
  BOOST_TEST(eventually([&] { return Server_->counts().Refused_ > 0; }));
  BOOST_TEST(sendUntilReceived("after"));
  BOOST_TEST(sendUntilReceived(std::string(1000, 'x')));
}

BOOST_AUTO_TEST_CASE(headers_above_the_servers_limit) {
  PeerServerSettings SmallLimits;
  SmallLimits.MaxHeaderBytes_ = 40;
  listen(AnyPort, SmallLimits);
  connect();
  Links_.send(Receiver, "hello");
  BOOST_TEST(eventually([&] { return Server_->counts().Refused_ > 0; }));
  BOOST_TEST(Server_->counts().Messages_ == 0U);
}

BOOST_AUTO_TEST_CASE(connections_above_the_servers_limit) {
  PeerServerSettings SmallLimits;
  SmallLimits.MaxConnections_ = 1;
  listen(AnyPort, SmallLimits);
  connect();
  BOOST_REQUIRE(sendUntilReceived("before"));
  BOOST_TEST(closesConnectionOn(""));
  BOOST_TEST(sendUntilReceived("after"));
}

BOOST_AUTO_TEST_CASE(an_address_that_cannot_be_bound) {
  PeerMessageRing OtherRing{4};
  BOOST_TEST(!PeerServer::start({"not an address", 0}, OtherRing).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
