#include "router_impl.h"

#include <algorithm>
#include <utility>

namespace filbertspring::routing {
namespace {

/// Retry delay returned to the caller when no better estimate exists.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(60);

} // namespace

using routing::Flow;
using routing::Request;
using routing::TimerKind;

void Router::Impl::on(const RequestArrived &Event) {
  if (Requests_.contains(Event.Ticket_))
    return;
  Flow *ServiceFlow = findFlow(Event.Contract_, Event.Service_);
  TimePoint Deadline = Event.Deadline_;
  if (ServiceFlow)
    Deadline = std::min(Deadline, Now_ + ServiceFlow->Terms_.Deadline_);
  if (std::optional<NotRunReason> Reason = refusalReason(Event, Deadline)) {
    AnswerCaller Answer{Event.Ticket_, RequestOutcome::NotRun, *Reason};
    Answer.RetryAfter_ = retryAfter(*Reason, ServiceFlow);
    Out_->emplace_back(Answer);
    return;
  }
  Request Req;
  Req.Ticket_ = Event.Ticket_;
  Req.Flow_ = Flows_[{Event.Contract_, Event.Service_}];
  Req.Deadline_ = Deadline;
  Req.Idempotent_ = Event.Idempotent_;
  Request &Admitted =
      Requests_.emplace(Event.Ticket_, std::move(Req)).first->second;
  Timers_.add({Deadline, TimerKind::Deadline, Event.Ticket_, 0});
  enqueue(Admitted);
  dispatch(Event.Service_);
  scheduleSpill(Event.Ticket_);
}

std::optional<NotRunReason>
Router::Impl::refusalReason(const RequestArrived &Event, TimePoint Deadline) {
  if (Draining_)
    return NotRunReason::Draining;
  auto It = Contracts_.find(Event.Contract_);
  if (It == Contracts_.end())
    return NotRunReason::UnknownContract;
  Flow *ServiceFlow = findFlow(Event.Contract_, Event.Service_);
  if (!ServiceFlow)
    return NotRunReason::UnknownService;
  if (ServiceFlow->ConcurrencyLimit_ == 0)
    return NotRunReason::NoShare;
  if (Deadline <= Now_)
    return NotRunReason::DeadlinePassed;
  if (!Endpoints_.anyAvailable(It->second->Terms_, Event.Service_))
    return NotRunReason::NoEndpoint;
  return overloadReason(*ServiceFlow, Deadline);
}

std::optional<NotRunReason> Router::Impl::overloadReason(Flow &ServiceFlow,
                                                         TimePoint Deadline) {
  if (ServiceFlow.queued() >= Config_.MaxQueued_)
    return NotRunReason::QueueFull;
  Duration Wait = ServiceFlow.predictedWait();
  auto Remaining = static_cast<double>((Deadline - Now_).count());
  bool TooLate =
      static_cast<double>(Wait.count()) > Remaining * Config_.MaxWaitFraction_;
  // A request that need not wait is admitted even so, because the latency
  // estimate is only updated by requests that run.
  if (Config_.EarlyShedding_ && Wait > Duration::zero() && TooLate)
    return NotRunReason::WaitTooLong;
  // Checked last, so that a request refused for another reason takes no token.
  if (!ServiceFlow.RateLimiter_.tryTake(Now_))
    return NotRunReason::RateLimited;
  return std::nullopt;
}

Duration Router::Impl::retryAfter(NotRunReason Reason, Flow *ServiceFlow) {
  Duration Wait = DefaultRetryAfter;
  if (ServiceFlow && Reason == NotRunReason::RateLimited)
    Wait = ServiceFlow->RateLimiter_.timeToNextToken(Now_);
  if (ServiceFlow && (Reason == NotRunReason::QueueFull ||
                      Reason == NotRunReason::WaitTooLong))
    Wait = std::max(Wait, ServiceFlow->predictedWait());
  return std::min(Wait, MaxRetryAfter);
}

Flow *Router::Impl::findFlow(const ContractName &Contract,
                             const ServiceName &Service) {
  auto It = Flows_.find({Contract, Service});
  bool InForce = It != Flows_.end() && It->second->InForce_;
  return InForce ? It->second.get() : nullptr;
}

} // namespace filbertspring::routing
