#include "flow.h"

#include <algorithm>

namespace filbertspring::routing {

std::optional<std::uint64_t> Flow::next() const {
  if (!InForce_)
    return std::nullopt;
  if (!Retrying_.empty())
    return Retrying_.begin()->second;
  if (!Waiting_.empty() && InUse_ < Limit_)
    return Waiting_.begin()->second;
  return std::nullopt;
}

Duration Flow::predictedWait() const {
  if (queued() == 0 && InUse_ < Limit_)
    return Duration::zero();
  double Ahead = static_cast<double>(queued()) + 1.0;
  double Servers = static_cast<double>(std::max<std::int64_t>(Active_, 1));
  double Wait = Ahead * Latency_.microseconds() / Servers;
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

std::vector<Flow *> FairQueue::inTurn() const {
  std::vector<Flow *> Ready;
  for (const std::shared_ptr<Flow> &Member : Members_)
    if (Member->next())
      Ready.push_back(Member.get());
  std::ranges::stable_sort(Ready, {}, [&](const Flow *Member) {
    return std::max(Member->NextTurn_, VirtualTime_);
  });
  return Ready;
}

void FairQueue::charge(Flow &Member) {
  double Start = std::max(Member.NextTurn_, VirtualTime_);
  double Cost = std::max(Member.Latency_.microseconds(), 1.0);
  VirtualTime_ = Start;
  Member.NextTurn_ = Start + Cost / Member.Contract_->Terms_.Weight_;
}

} // namespace filbertspring::routing
