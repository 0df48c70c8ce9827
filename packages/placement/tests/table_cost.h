#ifndef FILBERTSPRING_PLACEMENT_TESTS_TABLE_COST_H
#define FILBERTSPRING_PLACEMENT_TESTS_TABLE_COST_H

/// \file
/// Counts what schedulers ask of the table, without faults of the table.

#include "virtual_cluster.h"

namespace filbertspring::placement::test {

/// What a burst of starts costs.
struct StartCost {
  std::size_t Starts_ = 0;
  TableUse Use_;
};

/// Submits 240 tasks at once to one scheduler with one rack, and counts for
/// ten seconds. \p StartsPerCommit bounds the group.
StartCost costOfStarts(std::size_t StartsPerCommit);

/// What the death of an instance costs in the half minute after it.
struct RecoveryCost {
  std::size_t RacksMoved_ = 0;
  std::size_t AttemptsHeld_ = 0;
  TableUse Use_;
  std::uint64_t BusiestSecond_ = 0;
};

/// Fills a cluster with long tasks, has the first instance die, and counts
/// while its racks move to the others.
RecoveryCost costOfRecovery(int Zones, int RacksPerZone, int WorkersPerRack,
                            int Nodes);

} // namespace filbertspring::placement::test

#endif // FILBERTSPRING_PLACEMENT_TESTS_TABLE_COST_H
