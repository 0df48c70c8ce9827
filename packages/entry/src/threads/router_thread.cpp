#include "router_thread.h"

#include "../process_name.h"

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/log.h"
#include "filbertspring/base/overloaded.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring {
namespace {

constexpr Duration MaxRouterWait = std::chrono::milliseconds(50);

routing::RouterConfig routerConfig(const Settings &Values) {
  routing::RouterConfig Config;
  Config.Zone_ = Values.Zone_;
  Config.MaxQueued_ = static_cast<std::size_t>(Values.Requests_.QueueLimit_);
  Config.Retry_.BudgetFraction_ = Values.Requests_.RetryBudget_;
  Config.Health_.MaxIdleTime_ = Values.Requests_.IdleReuse_;
  return Config;
}

} // namespace

RouterThread::RouterThread(const Settings &Values,
                           PendingRequestTable &PendingRequests,
                           CounterRegistry &Counters)
    : PendingRequests_(PendingRequests), Counters_(Counters),
      Router_(routerConfig(Values), randomSeed()), Events_(RingCapacity),
      AttemptSender_(static_cast<std::size_t>(Values.Listen_.MaxConnections_),
                     Values.Requests_.IdleReuse_, PendingRequests,
                     [this](routing::AttemptEnded Ended) {
                       postAttemptEnd(std::move(Ended));
                     }),
      Thread_([this] { run(); }) {}

RouterThread::~RouterThread() { stop(); }

bool RouterThread::post(routing::RoutingEvent Event) {
  return Events_.tryPush(std::move(Event));
}

void RouterThread::postShare(const ContractName &Contract,
                             std::int32_t Permille, TimePoint Until) {
  std::scoped_lock Lock(Mutex_);
  Shares_[Contract] = {Permille, Until};
}

/// Passes the shares that are in force at \p Now to the router. Called before
/// each event, so that a process that was paused does not use an expired share.
void RouterThread::updateShares(TimePoint Now) {
  std::vector<routing::RoutingAction> Actions;
  {
    std::scoped_lock Lock(Mutex_);
    for (const auto &[Contract, Grant] : Shares_) {
      std::int32_t Permille = Now < Grant.Until_ ? Grant.Permille_ : 0;
      auto [RouterShare, Inserted] = RouterShares_.try_emplace(Contract, -1);
      if (RouterShare->second == Permille)
        continue;
      RouterShare->second = Permille;
      Router_.handle(routing::ShareChanged{Contract, Permille}, Now, Actions);
    }
  }
  for (const routing::RoutingAction &Action : Actions)
    perform(Action);
}

/// Queues the end of an attempt for the router. The router counts attempts, so
/// this event must not be dropped: the sending thread waits while the queue is
/// full.
void RouterThread::postAttemptEnd(routing::AttemptEnded Ended) {
  Counters_
      .counter("filbertspring_attempts_total",
               fmt::format("result=\"{}\"",
                           nameOf(routing::AttemptResultNames, Ended.Result_)))
      .add();
  while (!Events_.tryPush(Ended) && !Stopping_)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

Duration RouterThread::waitTime() const {
  std::optional<TimePoint> Wake = Router_.nextWake();
  if (!Wake)
    return MaxRouterWait;
  return std::clamp(*Wake - SchedulerClock::now(), Duration::zero(),
                    MaxRouterWait);
}

void RouterThread::run() {
  while (!Stopping_) {
    std::optional<routing::RoutingEvent> Event = Events_.popFor(waitTime());
    handle(Event ? *Event : routing::RoutingEvent(routing::Tick{}));
    while (!ImmediateEvents_.empty()) {
      routing::RoutingEvent ImmediateEvent = std::move(ImmediateEvents_.back());
      ImmediateEvents_.pop_back();
      handle(ImmediateEvent);
    }
    std::scoped_lock Lock(Mutex_);
    Counts_ = Router_.counts();
  }
}

void RouterThread::handle(const routing::RoutingEvent &Event) {
  if (const auto *Listed = std::get_if<routing::EndpointsListed>(&Event))
    for (const ListedInstance &Instance : Listed->Instances_)
      Addresses_[EndpointName(Instance.Name_.str())] = Instance.Http_;
  const auto *Ended = std::get_if<routing::AttemptEnded>(&Event);
  if (Ended != nullptr && Ended->Load_) {
    std::scoped_lock Lock(Mutex_);
    Loads_[Ended->Endpoint_] = *Ended->Load_;
  }
  TimePoint Now = SchedulerClock::now();
  updateShares(Now);
  std::vector<routing::RoutingAction> Actions;
  Router_.handle(Event, Now, Actions);
  for (const routing::RoutingAction &Action : Actions)
    perform(Action);
}

void RouterThread::perform(const routing::RoutingAction &Action) {
  std::visit(
      Overloaded{[this](const routing::SendAttempt &Attempt) { send(Attempt); },
                 [](const routing::CancelAttempt &) {
                   // The exchange runs to its end on its own thread; its answer
                   // is discarded.
                 },
                 [this](const routing::AnswerCaller &Answer) {
                   PendingRequests_.answer(Answer.Ticket_,
                                           {Answer.Outcome_, Answer.Reason_,
                                            Answer.RetryAfter_, HttpAnswer()},
                                           Answer.Attempt_);
                 },
                 [this](const routing::DropConnections &Drop) {
                   logEvent(LogEvent::EndpointSuspected,
                            {{"endpoint", Drop.Endpoint_.str()}});
                   auto Found = Addresses_.find(Drop.Endpoint_);
                   if (Found != Addresses_.end())
                     AttemptSender_.dropConnections(Found->second);
                 }},
      Action);
}

void RouterThread::send(const routing::SendAttempt &Attempt) {
  if (AttemptSender_.send(Attempt))
    return;
  routing::AttemptEnded FailedAttempt;
  FailedAttempt.Ticket_ = Attempt.Ticket_;
  FailedAttempt.Attempt_ = Attempt.Attempt_;
  FailedAttempt.Endpoint_ = Attempt.Endpoint_;
  FailedAttempt.Result_ = routing::AttemptResult::ConnectFailed;
  ImmediateEvents_.emplace_back(std::move(FailedAttempt));
}

std::map<EndpointName, routing::ObservedLoad> RouterThread::takeLoads() {
  std::scoped_lock Lock(Mutex_);
  return std::exchange(Loads_, {});
}

routing::RouterCounts RouterThread::counts() const {
  std::scoped_lock Lock(Mutex_);
  return Counts_;
}

void RouterThread::stop() {
  if (!Thread_.joinable())
    return;
  AttemptSender_.stop();
  Stopping_ = true;
  Thread_.join();
}

} // namespace filbertspring
