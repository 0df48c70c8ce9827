#ifndef FILBERTSPRING_PLACEMENT_TESTS_TABLE_COST_H
#define FILBERTSPRING_PLACEMENT_TESTS_TABLE_COST_H

/// \file
/// Counts the commits and reads that schedulers send to a table without faults.

#include "virtual_cluster.h"

namespace filbertspring::placement::test {

/// Table usage of a burst of starts.
struct StartCost {
  std::size_t Starts_ = 0;
  TableUsage Usage_;
};

/// Submits 240 tasks at once to one scheduler with one rack and counts the
/// table usage of ten seconds. A commit contains at most \p StartsPerCommit
/// starts.
StartCost measureStartCost(std::size_t StartsPerCommit);

/// Table usage in the 30 seconds after the crash of an instance.
struct RecoveryCost {
  std::size_t RacksMoved_ = 0;
  std::size_t AssignedAttempts_ = 0;
  TableUsage Usage_;
  std::uint64_t PeakCommitsPerSecond_ = 0;
};

/// Fills a cluster with long tasks, crashes the instance that schedules the
/// most racks, and counts the table usage while its racks move to other
/// instances.
RecoveryCost measureRecoveryCost(int Zones, int RacksPerZone,
                                 int WorkersPerRack, int Nodes);

} // namespace filbertspring::placement::test

#endif // FILBERTSPRING_PLACEMENT_TESTS_TABLE_COST_H
