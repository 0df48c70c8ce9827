#include "workspace_order.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace filbertspring::scheduling {
namespace {

/// The interval in which arrivals are counted. Arrivals within the rate vary
/// more in a shorter one; in a longer one a burst is noticed later.
constexpr std::int64_t IntervalMs = 2000;
/// Independent callers whose mean rate is the weight submit more than this many
/// standard deviations above the mean in one of forty intervals.
constexpr double ToleratedDeviations = 2;
/// How many intervals are remembered. Jobs that were accepted earlier than the
/// last ones and are read by a new owner are counted anew.
constexpr std::size_t MaxIntervals = 300;
/// The weight of a workspace that has been removed from the configuration.
constexpr double MinWeight = 0.001;

/// What is compared before the shares of workspaces.
auto tierOf(const WaitingJob &Job) {
  return std::tuple(Job.IsBeyondRate_, Job.Rank_.Priority_,
                    Job.Rank_.IsDeferrable_);
}

} // namespace

double weightedShare(const Resources &Used, const Resources &Total,
                     double Weight) {
  auto FractionOf = [](std::int64_t Part, std::int64_t Whole) {
    return Whole > 0 ? static_cast<double>(Part) / static_cast<double>(Whole)
                     : 0.0;
  };
  return std::max({FractionOf(Used.MilliCpu_, Total.MilliCpu_),
                   FractionOf(Used.MemoryMb_, Total.MemoryMb_),
                   FractionOf(Used.Accelerators_, Total.Accelerators_)}) /
         std::max(MinWeight, Weight);
}

std::uint32_t ArrivalCounter::add(std::int64_t AcceptedMs) {
  std::uint32_t Number = ++Jobs_[AcceptedMs / IntervalMs];
  if (Jobs_.size() > MaxIntervals)
    Jobs_.erase(Jobs_.begin());
  return Number;
}

bool isBeyondRate(std::uint32_t Number, double Weight) {
  double Mean = Weight * static_cast<double>(IntervalMs) / 1000.0;
  double Covered = std::ceil(Mean + ToleratedDeviations * std::sqrt(Mean));
  return static_cast<double>(Number) > Covered;
}

WorkspaceOrder::WorkspaceOrder(const std::vector<WaitingJob> &Jobs,
                               std::vector<double> Shares)
    : Jobs_(Jobs), Shares_(std::move(Shares)) {
  Order_.reserve(Jobs.size());
  for (std::size_t Index = 0; Index < Jobs.size(); ++Index)
    Order_.push_back(Index);
  std::sort(Order_.begin(), Order_.end(),
            [&Jobs](std::size_t Left, std::size_t Right) {
              const WaitingJob &First = Jobs[Left];
              const WaitingJob &Second = Jobs[Right];
              return std::tuple(tierOf(First), First.Workspace_, First.Rank_) <
                     std::tuple(tierOf(Second), Second.Workspace_,
                                Second.Rank_);
            });
}

void WorkspaceOrder::startTier() {
  std::size_t Position = TierEnd_;
  while (Position < Order_.size()) {
    const WaitingJob &First = Jobs_[Order_[Position]];
    if (!Lines_.empty() &&
        tierOf(First) != tierOf(Jobs_[Order_[Lines_.back().Next_]]))
      break;
    Line Added{Shares_[First.Workspace_], Position, Position};
    while (Added.End_ < Order_.size() &&
           Jobs_[Order_[Added.End_]].Workspace_ == First.Workspace_ &&
           tierOf(Jobs_[Order_[Added.End_]]) == tierOf(First))
      ++Added.End_;
    Position = Added.End_;
    Lines_.push_back(Added);
  }
  TierEnd_ = Position;
  std::make_heap(Lines_.begin(), Lines_.end());
}

std::optional<std::size_t> WorkspaceOrder::next(double Share) {
  if (Present_) {
    Shares_[Jobs_[Order_[Present_->Next_]].Workspace_] = Share;
    Present_->Share_ = Share;
    if (++Present_->Next_ < Present_->End_) {
      Lines_.push_back(*Present_);
      std::push_heap(Lines_.begin(), Lines_.end());
    }
    Present_.reset();
  }
  if (Lines_.empty())
    startTier();
  if (Lines_.empty())
    return std::nullopt;
  std::pop_heap(Lines_.begin(), Lines_.end());
  Present_ = Lines_.back();
  Lines_.pop_back();
  return Order_[Present_->Next_];
}

} // namespace filbertspring::scheduling
