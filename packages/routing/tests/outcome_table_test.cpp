#include "router_fixture.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <set>

using namespace filbertspring;
using namespace filbertspring::routing;
using namespace filbertspring::routing::routing_test;

namespace {

/// Drives a new router to the answer of one reason, and returns all actions.
using Scenario = std::vector<RoutingAction> (*)(RouterFixture &);

std::vector<RoutingAction> refuseAll(RouterFixture &Fixture,
                                     AttemptResult Result) {
  Fixture.start({executor("e1", "bodrum"), executor("e2", "bodrum"),
                 executor("e3", "bodrum"), executor("e4", "bodrum")});
  std::vector<RoutingAction> All = Fixture.arrive(1, false);
  std::vector<RoutingAction> Last = All;
  while (actionsOf<AnswerCaller>(Last).empty()) {
    // Endpoints that were busy are tried again after a while.
    bool Sent = !actionsOf<SendAttempt>(Last).empty();
    Last = Sent ? Fixture.endAttempt(onlyAction<SendAttempt>(Last), Result)
                : Fixture.advanceTime(Fixture.Config_.Health_.BusyBackoff_);
    All.insert(All.end(), Last.begin(), Last.end());
  }
  return All;
}

/// Starts a single endpoint with one slot, and fills it with ticket 1.
SendAttempt fill(RouterFixture &Fixture) {
  Fixture.start({executor("e1", "bodrum", 1)});
  return onlyAction<SendAttempt>(Fixture.arrive(1, false));
}

struct Case {
  NotRunReason Reason_;
  Scenario Run_;
};

const std::vector<Case> Cases = {
    {NotRunReason::UnknownContract,
     [](RouterFixture &Fixture) { return Fixture.arrive(9); }},
    {NotRunReason::UnknownService,
     [](RouterFixture &Fixture) {
       Fixture.start({executor("e1", "bodrum")});
       return Fixture.handle(
           RequestArrived{9, RequestId("r"), ContractName("a"),
                          ServiceName("other"), Fixture.Now_ + 1s, true});
     }},
    {NotRunReason::Draining,
     [](RouterFixture &Fixture) {
       Fixture.start({executor("e1", "bodrum")});
       Fixture.handle(DrainStarted{});
       return Fixture.arrive(9);
     }},
    {NotRunReason::NoShare,
     [](RouterFixture &Fixture) {
       Fixture.start({executor("e1", "bodrum")});
       Fixture.handle(ShareChanged{ContractName("a"), 0});
       return Fixture.arrive(9);
     }},
    {NotRunReason::RateLimited,
     [](RouterFixture &Fixture) {
       Fixture.start({executor("e1", "bodrum")});
       Fixture.arrive(1);
       return Fixture.arrive(9);
     }},
    {NotRunReason::QueueFull,
     [](RouterFixture &Fixture) {
       Fixture.Config_.MaxQueued_ = 16;
       Fixture.Router_ = Router(Fixture.Config_, 1);
       fill(Fixture);
       for (std::uint64_t Ticket = 2; Ticket < 2 + 16; ++Ticket) {
         Fixture.advanceTime(1ms);
         Fixture.arrive(Ticket, false);
       }
       return Fixture.arrive(99999, false);
     }},
    {NotRunReason::WaitTooLong,
     [](RouterFixture &Fixture) {
       Fixture.endAttempt(fill(Fixture), AttemptResult::Completed, 1500ms);
       Fixture.advanceTime(100ms);
       Fixture.arrive(2, false);
       Fixture.arrive(3, false);
       return Fixture.arrive(9, false);
     }},
    {NotRunReason::DeadlinePassed,
     [](RouterFixture &Fixture) {
       fill(Fixture);
       Fixture.advanceTime(10ms);
       Fixture.arrive(9, false);
       return Fixture.advanceTime(2s);
     }},
    {NotRunReason::NoEndpoint,
     [](RouterFixture &Fixture) {
       Fixture.start({});
       return Fixture.arrive(9);
     }},
    {NotRunReason::EndpointsBusy,
     [](RouterFixture &Fixture) {
       return refuseAll(Fixture, AttemptResult::RefusedBusy);
     }},
    {NotRunReason::EndpointsUnreachable,
     [](RouterFixture &Fixture) {
       return refuseAll(Fixture, AttemptResult::ConnectFailed);
     }},
    {NotRunReason::CallerDisconnected,
     [](RouterFixture &Fixture) {
       fill(Fixture);
       Fixture.advanceTime(10ms);
       Fixture.arrive(9, false);
       return Fixture.handle(CallerDisconnected{9});
     }},
};

} // namespace

BOOST_AUTO_TEST_SUITE(outcome_table)

BOOST_AUTO_TEST_CASE(has_its_rows_in_the_order_of_the_reasons) {
  for (std::size_t Index = 0; Index < NotRunTable.size(); ++Index)
    BOOST_TEST((static_cast<std::size_t>(NotRunTable[Index].Reason_) == Index));
}

BOOST_AUTO_TEST_CASE(names_only_statuses_of_the_protocol) {
  const std::set<std::int32_t> Allowed = {404, 429, 503, 504};
  for (const NotRunRow &Row : NotRunTable)
    BOOST_TEST(Allowed.contains(Row.HttpStatus_), Row.Name_);
}

BOOST_AUTO_TEST_CASE(has_a_scenario_for_each_row_in_which_nothing_ran) {
  std::set<NotRunReason> Seen;
  for (const Case &Item : Cases) {
    const NotRunRow &Row = notRunRow(Item.Reason_);
    RouterFixture Fixture;
    std::vector<RoutingAction> Out = Item.Run_(Fixture);
    AnswerCaller Answer = onlyAction<AnswerCaller>(Out);
    BOOST_TEST(isNotRun(Answer, Item.Reason_), Row.Name_);
    bool Sent = false;
    for (const SendAttempt &Attempt : actionsOf<SendAttempt>(Out))
      Sent = Sent || Attempt.Ticket_ == Answer.Ticket_;
    BOOST_TEST((!Sent || Row.AfterAttempts_), Row.Name_);
    Seen.insert(Item.Reason_);
  }
  BOOST_TEST(Seen.size() == NotRunTable.size());
}

BOOST_AUTO_TEST_CASE(answers_unknown_once_the_request_may_have_run) {
  for (AttemptResult Result :
       {AttemptResult::ConnectionLost, AttemptResult::TimedOut,
        AttemptResult::RequestIdMismatch, AttemptResult::Truncated}) {
    RouterFixture Fixture;
    Fixture.start({executor("e1", "bodrum"), executor("e2", "bodrum")});
    SendAttempt Sent = onlyAction<SendAttempt>(Fixture.arrive(1, false));
    std::vector<RoutingAction> Out = Fixture.endAttempt(Sent, Result);
    BOOST_TEST(actionsOf<SendAttempt>(Out).empty());
    BOOST_TEST(
        (onlyAction<AnswerCaller>(Out).Outcome_ == RequestOutcome::Unknown));
  }
}

BOOST_AUTO_TEST_SUITE_END()
