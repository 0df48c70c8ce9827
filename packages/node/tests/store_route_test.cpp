#include "store_route.h"

#include "store_relay.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

struct RouteFixture {
  RouteFixture() { Route_.setRelays({"relay-1", "relay-2"}); }

  StoreRoute Route_;
  TimePoint Now_{1h};
};

BOOST_AUTO_TEST_SUITE(the_route_to_the_store)

BOOST_FIXTURE_TEST_SUITE(of_an_instance_without_a_connection_to_the_store,
                         RouteFixture)

BOOST_AUTO_TEST_CASE(uses_a_relay) {
  BOOST_TEST(Route_.isDirect());
  BOOST_TEST(Route_.recordDirectFailure(Now_));
  BOOST_TEST(!Route_.isDirect());
  BOOST_TEST(Route_.selectRelay(Now_) == "relay-1");
}

BOOST_AUTO_TEST_CASE(skips_a_relay_that_failed) {
  Route_.recordDirectFailure(Now_);
  Route_.recordRelayFailure("relay-1", Now_);
  BOOST_TEST(Route_.selectRelay(Now_) == "relay-2");
  Route_.recordRelayFailure("relay-2", Now_);
  BOOST_TEST(Route_.selectRelay(Now_) == "");
  // A failed relay is tried again after the retry delay.
  BOOST_TEST(Route_.selectRelay(Now_ + 1s) == "relay-1");
}

BOOST_AUTO_TEST_CASE(is_direct_again_after_an_answered_probe) {
  Route_.recordDirectFailure(Now_);
  BOOST_TEST(!Route_.claimProbe(Now_));
  BOOST_TEST(Route_.claimProbe(Now_ + 500ms));
  BOOST_TEST(!Route_.claimProbe(Now_ + 600ms));
  BOOST_TEST(Route_.recordDirectAnswer(Now_ + 700ms));
  BOOST_TEST(Route_.isDirect());
}

BOOST_AUTO_TEST_CASE(is_available_through_a_relay) {
  Route_.recordDirectFailure(Now_);
  Route_.recordRelayAnswer(Now_ + 50ms);
  BOOST_TEST(Route_.isStoreAvailable(Now_ + 2s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(while_no_call_is_answered, RouteFixture)

BOOST_AUTO_TEST_CASE(becomes_unavailable_after_a_second) {
  Route_.recordDirectFailure(Now_);
  Route_.recordRelayFailure("relay-1", Now_ + 200ms);
  BOOST_TEST(Route_.isStoreAvailable(Now_ + 900ms));
  BOOST_TEST(!Route_.isStoreAvailable(Now_ + 1s));
  Route_.recordDirectAnswer(Now_ + 4s);
  BOOST_TEST(Route_.isStoreAvailable(Now_ + 4s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(of_an_instance_that_the_store_refuses, RouteFixture)

BOOST_AUTO_TEST_CASE(stays_direct_after_a_single_refusal) {
  BOOST_TEST(!Route_.recordDirectRefusal(Now_));
  BOOST_TEST(Route_.isDirect());
  Route_.recordDirectAnswer(Now_);
  BOOST_TEST(!Route_.recordDirectRefusal(Now_));
  BOOST_TEST(Route_.recordDirectRefusal(Now_));
  BOOST_TEST(!Route_.isDirect());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_relayed_call)

BOOST_AUTO_TEST_CASE(decodes_to_the_encoded_call) {
  RelayedCall Call;
  Call.Request_.Method_ = "GET";
  Call.Request_.Path_ = "/rows?key=a%20b";
  Call.Request_.Body_ = "body";
  Call.Timeout_ = 250ms;
  auto Decoded = decodeRelayedCall(encodeRelayedCall(Call));
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST(Decoded->Request_.Method_ == "GET");
  BOOST_TEST(Decoded->Request_.Path_ == "/rows?key=a%20b");
  BOOST_TEST(Decoded->Request_.Body_ == "body");
  BOOST_TEST((Decoded->Timeout_ == 250ms));
}

BOOST_AUTO_TEST_CASE(of_another_form_is_rejected) {
  BOOST_TEST(!decodeRelayedCall(HttpRequest()).has_value());
  RelayedCall Call;
  Call.Request_.Method_ = "GET";
  Call.Request_.Path_ = "no-slash";
  Call.Timeout_ = 250ms;
  BOOST_TEST(!decodeRelayedCall(encodeRelayedCall(Call)).has_value());
}

BOOST_AUTO_TEST_CASE(
    distinguishes_calls_that_were_not_sent_from_unknown_outcomes) {
  auto NotSent =
      decodeRelayedAnswer(encodeRelayedAnswer(fail(Errc::ConnectFailed)));
  BOOST_TEST((NotSent.error() == Errc::ConnectFailed));
  auto Unknown =
      decodeRelayedAnswer(encodeRelayedAnswer(fail(Errc::OutcomeUnknown)));
  BOOST_TEST((Unknown.error() == Errc::OutcomeUnknown));
  HttpAnswer Answer;
  Answer.Status_ = 412;
  Answer.Body_ = "rows";
  auto StoreAnswer = decodeRelayedAnswer(encodeRelayedAnswer(Answer));
  BOOST_REQUIRE(StoreAnswer.has_value());
  BOOST_TEST(StoreAnswer->Status_ == 412);
  BOOST_TEST(StoreAnswer->Body_ == "rows");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::node
