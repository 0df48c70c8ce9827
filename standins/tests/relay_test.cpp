#include "filbertspring/standins/relay.h"

#include "filbertspring/standins/platform_server.h"
#include "filbertspring/standins/running_server.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using std::chrono::milliseconds;

namespace {

struct RelayFixture {
  RunningServer<PlatformServer> Platform_{Duration::zero()};
  RunningServer<Relay> Relay_{Platform_.address()};
  httplib::Client Open_{Relay_.address().Host_, Relay_.address().Port_};

  RelayFixture() {
    prepare(Open_);
    BOOST_TEST(passes(Open_));
  }

  static void prepare(httplib::Client &Client) {
    Client.set_keep_alive(true);
    Client.set_read_timeout(milliseconds(200));
  }
  static bool passes(httplib::Client &Client) {
    return static_cast<bool>(Client.Get("/counts"));
  }
  bool newConnectionPasses() {
    httplib::Client Client(Relay_.address().Host_, Relay_.address().Port_);
    prepare(Client);
    return passes(Client);
  }
  /// Sets the mode and waits until the open connection no longer passes.
  httplib::Error spoil(RelayMode Mode) {
    (*Relay_).setMode(Mode, Duration::zero());
    for (;;)
      if (auto Answer = Open_.Get("/counts"); !Answer)
        return Answer.error();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay, RelayFixture)

BOOST_AUTO_TEST_CASE(silent_hits_open_connections_only) {
  BOOST_TEST((spoil(RelayMode::Silent) == httplib::Error::Read));
  BOOST_TEST(newConnectionPasses());
}

BOOST_AUTO_TEST_CASE(blackhole_hits_new_connections_until_it_passes_again) {
  spoil(RelayMode::Blackhole);
  BOOST_TEST(!newConnectionPasses());
  (*Relay_).setMode(RelayMode::Pass, Duration::zero());
  while (!newConnectionPasses())
    ;
}

BOOST_AUTO_TEST_CASE(refuse_closes_open_and_new_connections) {
  spoil(RelayMode::Refuse);
  BOOST_TEST(!newConnectionPasses());
}

BOOST_AUTO_TEST_CASE(a_delay_holds_both_directions) {
  (*Relay_).setMode(RelayMode::Pass, std::chrono::hours(1));
  while (newConnectionPasses())
    ;
  (*Relay_).setMode(RelayMode::Pass, Duration::zero());
  BOOST_TEST(newConnectionPasses());
}

BOOST_AUTO_TEST_SUITE_END()
