#include "route_desk.h"

#include "../process_name.h"

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/log.h"
#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring {
namespace {

constexpr Duration MaxRouteWait = std::chrono::milliseconds(50);

routing::RouterConfig routerConfig(const Settings &Values) {
  routing::RouterConfig Config;
  Config.Zone_ = Values.Zone_;
  Config.MaxQueued_ = static_cast<std::size_t>(Values.Requests_.QueueLimit_);
  Config.Retry_.BudgetFraction_ = Values.Requests_.RetryBudget_;
  Config.Health_.MaxIdleTime_ = Values.Requests_.IdleReuse_;
  return Config;
}

} // namespace

RouteDesk::RouteDesk(const Settings &Values, TicketDesk &Tickets,
                     CounterRegistry &Counters)
    : Tickets_(Tickets), Counters_(Counters),
      Router_(routerConfig(Values), freshSeed()), Events_(RingCapacity),
      Exchanges_(
          static_cast<std::size_t>(Values.Listen_.MaxConnections_),
          Values.Requests_.IdleReuse_, Tickets,
          [this](routing::AttemptEnded Ended) { postEnded(std::move(Ended)); }),
      Thread_([this] { run(); }) {}

RouteDesk::~RouteDesk() { stop(); }

bool RouteDesk::post(routing::RoutingEvent Event) {
  return Events_.tryPush(std::move(Event));
}

void RouteDesk::postShare(const ContractName &Contract, std::int32_t Permille,
                          TimePoint Until) {
  std::scoped_lock Lock(Mutex_);
  Shares_[Contract] = {Permille, Until};
}

/// Tells the router which shares are in force at \p Now. It runs before each
/// event, so that a process that was paused does not use a share that ended.
void RouteDesk::endShares(TimePoint Now) {
  std::vector<routing::RoutingAction> Actions;
  {
    std::scoped_lock Lock(Mutex_);
    for (const auto &[Contract, Held] : Shares_) {
      std::int32_t Permille = Now < Held.Until_ ? Held.Permille_ : 0;
      auto [Known, Fresh] = RouterShares_.try_emplace(Contract, -1);
      if (Known->second == Permille)
        continue;
      Known->second = Permille;
      Router_.handle(routing::ShareChanged{Contract, Permille}, Now, Actions);
    }
  }
  for (const routing::RoutingAction &Action : Actions)
    perform(Action);
}

/// Hands the end of an attempt to the router. The router counts attempts, so
/// an end must not be dropped; an exchange thread may wait for room.
void RouteDesk::postEnded(routing::AttemptEnded Ended) {
  Counters_
      .counter("filbertspring_attempts_total",
               fmt::format("result=\"{}\"",
                           nameOf(routing::AttemptResultNames, Ended.Result_)))
      .add();
  while (!Events_.tryPush(Ended) && !Stopping_)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

Duration RouteDesk::waitTime() const {
  std::optional<TimePoint> Wake = Router_.nextWake();
  if (!Wake)
    return MaxRouteWait;
  return std::clamp(*Wake - SchedulerClock::now(), Duration::zero(),
                    MaxRouteWait);
}

void RouteDesk::run() {
  while (!Stopping_) {
    std::optional<routing::RoutingEvent> Event = Events_.popFor(waitTime());
    handle(Event ? *Event : routing::RoutingEvent(routing::Tick{}));
    while (!Immediate_.empty()) {
      routing::RoutingEvent Next = std::move(Immediate_.back());
      Immediate_.pop_back();
      handle(Next);
    }
    std::scoped_lock Lock(Mutex_);
    Counts_ = Router_.counts();
  }
}

void RouteDesk::handle(const routing::RoutingEvent &Event) {
  if (const auto *Listed = std::get_if<routing::EndpointsListed>(&Event))
    for (const ListedInstance &Each : Listed->Instances_)
      Addresses_[EndpointName(Each.Name_.str())] = Each.Http_;
  const auto *Ended = std::get_if<routing::AttemptEnded>(&Event);
  if (Ended != nullptr && Ended->Load_) {
    std::scoped_lock Lock(Mutex_);
    Loads_[Ended->Endpoint_] = *Ended->Load_;
  }
  TimePoint Now = SchedulerClock::now();
  endShares(Now);
  std::vector<routing::RoutingAction> Actions;
  Router_.handle(Event, Now, Actions);
  for (const routing::RoutingAction &Action : Actions)
    perform(Action);
}

void RouteDesk::perform(const routing::RoutingAction &Action) {
  std::visit(
      Overloaded{[this](const routing::SendAttempt &Attempt) { send(Attempt); },
                 [](const routing::CancelAttempt &) {
                   // The exchange runs to its end on its own thread; its answer
                   // is not passed on.
                 },
                 [this](const routing::AnswerCaller &Answer) {
                   Tickets_.answer(Answer.Ticket_,
                                   {Answer.Outcome_, Answer.Reason_,
                                    Answer.RetryAfter_, HttpAnswer()},
                                   Answer.Attempt_);
                 },
                 [this](const routing::DropConnections &Drop) {
                   logEvent(LogEvent::EndpointSuspected,
                            {{"endpoint", Drop.Endpoint_.str()}});
                   auto Found = Addresses_.find(Drop.Endpoint_);
                   if (Found != Addresses_.end())
                     Exchanges_.dropConnections(Found->second);
                 }},
      Action);
}

void RouteDesk::send(const routing::SendAttempt &Attempt) {
  if (Exchanges_.send(Attempt))
    return;
  routing::AttemptEnded Refused;
  Refused.Ticket_ = Attempt.Ticket_;
  Refused.Attempt_ = Attempt.Attempt_;
  Refused.Endpoint_ = Attempt.Endpoint_;
  Refused.Result_ = routing::AttemptResult::ConnectFailed;
  Immediate_.emplace_back(std::move(Refused));
}

std::map<EndpointName, routing::ObservedLoad> RouteDesk::takeLoads() {
  std::scoped_lock Lock(Mutex_);
  return std::exchange(Loads_, {});
}

routing::RouterCounts RouteDesk::counts() const {
  std::scoped_lock Lock(Mutex_);
  return Counts_;
}

void RouteDesk::stop() {
  if (!Thread_.joinable())
    return;
  Exchanges_.stop();
  Stopping_ = true;
  Thread_.join();
}

} // namespace filbertspring
