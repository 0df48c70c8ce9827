#include "router_fixture.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace filbertspring;
using namespace filbertspring::routing;
using namespace filbertspring::routing::routing_test;

BOOST_FIXTURE_TEST_SUITE(router, RouterFixture)

BOOST_AUTO_TEST_SUITE(a_non_idempotent_request)

BOOST_AUTO_TEST_CASE(goes_elsewhere_while_it_surely_did_not_run) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum")});
  SendAttempt First = only<SendAttempt>(arrive(1, false));
  SendAttempt Second =
      only<SendAttempt>(end(First, AttemptResult::ConnectFailed));
  BOOST_TEST((Second.Endpoint_ != First.Endpoint_));
  AnswerCaller Answer =
      only<AnswerCaller>(end(Second, AttemptResult::Completed));
  BOOST_TEST((Answer.Outcome_ == RequestOutcome::Completed));
  BOOST_TEST(Answer.Attempt_ == 2);
}

BOOST_AUTO_TEST_CASE(is_never_hedged) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum")});
  end(only<SendAttempt>(arrive(1)), AttemptResult::Completed);
  pass(10ms);
  only<SendAttempt>(arrive(2, false));
  BOOST_TEST(allOf<SendAttempt>(pass(2s)).empty());
}

BOOST_AUTO_TEST_CASE(is_answered_soon_after_its_deadline_when_no_news_comes) {
  start({executor("e1", "bodrum")});
  SendAttempt Sent = only<SendAttempt>(arrive(1, false));
  BOOST_TEST(allOf<AnswerCaller>(pass(2s)).empty());
  AnswerCaller Answer = only<AnswerCaller>(pass(Config_.AnswerGrace_));
  BOOST_TEST((Answer.Outcome_ == RequestOutcome::Unknown));
  // Its late answer is dropped.
  BOOST_TEST(allOf<AnswerCaller>(end(Sent, AttemptResult::Completed)).empty());
}

BOOST_AUTO_TEST_CASE(has_its_outcome_reported_although_its_caller_left) {
  start({executor("e1", "bodrum")});
  SendAttempt Sent = only<SendAttempt>(arrive(1, false));
  BOOST_TEST(tell(CallerDisconnected{1}).empty());
  AnswerCaller Answer = only<AnswerCaller>(end(Sent, AttemptResult::Completed));
  BOOST_TEST((Answer.Outcome_ == RequestOutcome::Completed));
}

BOOST_AUTO_TEST_CASE(gets_a_fresh_connection_when_idle_ones_are_old) {
  start({executor("e1", "bodrum")});
  SendAttempt First = only<SendAttempt>(arrive(1, false));
  BOOST_TEST(First.FreshConnection_);
  end(First, AttemptResult::Completed);
  pass(10ms);
  SendAttempt Soon = only<SendAttempt>(arrive(2, false));
  BOOST_TEST(!Soon.FreshConnection_);
  end(Soon, AttemptResult::Completed);
  pass(Config_.Health_.MaxIdleTime_ + 1ms);
  BOOST_TEST(only<SendAttempt>(arrive(3, false)).FreshConnection_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_idempotent_request)

BOOST_AUTO_TEST_CASE(is_hedged_when_it_takes_long_and_answered_once) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum")});
  end(only<SendAttempt>(arrive(1)), AttemptResult::Completed, 10ms);
  pass(10ms);
  SendAttempt Slow = only<SendAttempt>(arrive(2));
  SendAttempt Hedge = only<SendAttempt>(pass(50ms));
  BOOST_TEST((Hedge.Endpoint_ != Slow.Endpoint_));
  std::vector<RoutingAction> Out = end(Hedge, AttemptResult::Completed);
  BOOST_TEST(only<AnswerCaller>(Out).Attempt_ == 2);
  BOOST_TEST(only<CancelAttempt>(Out).Attempt_ == 1);
  BOOST_TEST(allOf<AnswerCaller>(end(Slow, AttemptResult::Completed)).empty());
  BOOST_TEST(Router_.counts().InFlight_ == 0);
}

BOOST_AUTO_TEST_CASE(is_retried_only_from_the_budget) {
  std::vector<ListedInstance> Many;
  Many.reserve(100);
  for (int Index = 0; Index < 100; ++Index)
    Many.push_back(executor("e" + std::to_string(Index), "bodrum"));
  start(Many);
  std::size_t Sent = 0;
  for (std::uint64_t Ticket = 1; Ticket <= 90; ++Ticket) {
    pass(2ms);
    std::vector<SendAttempt> Next = allOf<SendAttempt>(arrive(Ticket));
    while (!Next.empty()) {
      ++Sent;
      Next =
          allOf<SendAttempt>(end(Next.front(), AttemptResult::ConnectionLost));
    }
  }
  auto Saved = static_cast<std::size_t>(Config_.Retry_.MaxSavedRetries_);
  BOOST_TEST(Sent <= 90 + Saved);
  BOOST_TEST(Sent > 90U);
}

