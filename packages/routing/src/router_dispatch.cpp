#include "router_impl.h"

#include <algorithm>

namespace filbertspring::routing {
namespace {

/// The timeout of an idempotent attempt is this multiple of the mean latency,
/// or half of the time to the deadline if that is longer.
constexpr int TimeoutFactor = 8;
/// A hedge is only sent when the concurrency limit is at least this multiple of
/// the permits in use.
constexpr std::int64_t HedgeHeadroom = 2;

} // namespace

using routing::Attempt;
using routing::DeadlineQueue;
using routing::EndpointId;
using routing::EndpointQuery;
using routing::Flow;
using routing::Request;
using routing::TimerKind;

void Router::Impl::enqueue(Request &Req) {
  Flow &ServiceFlow = *Req.Flow_;
  DeadlineQueue &Queue =
      Req.HoldsPermit_ ? ServiceFlow.Retrying_ : ServiceFlow.Waiting_;
  Queue.emplace(Req.Deadline_, Req.Ticket_);
  Req.Queued_ = true;
  Req.QueuedAt_ = Now_;
  ++Queued_;
}

void Router::Impl::dequeue(Request &Req) {
  if (!Req.Queued_)
    return;
  Flow &ServiceFlow = *Req.Flow_;
  DeadlineQueue &Queue =
      Req.HoldsPermit_ ? ServiceFlow.Retrying_ : ServiceFlow.Waiting_;
  Queue.erase({Req.Deadline_, Req.Ticket_});
  Req.Queued_ = false;
  --Queued_;
}

void Router::Impl::scheduleSpill(std::uint64_t Ticket) {
  const Request *Req = find(Ticket);
  if (!Req || !Req->Queued_)
    return;
  // maxExtraLatency() grows with the time waited, so it is evaluated again each
  // time the wait has doubled.
  Duration MinDelay = std::max(Config_.InterZoneRoundTrip_ / 2, Duration(1));
  Duration Delay = std::max(MinDelay, Now_ - Req->QueuedAt_);
  Timers_.add({Now_ + Delay, TimerKind::Spill, Ticket, 0});
}

void Router::Impl::dispatch(const ServiceName &Service) {
  auto Queue = Queues_.find(Service);
  if (Queue == Queues_.end())
    return;
  bool Sent = true;
  while (Sent) {
    Sent = false;
    shedLateRequests(Queue->second);
    std::vector<Flow *> Ready = Queue->second.readyFlows();
    // All flows use the largest acceptable extra latency of any flow. Otherwise
    // flows with long queues, which accept more latency, would take every
    // endpoint out of turn.
    Duration MaxExtraLatency{};
    for (const Flow *ServiceFlow : Ready)
      MaxExtraLatency = std::max(
          MaxExtraLatency, maxExtraLatency(*find(*ServiceFlow->nextTicket())));
    for (Flow *ServiceFlow : Ready) {
      Request &Req = *find(*ServiceFlow->nextTicket());
      if (!trySend(Req, MaxExtraLatency))
        continue;
      Queue->second.charge(*ServiceFlow);
      Sent = true;
      break;
    }
  }
}

void Router::Impl::shedLateRequests(const routing::FairQueue &Queue) {
  if (!Config_.EarlyShedding_)
    return;
  for (Flow *ServiceFlow : Queue.readyFlows()) {
    // A flow without active requests sends its request even so, because its
    // latency estimate is only updated by requests that run.
    while (ServiceFlow->ActiveRequests_ > 0 && ServiceFlow->nextTicket()) {
      Request &Req = *find(*ServiceFlow->nextTicket());
      bool TooLate = Now_ + ServiceFlow->Latency_.duration() > Req.Deadline_;
      if (!TooLate || !Req.Attempts_.empty())
        break;
      failRequest(Req, NotRunReason::WaitTooLong);
    }
  }
}

void Router::Impl::dispatchAll() {
  for (const auto &[Service, Queue] : Queues_)
    dispatch(Service);
}

bool Router::Impl::trySend(Request &Req, Duration MaxExtraLatency) {
  const Flow &ServiceFlow = *Req.Flow_;
  EndpointQuery Query{ServiceFlow.Contract_->Terms_, ServiceFlow.Terms_.Name_,
                      Req.Idempotent_ && Req.TriedEndpoints_.empty(),
                      Req.TriedEndpoints_, MaxExtraLatency};
  std::optional<EndpointId> Id = Chooser_.choose(Query, Now_);
  if (!Id)
    return false;
  send(Req, *Id);
  return true;
}

void Router::Impl::send(Request &Req, EndpointId Id) {
  dequeue(Req);
  Flow &ServiceFlow = *Req.Flow_;
  if (!Req.HoldsPermit_) {
    Req.HoldsPermit_ = true;
    ++ServiceFlow.PermitsInUse_;
    ++InFlight_;
  }
  if (!Req.hasActiveAttempt())
    ++ServiceFlow.ActiveRequests_;
  const routing::Endpoint &Target = Endpoints_.at(Id);
  bool Probe = Target.Health_ != routing::Health::Healthy;
  bool Fresh =
      Probe || (!Req.Idempotent_ && Endpoints_.needsFreshConnection(Id, Now_));
  Duration Timeout = timeoutFor(Req);
  Req.Attempts_.push_back({Id, Now_, Fresh});
  Req.TriedEndpoints_.push_back(Id);
  auto Number = static_cast<AttemptNumber>(Req.Attempts_.size());
  Endpoints_.attemptSent(Id, Now_);
  Out_->emplace_back(SendAttempt{Req.Ticket_, Number, Target.Name_,
                                 Target.Address_, Target.Zone_, Fresh,
                                 Timeout});
  scheduleHedge(Req, Number);
}

void Router::Impl::scheduleHedge(const Request &Req, AttemptNumber Number) {
  const routing::MovingMean &MeanLatency = Req.Flow_->Latency_;
  if (!MeanLatency.hasValue())
    return;
  const RetryConfig &Retry = Config_.Retry_;
  auto DelayFor = [&](double Factor) {
    Duration Delay(
        static_cast<std::int64_t>(MeanLatency.microseconds() * Factor));
    return std::max(Delay, Retry.MinHedgeDelay_);
  };
  if (Req.Idempotent_)
    Timers_.add({Now_ + DelayFor(Retry.HedgeAfterFactor_), TimerKind::Hedge,
                 Req.Ticket_, Number});
  Timers_.add({Now_ + DelayFor(Retry.OverdueFactor_), TimerKind::Overdue,
               Req.Ticket_, Number});
}

Duration Router::Impl::maxExtraLatency(const Request &Req) const {
  // Accepting twice the time waited bounds the regret: waiting for half of the
  // extra latency and then accepting it costs at most 1.5 times as much as the
  // better choice in hindsight.
  Duration Waited = (Now_ - Req.QueuedAt_) * 2;
  return std::max(Waited, Req.Flow_->predictedWait());
}

Duration Router::Impl::timeoutFor(const Request &Req) const {
  Duration Remaining = Req.Deadline_ - Now_;
  const routing::MovingMean &MeanLatency = Req.Flow_->Latency_;
  if (!Req.Idempotent_ || !MeanLatency.hasValue())
    return Remaining;
  return std::min(Remaining, std::max(Remaining / 2,
                                      MeanLatency.duration() * TimeoutFactor));
}

void Router::Impl::handleOverdue(Request &Req, AttemptNumber Number) {
  const Attempt &Slow = Req.Attempts_[static_cast<std::size_t>(Number) - 1];
  if (!Slow.Active_)
    return;
  if (Endpoints_.attemptOverdue(Slow.Endpoint_, Slow.SentAt_, Now_))
    Out_->emplace_back(
        DropConnections{Endpoints_.at(Slow.Endpoint_).Name_, Now_});
  sendHedge(Req, Number, true);
}

void Router::Impl::sendHedge(Request &Req, AttemptNumber Number, bool Overdue) {
  const Attempt &Slow = Req.Attempts_[static_cast<std::size_t>(Number) - 1];
  const RetryConfig &Retry = Config_.Retry_;
  const Flow &ServiceFlow = *Req.Flow_;
  bool Eligible = Retry.HedgingEnabled_ && Req.Idempotent_ && Slow.Active_ &&
                  !Req.Answered_ &&
                  Number == static_cast<AttemptNumber>(Req.Attempts_.size());
  bool Allowed = Req.unrefusedAttempts() < Retry.MaxAttempts_ &&
                 ServiceFlow.PermitsInUse_ * HedgeHeadroom <=
                     ServiceFlow.ConcurrencyLimit_ &&
                 Now_ < Req.Deadline_ && ServiceFlow.InForce_;
  if (!Eligible || !Allowed)
    return;
  double Load = Endpoints_.findPool(ServiceFlow.Terms_.Name_)->load();
  if (!Overdue && Load > Retry.MaxHedgeLoad_)
    return;
  if (!ServiceFlow.Contract_->Budget_.trySpend())
    return;
  if (!trySend(Req, Req.Deadline_ - Now_))
    ServiceFlow.Contract_->Budget_.refund();
}

} // namespace filbertspring::routing
