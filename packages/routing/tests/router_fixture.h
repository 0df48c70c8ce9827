#ifndef FILBERTSPRING_ROUTING_TESTS_ROUTER_FIXTURE_H
#define FILBERTSPRING_ROUTING_TESTS_ROUTER_FIXTURE_H

/// \file
/// A router with a virtual clock, and helpers to send it events.

#include "filbertspring/routing.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace filbertspring::routing::routing_test {

using namespace std::chrono_literals;

inline ListedInstance executor(const std::string &Name, const std::string &Zone,
                               std::int64_t Slots = 8) {
  ListedInstance Instance;
  Instance.Name_ = InstanceName(Name);
  Instance.Role_ = InstanceRole::Executor;
  Instance.Zone_ = ZoneName(Zone);
  Instance.Service_ = ServiceName("check");
  Instance.Slots_ = Slots;
  Instance.Http_ = {"10.0.0.1", 8000};
  return Instance;
}

inline Contract contract(const std::string &Name, std::int64_t Rate = 1000,
                         std::int64_t Concurrency = 100) {
  Contract Terms;
  Terms.Name_ = ContractName(Name);
  Terms.Team_ = TeamName("team");
  Terms.Services_ = {
      {ServiceName("check"), 250ms, 0.99, Rate, Concurrency, 2s, true}};
  return Terms;
}

/// A router with a virtual clock. Each call returns the resulting actions.
struct RouterFixture {
  RouterConfig Config_ = [] {
    RouterConfig Settings;
    Settings.Zone_ = ZoneName("bodrum");
    return Settings;
  }();
  Router Router_{Config_, 1};
  TimePoint Now_{1h};

  std::vector<RoutingAction> handle(const RoutingEvent &Event) {
    std::vector<RoutingAction> Out;
    Router_.handle(Event, Now_, Out);
    return Out;
  }

  /// Advances the clock by \p Time, with a Tick at each wake time of the
  /// router.
  std::vector<RoutingAction> advanceTime(Duration Time) {
    std::vector<RoutingAction> Out;
    TimePoint End = Now_ + Time;
    while (Router_.nextWake() && *Router_.nextWake() <= End) {
      Now_ = std::max(Now_, *Router_.nextWake());
      Router_.handle(Tick{}, Now_, Out);
    }
    Now_ = End;
    return Out;
  }

  /// Configures contract "a" with the whole share, and \p Endpoints.
  void start(const std::vector<ListedInstance> &Endpoints) {
    handle(ContractsChanged{{contract("a")}});
    handle(ShareChanged{ContractName("a"), 1000});
    handle(EndpointsListed{Endpoints});
  }

  std::vector<RoutingAction> arrive(std::uint64_t Ticket,
                                    bool Idempotent = true,
                                    const std::string &Name = "a") {
    return handle(RequestArrived{Ticket, RequestId("r"), ContractName(Name),
                                 ServiceName("check"), Now_ + 2s, Idempotent});
  }

  std::vector<RoutingAction> endAttempt(const SendAttempt &Sent,
                                        AttemptResult Result,
                                        Duration Elapsed = 10ms,
                                        std::optional<ObservedLoad> Load = {}) {
    return handle(AttemptEnded{Sent.Ticket_, Sent.Attempt_, Sent.Endpoint_,
                               Result, Load, Elapsed});
  }
};

template <typename Action>
std::vector<Action> actionsOf(const std::vector<RoutingAction> &Out) {
  std::vector<Action> Matches;
  for (const RoutingAction &Item : Out)
    if (const auto *Match = std::get_if<Action>(&Item))
      Matches.push_back(*Match);
  return Matches;
}

/// Returns the single action of type \p Action. Throws unless there is exactly
/// one.
template <typename Action>
Action onlyAction(const std::vector<RoutingAction> &Out) {
  std::vector<Action> Matches = actionsOf<Action>(Out);
  if (Matches.size() != 1)
    throw std::runtime_error("not exactly one action of the kind but " +
                             std::to_string(Matches.size()));
  return Matches.front();
}

inline bool isNotRun(const AnswerCaller &Answer, NotRunReason Reason) {
  return Answer.Outcome_ == RequestOutcome::NotRun && Answer.Reason_ == Reason;
}

} // namespace filbertspring::routing::routing_test

#endif // FILBERTSPRING_ROUTING_TESTS_ROUTER_FIXTURE_H
