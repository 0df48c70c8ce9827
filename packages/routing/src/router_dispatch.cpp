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
    shedLate(Queue->second);
    std::vector<Flow *> Ready = Queue->second.inTurn();
    // What a later flow would accept goes to the one whose turn it is, or
    // flows with long queues would take every endpoint.
    Duration Patience{};
    for (const Flow *Member : Ready)
      Patience = std::max(Patience, patience(*find(*Member->next())));
    for (Flow *Member : Ready) {
      Request &Item = *find(*Member->next());
      if (!trySend(Item, Patience))
        continue;
      Queue->second.charge(*Member);
      Sent = true;
      break;
    }
  }
}

void Router::Impl::shedLate(const routing::FairQueue &Queue) {
  if (!Config_.EarlyShedding_)
    return;
  for (Flow *Member : Queue.inTurn()) {
    // An idle flow sends it all the same, so that its estimate is renewed.
    while (Member->Active_ > 0 && Member->next()) {
      Request &Item = *find(*Member->next());
      bool TooLate = Now_ + Member->Latency_.duration() > Item.Deadline_;
      if (!TooLate || !Item.Attempts_.empty())
        break;
      giveUp(Item, NotRunReason::WaitTooLong);
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
  armHedge(Item, Number);
}

void Router::Impl::armHedge(const Request &Item, AttemptNumber Number) {
  const routing::MovingMean &Usual = Item.Flow_->Latency_;
  if (!Usual.known())
    return;
  const RetryConfig &Limits = Config_.Retry_;
  auto After = [&](double Factor) {
    Duration Late(static_cast<std::int64_t>(Usual.microseconds() * Factor));
    return std::max(Late, Limits.MinHedgeDelay_);
  };
  if (Item.Idempotent_)
    Timers_.add({Now_ + After(Limits.HedgeAfterFactor_), TimerKind::Hedge,
                 Item.Ticket_, Number});
  Timers_.add({Now_ + After(Limits.OverdueFactor_), TimerKind::Overdue,
               Item.Ticket_, Number});
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

void Router::Impl::overdue(Request &Item, AttemptNumber Number) {
  const Attempt &Slow = Item.Attempts_[static_cast<std::size_t>(Number) - 1];
  if (!Slow.Active_)
    return;
  if (Endpoints_.attemptOverdue(Slow.Endpoint_, Slow.SentAt_, Now_))
    Out_->emplace_back(
        DropConnections{Endpoints_.at(Slow.Endpoint_).Name_, Now_});
  hedge(Item, Number, true);
}

void Router::Impl::hedge(Request &Item, AttemptNumber Number, bool Late) {
  const Attempt &Slow = Item.Attempts_[static_cast<std::size_t>(Number) - 1];
  const RetryConfig &Limits = Config_.Retry_;
  const Flow &Member = *Item.Flow_;
  bool Wanted = Limits.HedgingEnabled_ && Item.Idempotent_ && Slow.Active_ &&
                !Item.Answered_ &&
                Number == static_cast<AttemptNumber>(Item.Attempts_.size());
  bool Allowed = Item.unrefused() < Limits.MaxAttempts_ &&
                 Member.InUse_ * HedgeHeadroom <= Member.Limit_ &&
                 Now_ < Item.Deadline_ && Member.InForce_;
  if (!Wanted || !Allowed)
    return;
  double Load = Endpoints_.findPool(Member.Terms_.Name_)->load();
  if (!Late && Load > Limits.MaxHedgeLoad_)
    return;
  if (!Member.Contract_->Budget_.trySpend())
    return;
  if (!trySend(Item, Item.Deadline_ - Now_))
    Member.Contract_->Budget_.refund();
}

} // namespace filbertspring::routing
