#include "filbertspring/membership/share_targets.h"

#include <algorithm>
#include <numeric>

namespace filbertspring::membership {

namespace {

/// An instance without demand keeps an even share divided by this.
constexpr std::int64_t FloorDivisor = 4;

using Steps = std::vector<std::int64_t>;

/// Returns the indices of \p Demands in descending order of demand.
std::vector<std::size_t>
indicesByDemand(const std::vector<InstanceDemand> &Demands) {
  std::vector<std::size_t> Order(Demands.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::ranges::sort(Order, [&](std::size_t Left, std::size_t Right) {
    if (Demands[Left].Permille_ != Demands[Right].Permille_)
      return Demands[Left].Permille_ > Demands[Right].Permille_;
    return Demands[Left].Instance_ < Demands[Right].Instance_;
  });
  return Order;
}

/// Adds \p Rest steps to \p Result. When the demands exceed \p Rest, it is
/// divided in proportion to them. Otherwise each instance receives its demand
/// and an even part of the remainder, so that an instance whose load returns
/// has capacity immediately.
void distributeSteps(const std::vector<InstanceDemand> &Demands,
                     std::int32_t StepPermille, std::int64_t Rest,
                     Steps &Result) {
  Steps DemandedSteps;
  DemandedSteps.reserve(Demands.size());
  for (const InstanceDemand &Demand : Demands)
    DemandedSteps.push_back((std::max(Demand.Permille_, 0) + StepPermille - 1) /
                            StepPermille);
  const std::int64_t Total = std::accumulate(
      DemandedSteps.begin(), DemandedSteps.end(), std::int64_t{0});
  const auto Count = static_cast<std::int64_t>(Demands.size());
  const bool Scarce = Total > Rest;
  std::int64_t Left = Rest;
  for (std::size_t Index = 0; Index < Demands.size(); ++Index) {
    const std::int64_t Part =
        Scarce ? Rest * DemandedSteps[Index] / Total
               : DemandedSteps[Index] + (Rest - Total) / Count;
    Result[Index] += Part;
    Left -= Part;
  }
  for (std::size_t Index : indicesByDemand(Demands)) {
    if (Left == 0)
      break;
    ++Result[Index];
    --Left;
  }
}

} // namespace

std::vector<InstanceShare>
targetShares(const std::vector<InstanceDemand> &Demands,
             std::int32_t StepPermille) {
  const std::int64_t Available = WholeLimitPermille / StepPermille;
  const auto Count = static_cast<std::int64_t>(Demands.size());
  Steps Result(Demands.size(), 0);
  if (Count > Available) {
    std::vector<std::size_t> Order = indicesByDemand(Demands);
    for (std::int64_t Index = 0; Index < Available; ++Index)
      Result[Order[static_cast<std::size_t>(Index)]] = 1;
  } else if (Count > 0) {
    const std::int64_t Floor =
        std::max<std::int64_t>(1, Available / (FloorDivisor * Count));
    std::ranges::fill(Result, Floor);
    distributeSteps(Demands, StepPermille, Available - Floor * Count, Result);
  }
  std::vector<InstanceShare> Shares;
  for (std::size_t Index = 0; Index < Demands.size(); ++Index)
    Shares.push_back({Demands[Index].Instance_,
                      static_cast<std::int32_t>(Result[Index]) * StepPermille});
  return Shares;
}

} // namespace filbertspring::membership
