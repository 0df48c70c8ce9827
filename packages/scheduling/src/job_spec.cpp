#include "filbertspring/scheduling/job_spec.h"

#include "filbertspring/base/checked_arithmetic.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring::scheduling {

Resources &Resources::operator+=(const Resources &Other) {
  MilliCpu_ += Other.MilliCpu_;
  MemoryMb_ += Other.MemoryMb_;
  Accelerators_ += Other.Accelerators_;
  return *this;
}

Resources &Resources::operator-=(const Resources &Other) {
  MilliCpu_ -= Other.MilliCpu_;
  MemoryMb_ -= Other.MemoryMb_;
  Accelerators_ -= Other.Accelerators_;
  return *this;
}

bool Resources::fits(const Resources &Used, const Resources &Request) const {
  return Used.MilliCpu_ + Request.MilliCpu_ <= MilliCpu_ &&
         Used.MemoryMb_ + Request.MemoryMb_ <= MemoryMb_ &&
         Used.Accelerators_ + Request.Accelerators_ <= Accelerators_;
}

bool Resources::isWithin(const Resources &Limit) const {
  return MilliCpu_ <= Limit.MilliCpu_ && MemoryMb_ <= Limit.MemoryMb_ &&
         Accelerators_ <= Limit.Accelerators_;
}

Resources Resources::limitedTo(const Resources &Limit) const {
  return {std::min(MilliCpu_, Limit.MilliCpu_),
          std::min(MemoryMb_, Limit.MemoryMb_),
          std::min(Accelerators_, Limit.Accelerators_)};
}

bool JobSpec::isLongRunning() const {
  return std::any_of(Steps_.begin(), Steps_.end(),
                     [](const StepSpec &Step) { return Step.IsLongRunning_; });
}

std::string findSpecError(const JobSpec &Spec) {
  if (Spec.Steps_.empty())
    return "a job needs at least one step";
  std::optional<std::uint64_t> Tasks = 0;
  for (std::uint32_t Number = 0; Number < Spec.Steps_.size(); ++Number) {
    const StepSpec &Step = Spec.Steps_[Number];
    if (Step.Count_ == 0)
      return fmt::format("step {} has no tasks", Number);
    Tasks = checkedSum(
        Tasks, checkedProduct<std::uint64_t>(Step.Count_, Spec.Occurrences_));
    if (!Step.Request_.isWithin(MaxResources))
      return fmt::format("step {} requests more than any worker has", Number);
    for (std::uint32_t Earlier : Step.DependsOn_)
      if (Earlier >= Number)
        return fmt::format("step {} follows step {}, which is not earlier",
                           Number, Earlier);
  }
  if (!Tasks || *Tasks > MaxTasksPerJob)
    return fmt::format("the steps have more than {} tasks", MaxTasksPerJob);
  std::optional<std::int64_t> Delay = checkedProduct<std::int64_t>(
      std::int64_t{Spec.Occurrences_} - 1, Spec.IntervalMs_);
  if (!checkedSum<std::int64_t>(Spec.FirstDueMs_, Delay))
    return "the last occurrence is due too late";
  return {};
}

Duration criticalPath(const JobSpec &Spec,
                      const std::function<bool(std::uint32_t)> &IsOpen) {
  // The length of the longest path that ends with each step.
  std::vector<Duration> Chains;
  Duration Longest{};
  for (std::uint32_t Number = 0; Number < Spec.Steps_.size(); ++Number) {
    const StepSpec &Step = Spec.Steps_[Number];
    Duration Chain{};
    for (std::uint32_t Earlier : Step.DependsOn_)
      Chain = std::max(Chain, Chains[Earlier]);
    if (IsOpen(Number))
      Chain += Step.Estimate_;
    Chains.push_back(Chain);
    Longest = std::max(Longest, Chain);
  }
  return Longest;
}

Duration criticalPath(const JobSpec &Spec) {
  return criticalPath(Spec, [](std::uint32_t) { return true; });
}

} // namespace filbertspring::scheduling