BOOST_AUTO_TEST_CASE(keeps_its_unit_of_concurrency_while_lost_work_may_run) {
  tell(ContractsChanged{{contract("a", 1000, 8)}});
  tell(ShareChanged{ContractName("a"), 125});
  tell(EndpointsListed{{executor("e1", "bodrum")}});
  SendAttempt Sent = only<SendAttempt>(arrive(1, false));
  only<AnswerCaller>(end(Sent, AttemptResult::ConnectionLost));
  pass(100ms);
  BOOST_TEST(arrive(2, false).empty());
  BOOST_TEST(Router_.counts().Queued_ == 1);
  BOOST_TEST(only<SendAttempt>(pass(1900ms)).Ticket_ == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_endpoint)

BOOST_AUTO_TEST_CASE(that_says_it_is_leaving_gets_nothing_more) {
  start({executor("e1", "bodrum")});
  SendAttempt Sent = only<SendAttempt>(arrive(1));
  end(Sent, AttemptResult::Completed, 10ms, ObservedLoad{0, 8, true});
  // The list lags and shows it live.
  tell(EndpointsListed{{executor("e1", "bodrum")}});
  pass(10ms);
  BOOST_TEST(isNotRun(only<AnswerCaller>(arrive(2)), NotRunReason::NoEndpoint));
  // Its name at another address is another endpoint.
  ListedInstance Replaced = executor("e1", "bodrum");
  Replaced.Http_.Port_ = 8001;
  tell(EndpointsListed{{Replaced}});
  BOOST_TEST(only<SendAttempt>(arrive(3)).Address_.Port_ == 8001);
}

BOOST_AUTO_TEST_CASE(that_peers_saw_leaving_gets_nothing_more) {
  start({executor("e1", "bodrum")});
  tell(PeerEndpointReports{{{EndpointName("e1"), 0, true, 1s}}});
  BOOST_TEST(isNotRun(only<AnswerCaller>(arrive(1)), NotRunReason::NoEndpoint));
}

BOOST_AUTO_TEST_CASE(is_reported_to_peers_when_leaving_or_heard_of) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum"),
         executor("e3", "bodrum")});
  SendAttempt Sent = only<SendAttempt>(arrive(1));
  end(Sent, AttemptResult::Completed, 10ms, ObservedLoad{3, 8, false});
  EndpointName Left(Sent.Endpoint_.str() == "e1" ? "e2" : "e1");
  tell(PeerEndpointReports{{{Left, 0, true, 1s}}});
  pass(100ms);
  std::vector<PeerEndpointReport> Reports =
      Router_.endpointReports(Now_, 500ms);
  BOOST_REQUIRE(Reports.size() == 2U);
  for (const PeerEndpointReport &Report : Reports) {
    BOOST_TEST(Report.Leaving_ == (Report.Endpoint_ == Left));
    if (Report.Leaving_)
      continue;
    BOOST_TEST((Report.Endpoint_ == Sent.Endpoint_));
    BOOST_TEST(Report.InFlight_ == 3);
    BOOST_TEST((Report.Age_ == 100ms));
  }
  BOOST_TEST(Router_.endpointReports(Now_, 50ms).size() == 1U);
}

BOOST_AUTO_TEST_CASE(that_vanished_while_leaving_is_remembered) {
  ListedInstance Leaving = executor("e1", "bodrum");
  Leaving.State_ = InstanceState::Leaving;
  start({Leaving});
  tell(EndpointsListed{});
  tell(EndpointsListed{{executor("e1", "bodrum")}});
  BOOST_TEST(isNotRun(only<AnswerCaller>(arrive(1)), NotRunReason::NoEndpoint));
}

BOOST_AUTO_TEST_CASE(that_went_silent_has_its_old_connections_dropped) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum")});
  end(only<SendAttempt>(arrive(1, false)), AttemptResult::Completed);
  pass(10ms);
  end(only<SendAttempt>(arrive(2, false)), AttemptResult::Completed);
  pass(10ms);
  SendAttempt Sent = only<SendAttempt>(arrive(3, false));
  pass(1s);
  std::vector<RoutingAction> Out = end(Sent, AttemptResult::TimedOut, 1s);
  DropConnections Drop = only<DropConnections>(Out);
  BOOST_TEST((Drop.Endpoint_ == Sent.Endpoint_));
  BOOST_TEST((Drop.OpenedBefore_ == Now_));
  // It is tried once more, on a new connection, by a request that may repeat.
  SendAttempt Probe = only<SendAttempt>(arrive(4));
  BOOST_TEST((Probe.Endpoint_ == Sent.Endpoint_));
  BOOST_TEST(Probe.FreshConnection_);
}

