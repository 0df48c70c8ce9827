#ifndef FILBERTSPRING_NODE_JOB_CACHE_H
#define FILBERTSPRING_NODE_JOB_CACHE_H

/// \file
/// Cache of final job states. They never change, so a cached state saves a call
/// to the store.

#include "filbertspring/scheduling/job.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace filbertspring::node {

/// Keeps the final states of recent jobs. The size is limited; the state that
/// was inserted first is evicted first. Operations take constant time.
class JobCache {
public:
  void insertFinalState(const std::string &Job, scheduling::JobState State);
  std::optional<scheduling::JobState> finalState(const std::string &Job) const;

private:
  std::unordered_map<std::string, scheduling::JobState> FinalStates_;
  std::deque<std::string> InsertionOrder_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_JOB_CACHE_H
