#include "job_cache.h"

#include <utility>

namespace filbertspring::node {
namespace {

/// The maximum number of cached jobs, which take about 1 MB. Covers some hours
/// at 8,000 jobs a day.
constexpr std::size_t MaxCachedJobs = 10'000;

} // namespace

void JobCache::insertFinalState(const std::string &Job, FinalJob State) {
  if (!FinalStates_.insert_or_assign(Job, std::move(State)).second)
    return;
  InsertionOrder_.push_back(Job);
  if (InsertionOrder_.size() <= MaxCachedJobs)
    return;
  FinalStates_.erase(InsertionOrder_.front());
  InsertionOrder_.pop_front();
}

std::optional<FinalJob> JobCache::finalState(const std::string &Job) const {
  auto Found = FinalStates_.find(Job);
  if (Found == FinalStates_.end())
    return std::nullopt;
  return Found->second;
}

void JobCache::insertOwner(const std::string &Job, const std::string &Workspace,
                           TimePoint Time) {
  if (!Owners_.insert_or_assign(Job, Owner{Workspace, Time + OwnerValidity})
           .second)
    return;
  OwnerInsertionOrder_.push_back(Job);
  if (OwnerInsertionOrder_.size() <= MaxCachedJobs)
    return;
  Owners_.erase(OwnerInsertionOrder_.front());
  OwnerInsertionOrder_.pop_front();
}

std::optional<std::string> JobCache::owner(const std::string &Job,
                                           TimePoint Now) const {
  auto Found = Owners_.find(Job);
  if (Found == Owners_.end() || Now >= Found->second.ValidUntil_)
    return std::nullopt;
  return Found->second.Workspace_;
}

} // namespace filbertspring::node
