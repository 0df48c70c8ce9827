#include "ticket_desk.h"

namespace filbertspring {

std::uint64_t TicketDesk::open(HttpRequest Outgoing) {
  auto Fresh = std::make_shared<Ticket>();
  Fresh->Outgoing_ = std::move(Outgoing);
  std::scoped_lock Lock(Mutex_);
  Tickets_.emplace(++Last_, std::move(Fresh));
  return Last_;
}

std::shared_ptr<Ticket> TicketDesk::find(std::uint64_t Number) const {
  std::scoped_lock Lock(Mutex_);
  auto Found = Tickets_.find(Number);
  return Found == Tickets_.end() ? nullptr : Found->second;
}

void TicketDesk::close(std::uint64_t Number) {
  std::scoped_lock Lock(Mutex_);
  Tickets_.erase(Number);
}

void TicketDesk::storeReceived(std::uint64_t Number, std::int32_t Attempt,
                               HttpAnswer Answer) {
  std::shared_ptr<Ticket> Held = find(Number);
  if (!Held)
    return;
  std::scoped_lock Lock(Held->Mutex_);
  Held->Received_[Attempt] = std::move(Answer);
}

void TicketDesk::answer(std::uint64_t Number, TicketAnswer Answer,
                        std::int32_t Attempt) {
  std::shared_ptr<Ticket> Held = find(Number);
  if (!Held)
    return;
  std::scoped_lock Lock(Held->Mutex_);
  auto Received = Held->Received_.find(Attempt);
  if (Received != Held->Received_.end())
    Answer.Completed_ = std::move(Received->second);
  Held->Answer_ = std::move(Answer);
  Held->Answered_.notify_all();
}

std::optional<TicketAnswer> TicketDesk::wait(Ticket &Held, TimePoint Limit) {
  std::unique_lock Lock(Held.Mutex_);
  Held.Answered_.wait_until(Lock, Limit,
                            [&Held] { return Held.Answer_.has_value(); });
  return Held.Answer_;
}

std::size_t TicketDesk::size() const {
  std::scoped_lock Lock(Mutex_);
  return Tickets_.size();
}

} // namespace filbertspring
