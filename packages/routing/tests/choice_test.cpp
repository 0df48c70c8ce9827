#include "router_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::routing;
using namespace filbertspring::routing::routing_test;

namespace {

/// A router whose contract "a" usually takes 10 ms.
struct WarmFixture : RouterFixture {
  void warmUp(const std::vector<ListedInstance> &Endpoints) {
    start(Endpoints);
    end(only<SendAttempt>(arrive(1000)), AttemptResult::Completed, 10ms);
    pass(10ms);
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
    while (!allOf<SendAttempt>(Out).empty()) {
      SendAttempt Sent = allOf<SendAttempt>(Out).front();
      bool OnSlow = Sent.Endpoint_.str() == "e1";
      Slow += OnSlow ? 1 : 0;
      Out = end(Sent, AttemptResult::Completed, OnSlow ? 200ms : 10ms);
    }
  };
  std::uint64_t Ticket = 0;
  for (int Round = 0; Round < 40; ++Round) {
    pass(2ms);
    Serve(arrive(++Ticket, false));
  }
  BOOST_TEST(Slow > 0);
  Slow = 0;
  for (int Round = 0; Round < 40; ++Round) {
    pass(2ms);
    Serve(arrive(++Ticket, false));
  }
  BOOST_TEST(Slow == 0);
}

BOOST_AUTO_TEST_CASE(prefers_the_one_with_less_load) {
  warmUp({executor("e1", "bodrum"), executor("e2", "bodrum")});
  int Loaded = 0;
  for (std::uint64_t Ticket = 1; Ticket <= 40; ++Ticket) {
    pass(2ms);
    tell(PeerEndpointReports{{{EndpointName("e1"), 7, false, 0us}}});
    SendAttempt Sent = only<SendAttempt>(arrive(Ticket, false));
    Loaded += Sent.Endpoint_.str() == "e1" ? 1 : 0;
    end(Sent, AttemptResult::Completed, 10ms);
  }
  // An eighth is expected when each of three samples is drawn alike, and half
  // when load does not count.
  BOOST_TEST(Loaded < 12);
}

BOOST_AUTO_TEST_CASE(holds_one_that_refuses_to_its_slots) {
  warmUp({executor("e1", "bodrum", 2)});
  SendAttempt Refused = only<SendAttempt>(arrive(1, false));
  end(Refused, AttemptResult::RefusedBusy, 1ms, ObservedLoad{2, 2, false});
  SendAttempt Again = only<SendAttempt>(pass(20ms));
  end(Again, AttemptResult::Completed, 10ms, ObservedLoad{0, 2, false});
  pass(5ms);
  tell(PeerEndpointReports{{{EndpointName("e1"), 2, false, 0us}}});
  BOOST_TEST(arrive(2, false).empty());
}

BOOST_AUTO_TEST_CASE(goes_on_after_many_refusals) {
  std::vector<ListedInstance> Endpoints;
  Endpoints.reserve(8);
  for (int Index = 0; Index < 8; ++Index)
    Endpoints.push_back(executor("e" + std::to_string(Index), "bodrum"));
  start(Endpoints);
  SendAttempt Sent = only<SendAttempt>(arrive(1, false));
  for (int Round = 0; Round < 7; ++Round)
    Sent = only<SendAttempt>(end(Sent, AttemptResult::RefusedBusy, 1ms));
  AnswerCaller Answer = only<AnswerCaller>(end(Sent, AttemptResult::Completed));
  BOOST_TEST((Answer.Outcome_ == RequestOutcome::Completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_the_time_to_hedge)

BOOST_AUTO_TEST_CASE(is_later_while_endpoints_are_loaded) {
  warmUp({executor("e1", "bodrum", 1), executor("e2", "bodrum", 1)});
  SendAttempt Sent = only<SendAttempt>(arrive(1));
  EndpointName Other(Sent.Endpoint_.str() == "e1" ? "e2" : "e1");
  tell(PeerEndpointReports{{{Other, 1, false, 0us}}});
  BOOST_TEST(allOf<SendAttempt>(pass(35ms)).empty());
  BOOST_TEST((only<SendAttempt>(pass(10ms)).Endpoint_ == Other));
}

BOOST_AUTO_TEST_CASE(also_tells_that_connections_may_be_silent) {
  warmUp({executor("e1", "bodrum"), executor("e2", "bodrum")});
  SendAttempt Sent = only<SendAttempt>(arrive(1));
  DropConnections Drop = only<DropConnections>(pass(45ms));
  BOOST_TEST((Drop.Endpoint_ == Sent.Endpoint_));
}

BOOST_AUTO_TEST_CASE(tells_so_of_non_idempotent_requests_too) {
  warmUp({executor("e1", "bodrum"), executor("e2", "bodrum")});
  SendAttempt Sent = only<SendAttempt>(arrive(1, false));
  std::vector<RoutingAction> Out = pass(45ms);
  BOOST_TEST((only<DropConnections>(Out).Endpoint_ == Sent.Endpoint_));
  BOOST_TEST(allOf<SendAttempt>(Out).empty());
}

BOOST_AUTO_TEST_CASE(tells_so_although_some_connections_still_answer) {
  warmUp({executor("e1", "bodrum")});
  std::size_t Drops = 0;
  std::uint64_t Ticket = 0;
  for (int Round = 0; Round < 5; ++Round) {
    only<SendAttempt>(arrive(++Ticket));
    std::vector<RoutingAction> Out = pass(30ms);
    end(only<SendAttempt>(arrive(++Ticket)), AttemptResult::Completed, 10ms);
    std::vector<RoutingAction> Late = pass(15ms);
    Drops += allOf<DropConnections>(Out).size();
    Drops += allOf<DropConnections>(Late).size();
  }
  BOOST_TEST(Drops == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_the_next_request)

BOOST_AUTO_TEST_CASE(takes_the_earliest_deadline_first) {
  start({executor("e1", "bodrum", 1)});
  SendAttempt Sent = only<SendAttempt>(arrive(1, false));
  pass(2ms);
  arrive(2, false);
  pass(2ms);
  tell(RequestArrived{3, RequestId("r"), ContractName("a"),
                      ServiceName("check"), Now_ + 1s, false});
  BOOST_TEST(only<SendAttempt>(end(Sent, AttemptResult::Completed)).Ticket_ ==
             3);
}

BOOST_AUTO_TEST_CASE(gives_a_short_queue_its_turn_before_a_long_one) {
  warmUp({executor("e1", "bodrum", 1), executor("e2", "marmaris", 1)});
  tell(ContractsChanged{{contract("a"), contract("b")}});
  tell(ShareChanged{ContractName("b"), 1000});
  only<SendAttempt>(arrive(1, false));
  std::vector<RoutingAction> Out;
  for (std::uint64_t Ticket = 2; Ticket < 12; ++Ticket) {
    pass(1ms);
    std::vector<RoutingAction> More = arrive(Ticket, false);
    Out.insert(Out.end(), More.begin(), More.end());
  }
  SendAttempt Remote = only<SendAttempt>(Out);
  BOOST_TEST(Remote.Zone_.str() == "marmaris");
  arrive(20, false, "b");
  SendAttempt Next = only<SendAttempt>(end(Remote, AttemptResult::Completed));
  BOOST_TEST(Next.Ticket_ == 20);
}

BOOST_AUTO_TEST_CASE(sheds_one_that_would_miss_its_deadline) {
  start({executor("e1", "bodrum", 2)});
  end(only<SendAttempt>(arrive(1, false)), AttemptResult::Completed, 300ms);
  pass(10ms);
  SendAttempt First = only<SendAttempt>(arrive(2, false));
  pass(10ms);
  only<SendAttempt>(arrive(3, false));
  pass(10ms);
  BOOST_TEST(arrive(4, false).empty());
  pass(1800ms);
  std::vector<RoutingAction> Out = end(First, AttemptResult::Completed, 300ms);
  BOOST_TEST(allOf<SendAttempt>(Out).empty());
  std::vector<AnswerCaller> Answers = allOf<AnswerCaller>(Out);
  BOOST_TEST(Answers.size() == 2U);
  BOOST_TEST(Answers.back().Ticket_ == 4);
  BOOST_TEST(isNotRun(Answers.back(), NotRunReason::WaitTooLong));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
