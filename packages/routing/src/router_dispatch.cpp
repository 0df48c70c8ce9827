#include "router_impl.h"

#include <algorithm>

namespace filbertspring::routing {
namespace {

/// An idempotent attempt may take this many times the usual time before its
/// timeout, unless half of the remaining time is longer.
constexpr int TimeoutFactor = 8;
/// A hedge needs this many times as much concurrency as is in use.
constexpr std::int64_t HedgeHeadroom = 2;

} // namespace

using routing::Attempt;
using routing::ChoiceRequest;
using routing::DeadlineQueue;
using routing::EndpointId;
using routing::Flow;
using routing::Request;
using routing::TimerKind;

void Router::Impl::enqueue(Request &Item) {
  Flow &Member = *Item.Flow_;
  DeadlineQueue &Queue = Item.HoldsUnit_ ? Member.Retrying_ : Member.Waiting_;
  Queue.emplace(Item.Deadline_, Item.Ticket_);
  Item.Queued_ = true;
  Item.QueuedAt_ = Now_;
  ++Queued_;
}

void Router::Impl::dequeue(Request &Item) {
  if (!Item.Queued_)
    return;
  Flow &Member = *Item.Flow_;
  DeadlineQueue &Queue = Item.HoldsUnit_ ? Member.Retrying_ : Member.Waiting_;
  Queue.erase({Item.Deadline_, Item.Ticket_});
  Item.Queued_ = false;
  --Queued_;
}

void Router::Impl::watchQueued(std::uint64_t Ticket) {
  const Request *Item = find(Ticket);
  if (!Item || !Item->Queued_)
    return;
  // Patience grows with the time waited, so it is looked at again each time
  // that it has doubled.
  Duration First = std::max(Config_.InterZoneRoundTrip_ / 2, Duration(1));
  Duration Next = std::max(First, Now_ - Item->QueuedAt_);
  Timers_.add({Now_ + Next, TimerKind::Spill, Ticket, 0});
}

void Router::Impl::dispatch(const ServiceName &Service) {
  auto Queue = Queues_.find(Service);
  if (Queue == Queues_.end())
    return;
  bool Sent = true;
  while (Sent) {
    Sent = false;
    for (Flow *Member : Queue->second.inTurn()) {
      Request &Item = *find(*Member->next());
      if (!trySend(Item, patience(Item)))
        continue;
      Queue->second.charge(*Member);
      Sent = true;
      break;
    }
  }
}

void Router::Impl::dispatchAll() {
  for (const auto &[Service, Queue] : Queues_)
    dispatch(Service);
}

bool Router::Impl::trySend(Request &Item, Duration Patience) {
  const Flow &Member = *Item.Flow_;
  ChoiceRequest Wanted{Member.Contract_->Terms_, Member.Terms_.Name_,
                       Item.Idempotent_ && Item.Tried_.empty(), Item.Tried_,
                       Patience};
  std::optional<EndpointId> Id = Chooser_.choose(Wanted, Now_);
  if (!Id)
    return false;
  send(Item, *Id);
  return true;
}

void Router::Impl::send(Request &Item, EndpointId Id) {
  dequeue(Item);
  Flow &Member = *Item.Flow_;
  if (!Item.HoldsUnit_) {
    Item.HoldsUnit_ = true;
    ++Member.InUse_;
    ++InFlight_;
  }
  if (!Item.active())
    ++Member.Active_;
  const routing::Endpoint &Node = Endpoints_.at(Id);
  bool Probe = Node.Health_ != routing::Health::Healthy;
  bool Fresh =
      Probe || (!Item.Idempotent_ && Endpoints_.needsFreshConnection(Id, Now_));
  Duration Timeout = timeoutFor(Item);
  Item.Attempts_.push_back({Id, Now_, Fresh});
  Item.Tried_.push_back(Id);
  auto Number = static_cast<AttemptNumber>(Item.Attempts_.size());
  Endpoints_.attemptSent(Id, Now_);
  Out_->emplace_back(SendAttempt{Item.Ticket_, Number, Node.Name_,
                                 Node.Address_, Node.Zone_, Fresh, Timeout});
  if (!Item.Idempotent_ || !Member.Latency_.known())
    return;
  auto Usual = static_cast<double>(Member.Latency_.duration().count());
  Duration After(
      static_cast<std::int64_t>(Usual * Config_.Retry_.HedgeAfterFactor_));
  Timers_.add({Now_ + After, TimerKind::Hedge, Item.Ticket_, Number});
}

Duration Router::Impl::patience(const Request &Item) const {
  // Waiting half as long as another zone costs, and then paying for it, is at
  // most half dearer than the better choice in hindsight.
  Duration Waited = (Now_ - Item.QueuedAt_) * 2;
  return std::max(Waited, Item.Flow_->predictedWait());
}

Duration Router::Impl::timeoutFor(const Request &Item) const {
  Duration Left = Item.Deadline_ - Now_;
  const routing::MovingMean &Usual = Item.Flow_->Latency_;
  if (!Item.Idempotent_ || !Usual.known())
    return Left;
  return std::min(Left, std::max(Left / 2, Usual.duration() * TimeoutFactor));
}

void Router::Impl::hedge(Request &Item, AttemptNumber Number) {
  const Attempt &Slow = Item.Attempts_[static_cast<std::size_t>(Number) - 1];
  if (!Slow.Active_)
    return;
  Endpoints_.attemptOverdue(Slow.Endpoint_, Slow.SentAt_, Now_);
  const Flow &Member = *Item.Flow_;
  bool Wanted = Config_.Retry_.HedgingEnabled_ && !Item.Answered_ &&
                Number == static_cast<AttemptNumber>(Item.Attempts_.size());
  bool Allowed = Number < Config_.Retry_.MaxAttempts_ &&
                 Member.InUse_ * HedgeHeadroom <= Member.Limit_ &&
                 Now_ < Item.Deadline_ && Member.InForce_;
  if (!Wanted || !Allowed)
    return;
  if (!Member.Contract_->Budget_.trySpend())
    return;
  if (!trySend(Item, Item.Deadline_ - Now_))
    Member.Contract_->Budget_.refund();
}

} // namespace filbertspring::routing
