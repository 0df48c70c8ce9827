#include "router_impl.h"

#include <algorithm>
#include <utility>

namespace filbertspring::routing {
namespace {

/// Advice where nothing says when a repeat may succeed.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(60);

} // namespace

using routing::Flow;
using routing::Request;
using routing::TimerKind;

void Router::Impl::on(const RequestArrived &Event) {
  if (Requests_.contains(Event.Ticket_))
    return;
  Flow *Member = findFlow(Event.Contract_, Event.Service_);
  TimePoint Deadline = Event.Deadline_;
  if (Member)
    Deadline = std::min(Deadline, Now_ + Member->Terms_.Deadline_);
  if (std::optional<NotRunReason> Reason = refusal(Event, Deadline)) {
    AnswerCaller Answer{Event.Ticket_, RequestOutcome::NotRun, *Reason};
    Answer.RetryAfter_ = retryAfter(*Reason, Member);
    Out_->emplace_back(Answer);
    return;
  }
  Request Item;
  Item.Ticket_ = Event.Ticket_;
  Item.Flow_ = Flows_[{Event.Contract_, Event.Service_}];
  Item.Deadline_ = Deadline;
  Item.Idempotent_ = Event.Idempotent_;
  Request &Held =
      Requests_.emplace(Event.Ticket_, std::move(Item)).first->second;
  Timers_.add({Deadline, TimerKind::Deadline, Event.Ticket_, 0});
  enqueue(Held);
  dispatch(Event.Service_);
  watchQueued(Event.Ticket_);
}

std::optional<NotRunReason> Router::Impl::refusal(const RequestArrived &Event,
                                                  TimePoint Deadline) {
  if (Draining_)
    return NotRunReason::Draining;
  auto Found = Contracts_.find(Event.Contract_);
  if (Found == Contracts_.end())
    return NotRunReason::UnknownContract;
  Flow *Member = findFlow(Event.Contract_, Event.Service_);
  if (!Member)
    return NotRunReason::UnknownService;
  if (Member->Limit_ == 0)
    return NotRunReason::NoShare;
  if (Deadline <= Now_)
    return NotRunReason::DeadlinePassed;
  if (!Endpoints_.anyAvailable(Found->second->Terms_, Event.Service_))
    return NotRunReason::NoEndpoint;
  return overload(*Member, Deadline);
}

std::optional<NotRunReason> Router::Impl::overload(Flow &Member,
                                                   TimePoint Deadline) {
  if (Member.queued() >= Config_.MaxQueued_)
    return NotRunReason::QueueFull;
  Duration Wait = Member.predictedWait();
  auto Left = static_cast<double>((Deadline - Now_).count());
  bool TooLate =
      static_cast<double>(Wait.count()) > Left * Config_.MaxWaitFraction_;
  // Without a queue it is sent, so that the estimate is renewed.
  if (Config_.EarlyShedding_ && Wait > Duration::zero() && TooLate)
    return NotRunReason::WaitTooLong;
  // Last, so that a request refused for another reason costs no token.
  if (!Member.Rate_.tryTake(Now_))
    return NotRunReason::RateLimited;
  return std::nullopt;
}

Duration Router::Impl::retryAfter(NotRunReason Reason, Flow *Member) {
  Duration Wait = DefaultRetryAfter;
  if (Member && Reason == NotRunReason::RateLimited)
    Wait = Member->Rate_.untilToken(Now_);
  if (Member && (Reason == NotRunReason::QueueFull ||
                 Reason == NotRunReason::WaitTooLong))
    Wait = std::max(Wait, Member->predictedWait());
  return std::min(Wait, MaxRetryAfter);
}

Flow *Router::Impl::findFlow(const ContractName &Contract,
                             const ServiceName &Service) {
  auto Found = Flows_.find({Contract, Service});
  bool Known = Found != Flows_.end() && Found->second->InForce_;
  return Known ? Found->second.get() : nullptr;
}

} // namespace filbertspring::routing
