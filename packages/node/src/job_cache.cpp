#include "job_cache.h"

#include "rows.h"

namespace filbertspring::node {
namespace {

/// About 2 MB: the jobs of some hours at 8,000 a day.
constexpr std::size_t MaxJobs = 10'000;

} // namespace

JobCache::Facts &JobCache::factsOf(const std::string &Job) {
  auto [Place, IsNew] = Jobs_.try_emplace(Job);
  if (IsNew) {
    Order_.push_back(Job);
    if (Order_.size() > MaxJobs) {
      Jobs_.erase(Order_.front());
      Order_.pop_front();
    }
  }
  return Jobs_[Job];
}

void JobCache::remember(const std::string &Job,
                        const scheduling::Row &Accepted) {
  factsOf(Job).Cell_ = storedCell(Accepted.Value_);
}

void JobCache::rememberFinal(const std::string &Job,
                             scheduling::JobState State) {
  factsOf(Job).Final_ = State;
}

std::optional<std::string> JobCache::cell(const std::string &Job) const {
  auto Found = Jobs_.find(Job);
  if (Found == Jobs_.end() || Found->second.Cell_.empty())
    return std::nullopt;
  return Found->second.Cell_;
}

std::optional<scheduling::JobState>
JobCache::finalState(const std::string &Job) const {
  auto Found = Jobs_.find(Job);
  return Found == Jobs_.end() ? std::nullopt : Found->second.Final_;
}

} // namespace filbertspring::node
