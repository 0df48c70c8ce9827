#include "router_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::routing;
using namespace filbertspring::routing::routing_test;

namespace {

/// A router whose contract "a" has a mean latency of 10 ms.
struct WarmFixture : RouterFixture {
  void warmUp(const std::vector<ListedInstance> &Endpoints) {
    start(Endpoints);
    endAttempt(onlyAction<SendAttempt>(arrive(1000)), AttemptResult::Completed,
               10ms);
    advanceTime(10ms);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(choice, WarmFixture)

BOOST_AUTO_TEST_SUITE(of_an_endpoint)

BOOST_AUTO_TEST_CASE(avoids_one_that_answers_slowly) {
  start({executor("e1", "bodrum"), executor("e2", "bodrum")});
  int Slow = 0;
  // Ends each attempt at once, and those that follow from its end.
  auto Serve = [&](std::vector<RoutingAction> Out) {
    while (!actionsOf<SendAttempt>(Out).empty()) {
      SendAttempt Sent = actionsOf<SendAttempt>(Out).front();
      bool OnSlow = Sent.Endpoint_.str() == "e1";
      Slow += OnSlow ? 1 : 0;
      Out = endAttempt(Sent, AttemptResult::Completed, OnSlow ? 200ms : 10ms);
    }
  };
  std::uint64_t Ticket = 0;
  for (int Round = 0; Round < 40; ++Round) {
    advanceTime(2ms);
    Serve(arrive(++Ticket, false));
  }
  BOOST_TEST(Slow > 0);
  Slow = 0;
  for (int Round = 0; Round < 40; ++Round) {
    advanceTime(2ms);
    Serve(arrive(++Ticket, false));
  }
  BOOST_TEST(Slow == 0);
}

BOOST_AUTO_TEST_CASE(prefers_the_one_with_less_load) {
  warmUp({executor("e1", "bodrum"), executor("e2", "bodrum")});
  int Loaded = 0;
  for (std::uint64_t Ticket = 1; Ticket <= 40; ++Ticket) {
    advanceTime(2ms);
    handle(PeerEndpointReports{{{EndpointName("e1"), 7, false, 0us}}});
    SendAttempt Sent = onlyAction<SendAttempt>(arrive(Ticket, false));
    Loaded += Sent.Endpoint_.str() == "e1" ? 1 : 0;
    endAttempt(Sent, AttemptResult::Completed, 10ms);
  }
  // The loaded endpoint is expected in 1/8 of the rounds, when all three
  // samples hit it, and in half of them when load is ignored.
  BOOST_TEST(Loaded < 12);
}

BOOST_AUTO_TEST_CASE(limits_one_that_refuses_to_its_slots) {
  warmUp({executor("e1", "bodrum", 2)});
  SendAttempt Refused = onlyAction<SendAttempt>(arrive(1, false));
  endAttempt(Refused, AttemptResult::RefusedBusy, 1ms,
             ObservedLoad{2, 2, false});
  SendAttempt Again = onlyAction<SendAttempt>(advanceTime(20ms));
  endAttempt(Again, AttemptResult::Completed, 10ms, ObservedLoad{0, 2, false});
  advanceTime(5ms);
  handle(PeerEndpointReports{{{EndpointName("e1"), 2, false, 0us}}});
  BOOST_TEST(arrive(2, false).empty());
}

BOOST_AUTO_TEST_CASE(retries_after_many_refusals) {
  std::vector<ListedInstance> Endpoints;
  Endpoints.reserve(8);
  for (int Index = 0; Index < 8; ++Index)
    Endpoints.push_back(executor("e" + std::to_string(Index), "bodrum"));
  start(Endpoints);
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1, false));
  for (int Round = 0; Round < 7; ++Round)
    Sent = onlyAction<SendAttempt>(
        endAttempt(Sent, AttemptResult::RefusedBusy, 1ms));
  AnswerCaller Answer =
      onlyAction<AnswerCaller>(endAttempt(Sent, AttemptResult::Completed));
  BOOST_TEST((Answer.Outcome_ == RequestOutcome::Completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_the_hedge_delay)

BOOST_AUTO_TEST_CASE(is_later_while_endpoints_are_loaded) {
  warmUp({executor("e1", "bodrum", 1), executor("e2", "bodrum", 1)});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1));
  EndpointName Other(Sent.Endpoint_.str() == "e1" ? "e2" : "e1");
  handle(PeerEndpointReports{{{Other, 1, false, 0us}}});
  BOOST_TEST(actionsOf<SendAttempt>(advanceTime(35ms)).empty());
  BOOST_TEST((onlyAction<SendAttempt>(advanceTime(10ms)).Endpoint_ == Other));
}

BOOST_AUTO_TEST_CASE(also_drops_connections_that_may_be_dead) {
  warmUp({executor("e1", "bodrum"), executor("e2", "bodrum")});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1));
  DropConnections Drop = onlyAction<DropConnections>(advanceTime(45ms));
  BOOST_TEST((Drop.Endpoint_ == Sent.Endpoint_));
}

