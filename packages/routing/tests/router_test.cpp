#include "router_fixture.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace filbertspring;
using namespace filbertspring::routing;
using namespace filbertspring::routing::routing_test;

BOOST_FIXTURE_TEST_SUITE(router, RouterFixture)

BOOST_AUTO_TEST_SUITE(a_non_idempotent_request)

BOOST_AUTO_TEST_CASE(is_retried_on_another_endpoint_when_it_did_not_run) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum")});
  SendAttempt First = onlyAction<SendAttempt>(arrive(1, false));
  SendAttempt Second =
      onlyAction<SendAttempt>(endAttempt(First, AttemptResult::ConnectFailed));
  BOOST_TEST((Second.Endpoint_ != First.Endpoint_));
  AnswerCaller Answer =
      onlyAction<AnswerCaller>(endAttempt(Second, AttemptResult::Completed));
  BOOST_TEST((Answer.Outcome_ == RequestOutcome::Completed));
  BOOST_TEST(Answer.Attempt_ == 2);
}

BOOST_AUTO_TEST_CASE(is_never_hedged) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum")});
  endAttempt(onlyAction<SendAttempt>(arrive(1)), AttemptResult::Completed);
  advanceTime(10ms);
  onlyAction<SendAttempt>(arrive(2, false));
  BOOST_TEST(actionsOf<SendAttempt>(advanceTime(2s)).empty());
}

BOOST_AUTO_TEST_CASE(is_answered_soon_after_its_deadline_without_a_result) {
  start({executor("e1", "bodrum")});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1, false));
  BOOST_TEST(actionsOf<AnswerCaller>(advanceTime(2s)).empty());
  AnswerCaller Answer =
      onlyAction<AnswerCaller>(advanceTime(Config_.AnswerGrace_));
  BOOST_TEST((Answer.Outcome_ == RequestOutcome::Unknown));
  // Its late answer is dropped.
  BOOST_TEST(actionsOf<AnswerCaller>(endAttempt(Sent, AttemptResult::Completed))
                 .empty());
}

BOOST_AUTO_TEST_CASE(
    has_its_outcome_reported_although_its_caller_disconnected) {
  start({executor("e1", "bodrum")});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1, false));
  BOOST_TEST(handle(CallerDisconnected{1}).empty());
  AnswerCaller Answer =
      onlyAction<AnswerCaller>(endAttempt(Sent, AttemptResult::Completed));
  BOOST_TEST((Answer.Outcome_ == RequestOutcome::Completed));
}

BOOST_AUTO_TEST_CASE(gets_a_fresh_connection_when_idle_ones_are_old) {
  start({executor("e1", "bodrum")});
  SendAttempt First = onlyAction<SendAttempt>(arrive(1, false));
  BOOST_TEST(First.FreshConnection_);
  endAttempt(First, AttemptResult::Completed);
  advanceTime(10ms);
  SendAttempt Soon = onlyAction<SendAttempt>(arrive(2, false));
  BOOST_TEST(!Soon.FreshConnection_);
  endAttempt(Soon, AttemptResult::Completed);
  advanceTime(Config_.Health_.MaxIdleTime_ + 1ms);
  BOOST_TEST(onlyAction<SendAttempt>(arrive(3, false)).FreshConnection_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_idempotent_request)

BOOST_AUTO_TEST_CASE(is_hedged_when_slow_and_answered_once) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum")});
  endAttempt(onlyAction<SendAttempt>(arrive(1)), AttemptResult::Completed,
             10ms);
  advanceTime(10ms);
  SendAttempt Slow = onlyAction<SendAttempt>(arrive(2));
  SendAttempt Hedge = onlyAction<SendAttempt>(advanceTime(50ms));
  BOOST_TEST((Hedge.Endpoint_ != Slow.Endpoint_));
  std::vector<RoutingAction> Out = endAttempt(Hedge, AttemptResult::Completed);
  BOOST_TEST(onlyAction<AnswerCaller>(Out).Attempt_ == 2);
  BOOST_TEST(onlyAction<CancelAttempt>(Out).Attempt_ == 1);
  BOOST_TEST(actionsOf<AnswerCaller>(endAttempt(Slow, AttemptResult::Completed))
                 .empty());
  BOOST_TEST(Router_.counts().InFlight_ == 0);
}

BOOST_AUTO_TEST_CASE(is_retried_only_from_the_budget) {
  std::vector<ListedInstance> Endpoints;
  Endpoints.reserve(100);
  for (int Index = 0; Index < 100; ++Index)
    Endpoints.push_back(executor("e" + std::to_string(Index), "bodrum"));
  start(Endpoints);
  std::size_t Sent = 0;
  for (std::uint64_t Ticket = 1; Ticket <= 90; ++Ticket) {
    advanceTime(2ms);
    std::vector<SendAttempt> Next = actionsOf<SendAttempt>(arrive(Ticket));
    while (!Next.empty()) {
      ++Sent;
      Next = actionsOf<SendAttempt>(
          endAttempt(Next.front(), AttemptResult::ConnectionLost));
    }
  }
  auto Saved = static_cast<std::size_t>(Config_.Retry_.MaxSavedRetries_);
  BOOST_TEST(Sent <= 90 + Saved);
  BOOST_TEST(Sent > 90U);
}

