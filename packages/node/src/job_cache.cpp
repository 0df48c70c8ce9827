#include "job_cache.h"

namespace filbertspring::node {
namespace {

/// About 1 MB: the jobs of some hours at 8,000 a day.
constexpr std::size_t MaxJobs = 10'000;

} // namespace

void JobCache::rememberFinal(const std::string &Job,
                             scheduling::JobState State) {
  if (!Jobs_.insert_or_assign(Job, State).second)
    return;
  Order_.push_back(Job);
  if (Order_.size() <= MaxJobs)
    return;
  Jobs_.erase(Order_.front());
  Order_.pop_front();
}

std::optional<scheduling::JobState>
JobCache::finalState(const std::string &Job) const {
  auto Found = Jobs_.find(Job);
  if (Found == Jobs_.end())
    return std::nullopt;
  return Found->second;
}

} // namespace filbertspring::node
