#include "pending_request_table.h"

namespace filbertspring {

std::uint64_t PendingRequestTable::open(HttpRequest Outgoing) {
  auto Request = std::make_shared<PendingRequest>();
  Request->Outgoing_ = std::move(Outgoing);
  std::scoped_lock Lock(Mutex_);
  Requests_.emplace(++LastNumber_, std::move(Request));
  return LastNumber_;
}

std::shared_ptr<PendingRequest>
PendingRequestTable::find(std::uint64_t Number) const {
  std::scoped_lock Lock(Mutex_);
  auto Found = Requests_.find(Number);
  return Found == Requests_.end() ? nullptr : Found->second;
}

void PendingRequestTable::close(std::uint64_t Number) {
  std::scoped_lock Lock(Mutex_);
  Requests_.erase(Number);
}

void PendingRequestTable::storeReceived(std::uint64_t Number,
                                        std::int32_t Attempt,
                                        HttpAnswer Answer) {
  std::shared_ptr<PendingRequest> Request = find(Number);
  if (!Request)
    return;
  std::scoped_lock Lock(Request->Mutex_);
  Request->ReceivedAnswers_[Attempt] = std::move(Answer);
}

void PendingRequestTable::answer(std::uint64_t Number, RequestDecision Decision,
                                 std::int32_t Attempt) {
  std::shared_ptr<PendingRequest> Request = find(Number);
  if (!Request)
    return;
  std::scoped_lock Lock(Request->Mutex_);
  auto Received = Request->ReceivedAnswers_.find(Attempt);
  if (Received != Request->ReceivedAnswers_.end())
    Decision.Completed_ = std::move(Received->second);
  Request->Decision_ = std::move(Decision);
  Request->DecisionReady_.notify_all();
}

std::optional<RequestDecision>
PendingRequestTable::wait(PendingRequest &Request, TimePoint Limit) {
  std::unique_lock Lock(Request.Mutex_);
  Request.DecisionReady_.wait_until(
      Lock, Limit, [&Request] { return Request.Decision_.has_value(); });
  return Request.Decision_;
}

std::size_t PendingRequestTable::size() const {
  std::scoped_lock Lock(Mutex_);
  return Requests_.size();
}

} // namespace filbertspring