BOOST_AUTO_TEST_CASE(keeps_its_concurrency_permit_while_lost_work_may_run) {
  handle(ContractsChanged{{contract("a", 1000, 8)}});
  handle(ShareChanged{ContractName("a"), 125});
  handle(EndpointsListed{{executor("e1", "bodrum")}});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1, false));
  onlyAction<AnswerCaller>(endAttempt(Sent, AttemptResult::ConnectionLost));
  advanceTime(100ms);
  BOOST_TEST(arrive(2, false).empty());
  BOOST_TEST(Router_.counts().Queued_ == 1);
  BOOST_TEST(onlyAction<SendAttempt>(advanceTime(1900ms)).Ticket_ == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_endpoint)

BOOST_AUTO_TEST_CASE(that_reports_leaving_gets_no_further_attempts) {
  start({executor("e1", "bodrum")});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1));
  endAttempt(Sent, AttemptResult::Completed, 10ms, ObservedLoad{0, 8, true});
  // The list lags and shows it live.
  handle(EndpointsListed{{executor("e1", "bodrum")}});
  advanceTime(10ms);
  BOOST_TEST(
      isNotRun(onlyAction<AnswerCaller>(arrive(2)), NotRunReason::NoEndpoint));
  // Its name at another address is another endpoint.
  ListedInstance Replaced = executor("e1", "bodrum");
  Replaced.Http_.Port_ = 8001;
  handle(EndpointsListed{{Replaced}});
  BOOST_TEST(onlyAction<SendAttempt>(arrive(3)).Address_.Port_ == 8001);
}

BOOST_AUTO_TEST_CASE(that_peers_report_leaving_gets_no_further_attempts) {
  start({executor("e1", "bodrum")});
  handle(PeerEndpointReports{{{EndpointName("e1"), 0, true, 1s}}});
  BOOST_TEST(
      isNotRun(onlyAction<AnswerCaller>(arrive(1)), NotRunReason::NoEndpoint));
}

BOOST_AUTO_TEST_CASE(is_reported_to_peers_when_leaving_or_recently_observed) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum"),
         executor("e3", "bodrum")});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1));
  endAttempt(Sent, AttemptResult::Completed, 10ms, ObservedLoad{3, 8, false});
  EndpointName LeavingEndpoint(Sent.Endpoint_.str() == "e1" ? "e2" : "e1");
  handle(PeerEndpointReports{{{LeavingEndpoint, 0, true, 1s}}});
  advanceTime(100ms);
  std::vector<PeerEndpointReport> Reports =
      Router_.endpointReports(Now_, 500ms);
  BOOST_REQUIRE(Reports.size() == 2U);
  for (const PeerEndpointReport &Report : Reports) {
    BOOST_TEST(Report.Leaving_ == (Report.Endpoint_ == LeavingEndpoint));
    if (Report.Leaving_)
      continue;
    BOOST_TEST((Report.Endpoint_ == Sent.Endpoint_));
    BOOST_TEST(Report.InFlight_ == 3);
    BOOST_TEST((Report.Age_ == 100ms));
  }
  BOOST_TEST(Router_.endpointReports(Now_, 50ms).size() == 1U);
}

BOOST_AUTO_TEST_CASE(that_was_unlisted_while_leaving_still_counts_as_leaving) {
  ListedInstance Leaving = executor("e1", "bodrum");
  Leaving.State_ = InstanceState::Leaving;
  start({Leaving});
  handle(EndpointsListed{});
  handle(EndpointsListed{{executor("e1", "bodrum")}});
  BOOST_TEST(
      isNotRun(onlyAction<AnswerCaller>(arrive(1)), NotRunReason::NoEndpoint));
}

BOOST_AUTO_TEST_CASE(that_timed_out_has_its_old_connections_dropped) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum")});
  endAttempt(onlyAction<SendAttempt>(arrive(1, false)),
             AttemptResult::Completed);
  advanceTime(10ms);
  endAttempt(onlyAction<SendAttempt>(arrive(2, false)),
             AttemptResult::Completed);
  advanceTime(10ms);
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(3, false));
  advanceTime(1s);
  std::vector<RoutingAction> Out =
      endAttempt(Sent, AttemptResult::TimedOut, 1s);
  DropConnections Drop = onlyAction<DropConnections>(Out);
  BOOST_TEST((Drop.Endpoint_ == Sent.Endpoint_));
  BOOST_TEST((Drop.OpenedBefore_ == Now_));
  // It is tried once more, on a new connection, by a request that may repeat.
  SendAttempt Probe = onlyAction<SendAttempt>(arrive(4));
  BOOST_TEST((Probe.Endpoint_ == Sent.Endpoint_));
  BOOST_TEST(Probe.FreshConnection_);
}

