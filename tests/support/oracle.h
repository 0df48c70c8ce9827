#ifndef FILBERTSPRING_TESTS_ORACLE_H
#define FILBERTSPRING_TESTS_ORACLE_H

/// \file
/// Reads from the stand-in executors and workers which requests and tasks ran.

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

/// Returns the number of runs of each request, over all reachable executors.
std::map<std::string, int> runsByRequest(Cluster &System);

/// Returns the run intervals of all tasks on all reachable workers.
std::vector<RunInterval> taskRunIntervals(Cluster &System);

/// Returns a line for each pair of intervals of one task that overlap.
std::vector<std::string> findOverlaps(const std::vector<RunInterval> &Runs);

/// Returns the number of tasks of a job in each state; empty when the entry
/// instance sends no job state.
std::map<std::string, int> countTaskStates(const Node &Entry,
                                           const std::string &Job);

} // namespace filbertspring::tests

#endif // FILBERTSPRING_TESTS_ORACLE_H
