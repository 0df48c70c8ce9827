#ifndef FILBERTSPRING_NODE_JOB_CACHE_H
#define FILBERTSPRING_NODE_JOB_CACHE_H

/// \file
/// Facts about jobs that never change, kept to save calls of the store.

#include "filbertspring/scheduling/job.h"
#include "filbertspring/scheduling/row_store.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace filbertspring::node {

/// Keeps the cells and the final states of recent jobs. Bounded: the oldest
/// jobs are forgotten first. Operations take constant time.
class JobCache {
public:
  /// Keeps the cell of an acceptance.
  void remember(const std::string &Job, const scheduling::Row &Accepted);
  void rememberFinal(const std::string &Job, scheduling::JobState State);
  std::optional<std::string> cell(const std::string &Job) const;
  std::optional<scheduling::JobState> finalState(const std::string &Job) const;

private:
  struct Facts {
    std::string Cell_;
    std::optional<scheduling::JobState> Final_;
  };
  Facts &factsOf(const std::string &Job);

  std::unordered_map<std::string, Facts> Jobs_;
  std::deque<std::string> Order_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_JOB_CACHE_H
