#ifndef FILBERTSPRING_TESTS_ORACLE_H
#define FILBERTSPRING_TESTS_ORACLE_H

/// \file
/// What really ran, as executors and workers tell it.

#include "cluster.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace filbertspring::tests {

/// One interval in which an attempt ran, in microseconds of the machine's
/// monotonic clock.
struct RunInterval {
  std::string Task_;
  std::int64_t Attempt_ = 0;
  std::string Worker_;
  std::int64_t From_ = 0;
  std::int64_t Until_ = 0;
};

/// Returns how often each request ran, over all executors that answer.
std::map<std::string, int> requestRuns(Cluster &System);

/// Returns the intervals of all tasks on all workers that answer.
std::vector<RunInterval> taskRuns(Cluster &System);

/// Returns a line for each pair of intervals of one task that overlap.
std::vector<std::string> overlaps(const std::vector<RunInterval> &Runs);

/// Returns the states of a job's tasks, counted; empty when it has no answer.
std::map<std::string, int> taskStates(const Node &Entry,
                                      const std::string &Job);

} // namespace filbertspring::tests

#endif // FILBERTSPRING_TESTS_ORACLE_H
