#ifndef FILBERTSPRING_BENCHMARK_CELL_LOAD_SIMULATION_H
#define FILBERTSPRING_BENCHMARK_CELL_LOAD_SIMULATION_H

/// \file
/// A cell in virtual time: the real scheduler, simulated workers, a store that
/// commits after a fixed time, and jobs of three kinds.

#include "filbertspring/scheduling/scheduler.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace filbertspring::benchmark {

/// The size and the load of a cell.
struct CellLoad {
  int Workers_ = 48;
  /// Jobs of each kind per second. A timed job has two steps of tasks that end;
  /// a filler job has two steps that use what other tasks leave idle; the tasks
  /// of a long-running job serve users until the end.
  double TimedJobs_ = 1;
  double FillerJobs_ = 1;
  double LongRunningJobs_ = 0.05;
  std::uint32_t TimedTasks_ = 13;
  std::uint32_t FillerTasks_ = 40;
  std::uint32_t LongRunningTasks_ = 24;
  /// The fraction of the cell that long-running tasks hold from the start.
  double LongRunningFill_ = 0.75;
  double Seconds_ = 30;
  int ServingImages_ = 6;
  int FillerImages_ = 6;
  /// The jobs belong to so many workspaces in turn; 0 for none.
  int Workspaces_ = 0;
};

/// Processor time of the scheduler, in seconds, by the kind of event.
struct DecisionTime {
  double Reports_ = 0;
  double Answers_ = 0;
  double Advance_ = 0;
  double Place_ = 0;
  double Writes_ = 0;

  double sum() const {
    return Reports_ + Answers_ + Advance_ + Place_ + Writes_;
  }
};

/// What the callers of one kind of job got.
struct KindResult {
  int Jobs_ = 0;
  int InTime_ = 0;
  int Late_ = 0;
  std::vector<double> WaitsMs_;
};

/// The result of one run.
struct CellResult {
  KindResult Timed_;
  KindResult Fillers_;
  /// Seconds that long-running tasks ran, as a fraction of those asked for.
  double LongRunningShare_ = 0;
  /// Seconds that long-running tasks were over their target.
  double OverTargetSeconds_ = 0;
  std::uint64_t Starts_ = 0;
  std::uint64_t Renewals_ = 0;
  std::uint64_t Paces_ = 0;
  std::uint64_t Commits_ = 0;
  std::uint64_t StoredBytes_ = 0;
  DecisionTime Time_;
};

/// Runs \p Load with the random numbers of \p Seed.
CellResult runCell(const CellLoad &Load, std::uint64_t Seed);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_CELL_LOAD_SIMULATION_H
