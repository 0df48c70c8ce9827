#include "router_fixture.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <tuple>

using namespace filbertspring;
using namespace filbertspring::routing;
using namespace filbertspring::routing::routing_test;

namespace {

/// One request of a run without faults.
struct Plan {
  std::uint64_t Ticket_ = 0;
  Duration After_{};
  Duration Service_{};
  bool Idempotent_ = true;
  bool KnownContract_ = true;
};

constexpr int ExecutorCount = 3;
constexpr std::int64_t SlotsEach = 2;

std::vector<Plan> drawPlans() {
  std::vector<Plan> Plans(*rc::gen::inRange<std::size_t>(1, 60));
  std::uint64_t Ticket = 0;
  for (Plan &Request : Plans) {
    Request.Ticket_ = ++Ticket;
    Request.After_ = Duration(*rc::gen::inRange(1000, 8000));
    Request.Service_ = Duration(*rc::gen::inRange(1000, 20000));
    Request.Idempotent_ = *rc::gen::arbitrary<bool>();
    Request.KnownContract_ = *rc::gen::inRange(0, 8) != 0;
  }
  return Plans;
}

/// Reference model: a FIFO queue and any free slot, without limits, budgets or
/// hedges. Returns the tickets of the completed requests.
std::set<std::uint64_t> runReference(const std::vector<Plan> &Plans) {
  std::set<std::uint64_t> Completed;
  std::deque<Plan> Queue;
  std::multimap<TimePoint, std::uint64_t> Running;
  TimePoint Now;
  auto Start = [&] {
    constexpr auto Capacity =
        static_cast<std::size_t>(ExecutorCount * SlotsEach);
    while (!Queue.empty() && Running.size() < Capacity) {
      Running.emplace(Now + Queue.front().Service_, Queue.front().Ticket_);
      Queue.pop_front();
    }
  };
  auto FinishUntil = [&](TimePoint End) {
    while (!Running.empty() && Running.begin()->first <= End) {
      Now = Running.begin()->first;
      Completed.insert(Running.begin()->second);
      Running.erase(Running.begin());
      Start();
    }
    Now = End;
  };
  for (const Plan &Request : Plans) {
    FinishUntil(Now + Request.After_);
    if (Request.KnownContract_)
      Queue.push_back(Request);
    Start();
  }
  FinishUntil(Now + 1h);
  return Completed;
}

/// Runs the router against executors that answer each attempt after the planned
/// service time.
class RouterRun {
public:
  explicit RouterRun(const std::vector<Plan> &Plans) {
    std::vector<ListedInstance> Executors;
    Executors.reserve(ExecutorCount);
    for (int Index = 0; Index < ExecutorCount; ++Index)
      Executors.push_back(
          executor("e" + std::to_string(Index), "bodrum", SlotsEach));
    Fixture_.start(Executors);
    for (const Plan &Request : Plans)
      Plans_[Request.Ticket_] = Request;
  }

  std::set<std::uint64_t> run(const std::vector<Plan> &Plans) {
    for (const Plan &Request : Plans) {
      advance(Fixture_.Now_ + Request.After_);
      process(Fixture_.arrive(Request.Ticket_, Request.Idempotent_,
                              Request.KnownContract_ ? "a" : "missing"));
    }
    advance(Fixture_.Now_ + 10s);
    return Completed_;
  }

  std::map<std::uint64_t, int> Answers_;

private:
  void advance(TimePoint End) {
    while (!Running_.empty() && Running_.begin()->first <= End) {
      auto [Due, Sent] = *Running_.begin();
      Running_.erase(Running_.begin());
      process(Fixture_.advanceTime(Due - Fixture_.Now_));
      --InFlight_[Sent.Endpoint_];
      ObservedLoad Load{InFlight_[Sent.Endpoint_], SlotsEach, false};
      process(Fixture_.endAttempt(Sent, AttemptResult::Completed,
                                  Plans_[Sent.Ticket_].Service_, Load));
    }
    process(Fixture_.advanceTime(End - Fixture_.Now_));
  }

  void process(const std::vector<RoutingAction> &Out) {
    for (const SendAttempt &Sent : actionsOf<SendAttempt>(Out)) {
      ++InFlight_[Sent.Endpoint_];
      TimePoint Due = Fixture_.Now_ + Plans_[Sent.Ticket_].Service_;
      Running_.emplace(Due, Sent);
    }
    for (const AnswerCaller &Answer : actionsOf<AnswerCaller>(Out)) {
      ++Answers_[Answer.Ticket_];
      if (Answer.Outcome_ == RequestOutcome::Completed)
        Completed_.insert(Answer.Ticket_);
    }
  }

  RouterFixture Fixture_;
  std::map<std::uint64_t, Plan> Plans_;
  std::multimap<TimePoint, SendAttempt> Running_;
  std::map<EndpointName, std::int64_t> InFlight_;
  std::set<std::uint64_t> Completed_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(router_without_faults)

BOOST_AUTO_TEST_CASE(completes_the_same_requests_as_a_naive_router) {
  bool Same = rc::check("same set of completed requests", [] {
    std::vector<Plan> Plans = drawPlans();
    RouterRun Run(Plans);
    std::set<std::uint64_t> Completed = Run.run(Plans);
    RC_ASSERT(Completed == runReference(Plans));
    for (const Plan &Request : Plans)
      RC_ASSERT(Run.Answers_[Request.Ticket_] == 1);
  });
  BOOST_TEST(Same);
}

BOOST_AUTO_TEST_SUITE_END()
