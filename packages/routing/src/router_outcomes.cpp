#include "router_impl.h"

#include <algorithm>

namespace filbertspring::routing {
namespace {

NotRunReason reasonAfterResult(AttemptResult Result) {
  if (Result == AttemptResult::ConnectFailed)
    return NotRunReason::EndpointsUnreachable;
  return NotRunReason::EndpointsBusy;
}

bool isRefusal(AttemptResult Result) {
  return Result == AttemptResult::RefusedBusy ||
         Result == AttemptResult::RefusedLeaving;
}

} // namespace

using routing::Attempt;
using routing::Flow;
using routing::Request;
using routing::TimerKind;

void Router::Impl::on(const AttemptEnded &Event) {
  Request *Req = find(Event.Ticket_);
  auto Index = static_cast<std::size_t>(Event.Attempt_) - 1;
  if (!Req || Index >= Req->Attempts_.size())
    return;
  Attempt &EndedAttempt = Req->Attempts_[Index];
  if (!EndedAttempt.Active_)
    return;
  EndedAttempt.Active_ = false;
  Flow &ServiceFlow = *Req->Flow_;
  ServiceName Service = ServiceFlow.Terms_.Name_;
  routing::EndpointObservation Observation{Event.Result_, Event.Load_,
                                           Event.Elapsed_,
                                           EndedAttempt.FreshConnection_};
  EndpointName Name = Endpoints_.at(EndedAttempt.Endpoint_).Name_;
  if (Endpoints_.attemptEnded(EndedAttempt.Endpoint_, Observation, Now_))
    Out_->emplace_back(DropConnections{Name, Now_});
  if (!Req->hasActiveAttempt())
    --ServiceFlow.ActiveRequests_;
  if (Event.Result_ == AttemptResult::Completed) {
    ServiceFlow.Latency_.add(Event.Elapsed_);
    ServiceFlow.Contract_->Budget_.earn();
    if (!Req->Answered_) {
      AnswerCaller Answer{Event.Ticket_, RequestOutcome::Completed};
      Answer.Attempt_ = Event.Attempt_;
      answer(*Req, Answer);
      cancelActiveAttempts(*Req);
    }
  } else {
    Req->LastResult_ = Event.Result_;
    Req->Refusals_ += isRefusal(Event.Result_) ? 1 : 0;
    if (Event.Result_ == AttemptResult::RefusedBusy)
      std::erase(Req->TriedEndpoints_, EndedAttempt.Endpoint_);
    Req->MayHaveRun_ = Req->MayHaveRun_ || mayHaveRun(Event.Result_);
  }
  retryOrAnswer(*Req);
  dispatch(Service);
  scheduleSpill(Event.Ticket_);
}

void Router::Impl::retryOrAnswer(Request &Req) {
  if (Req.hasActiveAttempt())
    return;
  if (Req.Answered_) {
    releaseIfFinished(Req);
    return;
  }
  if (mayRetry(Req)) {
    enqueue(Req);
    return;
  }
  failRequest(Req, reasonAfterResult(Req.LastResult_));
}

bool Router::Impl::mayRetry(Request &Req) {
  bool SafeToRepeat = Req.Idempotent_ || !Req.MayHaveRun_;
  const Flow &ServiceFlow = *Req.Flow_;
  const Contract &Terms = ServiceFlow.Contract_->Terms_;
  if (!SafeToRepeat || Req.CallerDisconnected_ || Now_ >= Req.Deadline_)
    return false;
  if (Req.unrefusedAttempts() >= Config_.Retry_.MaxAttempts_ ||
      Req.Refusals_ >= Config_.Retry_.MaxRefusals_)
    return false;
  if (!ServiceFlow.InForce_ ||
      !Endpoints_.anyAvailable(Terms, ServiceFlow.Terms_.Name_))
    return false;
  // A refused attempt cost the endpoint no work, so its retry needs no budget.
  return isRefusal(Req.LastResult_) ||
         ServiceFlow.Contract_->Budget_.trySpend();
}

void Router::Impl::on(const CallerDisconnected &Event) {
  Request *Req = find(Event.Ticket_);
  if (!Req || Req->Answered_)
    return;
  Req->CallerDisconnected_ = true;
  if (!Req->hasActiveAttempt()) {
    failRequest(*Req, NotRunReason::CallerDisconnected);
    return;
  }
  // A non-idempotent request runs to its end, so that its outcome is known.
  if (!Req->Idempotent_)
    return;
  answer(*Req, {Event.Ticket_, RequestOutcome::Unknown});
  cancelActiveAttempts(*Req);
}

void Router::Impl::failRequest(Request &Req, NotRunReason Reason) {
  AnswerCaller Answer{Req.Ticket_, RequestOutcome::Unknown};
  if (!Req.MayHaveRun_) {
    Answer.Outcome_ = RequestOutcome::NotRun;
    Answer.Reason_ = Reason;
    Answer.RetryAfter_ = retryAfter(Reason, Req.Flow_.get());
  }
  answer(Req, Answer);
  releaseIfFinished(Req);
}

void Router::Impl::answer(Request &Req, const AnswerCaller &Answer) {
  dequeue(Req);
  Req.Answered_ = true;
  Out_->emplace_back(Answer);
}

void Router::Impl::cancelActiveAttempts(Request &Req) {
  for (std::size_t Index = 0; Index < Req.Attempts_.size(); ++Index) {
    Attempt &Other = Req.Attempts_[Index];
    if (!Other.Active_ || Other.CancelSent_)
      continue;
    Other.CancelSent_ = true;
    Out_->emplace_back(
        CancelAttempt{Req.Ticket_, static_cast<AttemptNumber>(Index) + 1});
  }
}

void Router::Impl::releaseIfFinished(Request &Req) {
  if (Req.hasActiveAttempt())
    return;
  // Work of an attempt whose end was not confirmed may run until the deadline,
  // so the permit is held until then.
  if (Req.MayHaveRun_ && Now_ < Req.Deadline_) {
    Timers_.add({Req.Deadline_, TimerKind::Release, Req.Ticket_, 0});
    return;
  }
  release(Req);
}

void Router::Impl::release(Request &Req) {
  if (!Req.Answered_ || Req.hasActiveAttempt())
    return;
  std::shared_ptr<Flow> ServiceFlow = Req.Flow_;
  bool HeldPermit = Req.HoldsPermit_;
  Requests_.erase(Req.Ticket_);
  if (!HeldPermit)
    return;
  --ServiceFlow->PermitsInUse_;
  --InFlight_;
  dispatch(ServiceFlow->Terms_.Name_);
}

void Router::Impl::handleDeadline(Request &Req) {
  if (Req.Answered_)
    return;
  if (Req.hasActiveAttempt()) {
    Timers_.add({Now_ + Config_.AnswerGrace_, TimerKind::AnswerTimeout,
                 Req.Ticket_, 0});
    return;
  }
  failRequest(Req, NotRunReason::DeadlinePassed);
}

void Router::Impl::handleAnswerTimeout(Request &Req) {
  if (Req.Answered_)
    return;
  if (!Req.hasActiveAttempt()) {
    failRequest(Req, NotRunReason::DeadlinePassed);
    return;
  }
  answer(Req, {Req.Ticket_, RequestOutcome::Unknown});
  if (Req.Idempotent_)
    cancelActiveAttempts(Req);
}

} // namespace filbertspring::routing
