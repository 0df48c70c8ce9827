#include "router_impl.h"

#include <algorithm>

namespace filbertspring::routing {
namespace {

NotRunReason reasonAfter(AttemptResult Last) {
  if (Last == AttemptResult::ConnectFailed)
    return NotRunReason::EndpointsUnreachable;
  return NotRunReason::EndpointsBusy;
}

bool wasRefused(AttemptResult Last) {
  return Last == AttemptResult::RefusedBusy ||
         Last == AttemptResult::RefusedLeaving;
}

} // namespace

using routing::Attempt;
using routing::Flow;
using routing::Request;
using routing::TimerKind;

void Router::Impl::on(const AttemptEnded &Event) {
  Request *Item = find(Event.Ticket_);
  auto Index = static_cast<std::size_t>(Event.Attempt_) - 1;
  if (!Item || Index >= Item->Attempts_.size())
    return;
  Attempt &Ended = Item->Attempts_[Index];
  if (!Ended.Active_)
    return;
  Ended.Active_ = false;
  Flow &Member = *Item->Flow_;
  ServiceName Service = Member.Terms_.Name_;
  routing::EndpointObservation Seen{Event.Result_, Event.Load_, Event.Elapsed_,
                                    Ended.FreshConnection_};
  EndpointName Name = Endpoints_.at(Ended.Endpoint_).Name_;
  if (Endpoints_.attemptEnded(Ended.Endpoint_, Seen, Now_))
    Out_->emplace_back(DropConnections{Name, Now_});
  if (!Item->active())
    --Member.Active_;
  if (Event.Result_ == AttemptResult::Completed) {
    Member.Latency_.add(Event.Elapsed_);
    Member.Contract_->Budget_.earn();
    if (!Item->Answered_) {
      AnswerCaller Answer{Event.Ticket_, RequestOutcome::Completed};
      Answer.Attempt_ = Event.Attempt_;
      answer(*Item, Answer);
      cancelOthers(*Item);
    }
  } else {
    Item->LastResult_ = Event.Result_;
    Item->Refusals_ += wasRefused(Event.Result_) ? 1 : 0;
    if (Event.Result_ == AttemptResult::RefusedBusy)
      std::erase(Item->Tried_, Ended.Endpoint_);
    Item->MayHaveRun_ = Item->MayHaveRun_ || mayHaveRun(Event.Result_);
  }
  settle(*Item);
  dispatch(Service);
  watchQueued(Event.Ticket_);
}

void Router::Impl::settle(Request &Item) {
  if (Item.active())
    return;
  if (Item.Answered_) {
    finishIfOver(Item);
    return;
  }
  if (mayRetry(Item)) {
    enqueue(Item);
    return;
  }
  giveUp(Item, reasonAfter(Item.LastResult_));
}

bool Router::Impl::mayRetry(Request &Item) {
  bool Safe = Item.Idempotent_ || !Item.MayHaveRun_;
  const Flow &Member = *Item.Flow_;
  const Contract &Terms = Member.Contract_->Terms_;
  if (!Safe || Item.CallerGone_ || Now_ >= Item.Deadline_)
    return false;
  if (Item.unrefused() >= Config_.Retry_.MaxAttempts_ ||
      Item.Refusals_ >= Config_.Retry_.MaxRefusals_)
    return false;
  if (!Member.InForce_ || !Endpoints_.anyAvailable(Terms, Member.Terms_.Name_))
    return false;
  // A refusal cost the endpoint no work.
  return wasRefused(Item.LastResult_) || Member.Contract_->Budget_.trySpend();
}

void Router::Impl::on(const CallerDisconnected &Event) {
  Request *Item = find(Event.Ticket_);
  if (!Item || Item->Answered_)
    return;
  Item->CallerGone_ = true;
  if (!Item->active()) {
    giveUp(*Item, NotRunReason::CallerDisconnected);
    return;
  }
  // The outcome of a non-idempotent request is still worth recording.
  if (!Item->Idempotent_)
    return;
  answer(*Item, {Event.Ticket_, RequestOutcome::Unknown});
  cancelOthers(*Item);
}

void Router::Impl::giveUp(Request &Item, NotRunReason Reason) {
  AnswerCaller Answer{Item.Ticket_, RequestOutcome::Unknown};
  if (!Item.MayHaveRun_) {
    Answer.Outcome_ = RequestOutcome::NotRun;
    Answer.Reason_ = Reason;
    Answer.RetryAfter_ = retryAfter(Reason, Item.Flow_.get());
  }
  answer(Item, Answer);
  finishIfOver(Item);
}

void Router::Impl::answer(Request &Item, const AnswerCaller &Answer) {
  dequeue(Item);
  Item.Answered_ = true;
  Out_->emplace_back(Answer);
}

void Router::Impl::cancelOthers(Request &Item) {
  for (std::size_t Index = 0; Index < Item.Attempts_.size(); ++Index) {
    Attempt &Other = Item.Attempts_[Index];
    if (!Other.Active_ || Other.CancelSent_)
      continue;
    Other.CancelSent_ = true;
    Out_->emplace_back(
        CancelAttempt{Item.Ticket_, static_cast<AttemptNumber>(Index) + 1});
  }
}

void Router::Impl::finishIfOver(Request &Item) {
  if (Item.active())
    return;
  // Lost work may run until its deadline, and counts until then.
  if (Item.MayHaveRun_ && Now_ < Item.Deadline_) {
    Timers_.add({Item.Deadline_, TimerKind::Release, Item.Ticket_, 0});
    return;
  }
  release(Item);
}

void Router::Impl::release(Request &Item) {
  if (!Item.Answered_ || Item.active())
    return;
  std::shared_ptr<Flow> Member = Item.Flow_;
  bool HeldUnit = Item.HoldsUnit_;
  Requests_.erase(Item.Ticket_);
  if (!HeldUnit)
    return;
  --Member->InUse_;
  --InFlight_;
  dispatch(Member->Terms_.Name_);
}

void Router::Impl::deadlineDue(Request &Item) {
  if (Item.Answered_)
    return;
  if (Item.active()) {
    Timers_.add(
        {Now_ + Config_.AnswerGrace_, TimerKind::Answer, Item.Ticket_, 0});
    return;
  }
  giveUp(Item, NotRunReason::DeadlinePassed);
}

void Router::Impl::answerDue(Request &Item) {
  if (Item.Answered_)
    return;
  if (!Item.active()) {
    giveUp(Item, NotRunReason::DeadlinePassed);
    return;
  }
  answer(Item, {Item.Ticket_, RequestOutcome::Unknown});
  if (Item.Idempotent_)
    cancelOthers(Item);
}

} // namespace filbertspring::routing