BOOST_AUTO_TEST_CASE(that_cannot_be_reached_waits_for_probation) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum")});
  SendAttempt Sent = only<SendAttempt>(arrive(1));
  SendAttempt Other =
      only<SendAttempt>(end(Sent, AttemptResult::ConnectFailed));
  for (std::uint64_t Ticket = 2; Ticket < 6; ++Ticket) {
    pass(10ms);
    BOOST_TEST(
        (only<SendAttempt>(arrive(Ticket)).Endpoint_ == Other.Endpoint_));
  }
  pass(Config_.Health_.SuspectTime_);
  SendAttempt Probe = only<SendAttempt>(arrive(6));
  BOOST_TEST((Probe.Endpoint_ == Sent.Endpoint_));
  BOOST_TEST((only<SendAttempt>(arrive(7)).Endpoint_ == Other.Endpoint_));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_availability_zone)

BOOST_AUTO_TEST_CASE(of_this_instance_is_preferred_while_it_has_room) {
  start({executor("e1", "bodrum", 2), executor("e2", "marmaris", 2)});
  for (std::uint64_t Ticket : {1, 2}) {
    pass(2ms);
    BOOST_TEST(only<SendAttempt>(arrive(Ticket, false)).Zone_.str() ==
               "bodrum");
  }
  pass(2ms);
  BOOST_TEST(arrive(3, false).empty());
  // After half of the extra round trip, waiting is no longer worth it.
  BOOST_TEST(only<SendAttempt>(pass(4ms)).Zone_.str() == "marmaris");
}

BOOST_AUTO_TEST_CASE(out_of_service_gets_no_new_attempt) {
  start({executor("e1", "bodrum"), executor("e2", "marmaris")});
  tell(ZoneChanged{ZoneName("bodrum"), false});
  BOOST_TEST(only<SendAttempt>(arrive(1)).Zone_.str() == "marmaris");
  tell(ZoneChanged{ZoneName("marmaris"), false});
  pass(2ms);
  BOOST_TEST(isNotRun(only<AnswerCaller>(arrive(2)), NotRunReason::NoEndpoint));
  tell(ZoneChanged{ZoneName("bodrum"), true});
  BOOST_TEST(only<SendAttempt>(arrive(3)).Zone_.str() == "bodrum");
}

BOOST_AUTO_TEST_CASE(that_the_contract_leaves_out_gets_none_of_its_work) {
  start({executor("e1", "bodrum"), executor("e2", "marmaris")});
  Contract Terms = contract("a");
  Terms.Zones_ = {ZoneName("marmaris")};
  tell(ContractsChanged{{Terms}});
  for (std::uint64_t Ticket = 1; Ticket < 5; ++Ticket) {
    pass(2ms);
    BOOST_TEST(only<SendAttempt>(arrive(Ticket)).Zone_.str() == "marmaris");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(contracts)

BOOST_AUTO_TEST_CASE(take_turns_by_weight_when_endpoints_are_short) {
  Contract Heavy = contract("b");
  Heavy.Weight_ = 3;
  tell(ContractsChanged{{contract("a"), Heavy}});
  tell(ShareChanged{ContractName("a"), 1000});
  tell(ShareChanged{ContractName("b"), 1000});
  tell(EndpointsListed{{executor("e1", "bodrum", 1)}});
  SendAttempt Sent = only<SendAttempt>(arrive(1, false));
  for (std::uint64_t Ticket = 2; Ticket < 42; ++Ticket) {
    pass(1ms);
    arrive(Ticket, false, Ticket % 2 == 0 ? "a" : "b");
  }
  int Light = 0;
  for (int Step = 0; Step < 20; ++Step) {
    pass(1ms);
    Sent = only<SendAttempt>(end(Sent, AttemptResult::Completed, 1ms));
    if (Sent.Ticket_ % 2 == 0)
      ++Light;
  }
  BOOST_TEST(Light >= 4);
  BOOST_TEST(Light <= 6);
}

BOOST_AUTO_TEST_CASE(that_end_have_their_queued_requests_answered) {
  start({executor("e1", "bodrum", 1)});
  SendAttempt Sent = only<SendAttempt>(arrive(1, false));
  pass(2ms);
  BOOST_TEST(arrive(2, false).empty());
  AnswerCaller Answer = only<AnswerCaller>(tell(ContractsChanged{}));
  BOOST_TEST(Answer.Ticket_ == 2);
  BOOST_TEST(isNotRun(Answer, NotRunReason::UnknownContract));
  only<AnswerCaller>(end(Sent, AttemptResult::Completed));
}

BOOST_AUTO_TEST_CASE(are_served_to_the_end_while_draining) {
  start({executor("e1", "bodrum", 1)});
  SendAttempt Sent = only<SendAttempt>(arrive(1, false));
  pass(2ms);
  arrive(2, false);
  tell(DrainStarted{});
  Sent = only<SendAttempt>(end(Sent, AttemptResult::Completed));
  BOOST_TEST(Sent.Ticket_ == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