BOOST_AUTO_TEST_CASE(drops_connections_for_non_idempotent_requests_too) {
  warmUp({executor("e1", "bodrum"), executor("e2", "bodrum")});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1, false));
  std::vector<RoutingAction> Out = advanceTime(45ms);
  BOOST_TEST((onlyAction<DropConnections>(Out).Endpoint_ == Sent.Endpoint_));
  BOOST_TEST(actionsOf<SendAttempt>(Out).empty());
}

BOOST_AUTO_TEST_CASE(drops_connections_although_some_still_answer) {
  warmUp({executor("e1", "bodrum")});
  std::size_t Drops = 0;
  std::uint64_t Ticket = 0;
  for (int Round = 0; Round < 5; ++Round) {
    onlyAction<SendAttempt>(arrive(++Ticket));
    std::vector<RoutingAction> Out = advanceTime(30ms);
    endAttempt(onlyAction<SendAttempt>(arrive(++Ticket)),
               AttemptResult::Completed, 10ms);
    std::vector<RoutingAction> Late = advanceTime(15ms);
    Drops += actionsOf<DropConnections>(Out).size();
    Drops += actionsOf<DropConnections>(Late).size();
  }
  BOOST_TEST(Drops == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_the_next_request)

BOOST_AUTO_TEST_CASE(takes_the_earliest_deadline_first) {
  start({executor("e1", "bodrum", 1)});
  SendAttempt Sent = onlyAction<SendAttempt>(arrive(1, false));
  advanceTime(2ms);
  arrive(2, false);
  advanceTime(2ms);
  handle(RequestArrived{3, RequestId("r"), ContractName("a"),
                        ServiceName("check"), Now_ + 1s, false});
  BOOST_TEST(onlyAction<SendAttempt>(endAttempt(Sent, AttemptResult::Completed))
                 .Ticket_ == 3);
}

BOOST_AUTO_TEST_CASE(prefers_a_short_queue_to_a_long_one) {
  warmUp({executor("e1", "bodrum", 1), executor("e2", "marmaris", 1)});
  handle(ContractsChanged{{contract("a"), contract("b")}});
  handle(ShareChanged{ContractName("b"), 1000});
  onlyAction<SendAttempt>(arrive(1, false));
  std::vector<RoutingAction> Out;
  for (std::uint64_t Ticket = 2; Ticket < 12; ++Ticket) {
    advanceTime(1ms);
    std::vector<RoutingAction> More = arrive(Ticket, false);
    Out.insert(Out.end(), More.begin(), More.end());
  }
  SendAttempt Remote = onlyAction<SendAttempt>(Out);
  BOOST_TEST(Remote.Zone_.str() == "marmaris");
  arrive(20, false, "b");
  SendAttempt Next =
      onlyAction<SendAttempt>(endAttempt(Remote, AttemptResult::Completed));
  BOOST_TEST(Next.Ticket_ == 20);
}

BOOST_AUTO_TEST_CASE(sheds_one_that_would_miss_its_deadline) {
  start({executor("e1", "bodrum", 2)});
  endAttempt(onlyAction<SendAttempt>(arrive(1, false)),
             AttemptResult::Completed, 300ms);
  advanceTime(10ms);
  SendAttempt First = onlyAction<SendAttempt>(arrive(2, false));
  advanceTime(10ms);
  onlyAction<SendAttempt>(arrive(3, false));
  advanceTime(10ms);
  BOOST_TEST(arrive(4, false).empty());
  advanceTime(1800ms);
  std::vector<RoutingAction> Out =
      endAttempt(First, AttemptResult::Completed, 300ms);
  BOOST_TEST(actionsOf<SendAttempt>(Out).empty());
  std::vector<AnswerCaller> Answers = actionsOf<AnswerCaller>(Out);
  BOOST_TEST(Answers.size() == 2U);
  BOOST_TEST(Answers.back().Ticket_ == 4);
  BOOST_TEST(isNotRun(Answers.back(), NotRunReason::WaitTooLong));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
