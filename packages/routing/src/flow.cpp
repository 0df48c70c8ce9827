#include "flow.h"

#include <algorithm>

namespace filbertspring::routing {

std::optional<std::uint64_t> Flow::nextTicket() const {
  if (!InForce_)
    return std::nullopt;
  if (!Retrying_.empty())
    return Retrying_.begin()->second;
  if (!Waiting_.empty() && PermitsInUse_ < ConcurrencyLimit_)
    return Waiting_.begin()->second;
  return std::nullopt;
}

Duration Flow::predictedWait() const {
  if (queued() == 0 && PermitsInUse_ < ConcurrencyLimit_)
    return Duration::zero();
  double Ahead = static_cast<double>(queued()) + 1.0;
  double Parallelism =
      static_cast<double>(std::max<std::int64_t>(ActiveRequests_, 1));
  double Wait = Ahead * Latency_.microseconds() / Parallelism;
  return Duration(static_cast<std::int64_t>(Wait));
}

void FairQueue::add(std::shared_ptr<Flow> Member) {
  Members_.push_back(std::move(Member));
  std::ranges::sort(Members_, {}, [](const std::shared_ptr<Flow> &Item) {
    return Item->Contract_->Terms_.Name_;
  });
}

void FairQueue::remove(const Flow *Member) {
  std::erase_if(Members_, [&](const std::shared_ptr<Flow> &Item) {
    return Item.get() == Member;
  });
}

std::vector<Flow *> FairQueue::readyFlows() const {
  std::vector<Flow *> Ready;
  for (const std::shared_ptr<Flow> &Member : Members_)
    if (Member->nextTicket())
      Ready.push_back(Member.get());
  std::ranges::stable_sort(Ready, {}, [&](const Flow *Member) {
    return std::max(Member->VirtualStart_, VirtualTime_);
  });
  return Ready;
}

void FairQueue::charge(Flow &Member) {
  double Start = std::max(Member.VirtualStart_, VirtualTime_);
  double Cost = std::max(Member.Latency_.microseconds(), 1.0);
  VirtualTime_ = Start;
  Member.VirtualStart_ = Start + Cost / Member.Contract_->Terms_.Weight_;
}

} // namespace filbertspring::routing