BOOST_AUTO_TEST_CASE(that_cannot_be_reached_waits_for_probation) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum")});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1));
  SendAttempt Other =
      onlyAction<SendAttempt>(endAttempt(Sent, AttemptResult::ConnectFailed));
  for (std::uint64_t Ticket = 2; Ticket < 6; ++Ticket) {
    advanceTime(10ms);
    BOOST_TEST(
        (onlyAction<SendAttempt>(arrive(Ticket)).Endpoint_ == Other.Endpoint_));
  }
  advanceTime(Config_.Health_.SuspectTime_);
  SendAttempt Probe = onlyAction<SendAttempt>(arrive(6));
  BOOST_TEST((Probe.Endpoint_ == Sent.Endpoint_));
  BOOST_TEST((onlyAction<SendAttempt>(arrive(7)).Endpoint_ == Other.Endpoint_));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_availability_zone)

BOOST_AUTO_TEST_CASE(of_this_instance_is_preferred_while_it_has_free_capacity) {
  start({executor("e1", "bodrum", 2), executor("e2", "marmaris", 2)});
  for (std::uint64_t Ticket : {1, 2}) {
    advanceTime(2ms);
    BOOST_TEST(onlyAction<SendAttempt>(arrive(Ticket, false)).Zone_.str() ==
               "bodrum");
  }
  advanceTime(2ms);
  BOOST_TEST(arrive(3, false).empty());
  // After half of the extra round trip, waiting is no longer worth it.
  BOOST_TEST(onlyAction<SendAttempt>(advanceTime(4ms)).Zone_.str() ==
             "marmaris");
}

BOOST_AUTO_TEST_CASE(out_of_service_gets_no_new_attempt) {
  start({executor("e1", "bodrum"), executor("e2", "marmaris")});
  handle(ZoneChanged{ZoneName("bodrum"), false});
  BOOST_TEST(onlyAction<SendAttempt>(arrive(1)).Zone_.str() == "marmaris");
  handle(ZoneChanged{ZoneName("marmaris"), false});
  advanceTime(2ms);
  BOOST_TEST(
      isNotRun(onlyAction<AnswerCaller>(arrive(2)), NotRunReason::NoEndpoint));
  handle(ZoneChanged{ZoneName("bodrum"), true});
  BOOST_TEST(onlyAction<SendAttempt>(arrive(3)).Zone_.str() == "bodrum");
}

BOOST_AUTO_TEST_CASE(excluded_by_the_contract_gets_none_of_its_requests) {
  start({executor("e1", "bodrum"), executor("e2", "marmaris")});
  Contract Terms = contract("a");
  Terms.Zones_ = {ZoneName("marmaris")};
  handle(ContractsChanged{{Terms}});
  for (std::uint64_t Ticket = 1; Ticket < 5; ++Ticket) {
    advanceTime(2ms);
    BOOST_TEST(onlyAction<SendAttempt>(arrive(Ticket)).Zone_.str() ==
               "marmaris");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(contracts)

BOOST_AUTO_TEST_CASE(share_scarce_endpoints_by_weight) {
  Contract Heavy = contract("b");
  Heavy.Weight_ = 3;
  handle(ContractsChanged{{contract("a"), Heavy}});
  handle(ShareChanged{ContractName("a"), 1000});
  handle(ShareChanged{ContractName("b"), 1000});
  handle(EndpointsListed{{executor("e1", "bodrum", 1)}});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1, false));
  for (std::uint64_t Ticket = 2; Ticket < 42; ++Ticket) {
    advanceTime(1ms);
    arrive(Ticket, false, Ticket % 2 == 0 ? "a" : "b");
  }
  int Light = 0;
  for (int Step = 0; Step < 20; ++Step) {
    advanceTime(1ms);
    Sent = onlyAction<SendAttempt>(
        endAttempt(Sent, AttemptResult::Completed, 1ms));
    if (Sent.Ticket_ % 2 == 0)
      ++Light;
  }
  BOOST_TEST(Light >= 4);
  BOOST_TEST(Light <= 6);
}

BOOST_AUTO_TEST_CASE(that_end_have_their_queued_requests_answered) {
  start({executor("e1", "bodrum", 1)});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1, false));
  advanceTime(2ms);
  BOOST_TEST(arrive(2, false).empty());
  AnswerCaller Answer = onlyAction<AnswerCaller>(handle(ContractsChanged{}));
  BOOST_TEST(Answer.Ticket_ == 2);
  BOOST_TEST(isNotRun(Answer, NotRunReason::UnknownContract));
  onlyAction<AnswerCaller>(endAttempt(Sent, AttemptResult::Completed));
}

BOOST_AUTO_TEST_CASE(are_served_to_the_end_while_draining) {
  start({executor("e1", "bodrum", 1)});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1, false));
  advanceTime(2ms);
  arrive(2, false);
  handle(DrainStarted{});
  Sent = onlyAction<SendAttempt>(endAttempt(Sent, AttemptResult::Completed));
  BOOST_TEST(Sent.Ticket_ == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
