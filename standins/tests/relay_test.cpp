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
    BOOST_TEST(isForwarded(Open_));
  }

  static void prepare(httplib::Client &Client) {
    Client.set_keep_alive(true);
    Client.set_read_timeout(milliseconds(200));
  }
  static bool isForwarded(httplib::Client &Client) {
    return static_cast<bool>(Client.Get("/counts"));
  }
  bool isNewConnectionForwarded() {
    httplib::Client Client(Relay_.address().Host_, Relay_.address().Port_);
    prepare(Client);
    return isForwarded(Client);
  }
  /// Sets the mode and waits until a request on the open connection fails;
  /// returns the error.
  httplib::Error setModeUntilFailure(RelayMode Mode) {
    (*Relay_).setMode(Mode, Duration::zero());
    for (;;)
      if (auto Answer = Open_.Get("/counts"); !Answer)
        return Answer.error();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay, RelayFixture)

BOOST_AUTO_TEST_CASE(silent_hits_open_connections_only) {
  BOOST_TEST((setModeUntilFailure(RelayMode::Silent) == httplib::Error::Read));
  BOOST_TEST(isNewConnectionForwarded());
}

BOOST_AUTO_TEST_CASE(blackhole_hits_new_connections_until_it_passes_again) {
  setModeUntilFailure(RelayMode::Blackhole);
  BOOST_TEST(!isNewConnectionForwarded());
  (*Relay_).setMode(RelayMode::Pass, Duration::zero());
  while (!isNewConnectionForwarded())
    ;
}

BOOST_AUTO_TEST_CASE(refuse_closes_open_and_new_connections) {
  setModeUntilFailure(RelayMode::Refuse);
  BOOST_TEST(!isNewConnectionForwarded());
}

BOOST_AUTO_TEST_CASE(a_delay_holds_both_directions) {
  (*Relay_).setMode(RelayMode::Pass, std::chrono::hours(1));
  while (isNewConnectionForwarded())
    ;
  (*Relay_).setMode(RelayMode::Pass, Duration::zero());
  BOOST_TEST(isNewConnectionForwarded());
}

BOOST_AUTO_TEST_SUITE_END()
