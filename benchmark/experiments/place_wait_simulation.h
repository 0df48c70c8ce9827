#ifndef FILBERTSPRING_BENCHMARK_PLACE_WAIT_SIMULATION_H
#define FILBERTSPRING_BENCHMARK_PLACE_WAIT_SIMULATION_H

/// \file
/// A cell in virtual time whose jobs name the rack of their data: the real
/// scheduler, workers on which tasks are slower far from their data, and a
/// store that commits after a fixed time.

#include "filbertspring/scheduling/scheduler.h"

#include <cstdint>
#include <vector>

namespace filbertspring::benchmark {

/// The cell, its load and the policy of the scheduler.
struct PlaceWaitLoad {
  int Racks_ = 6;
  int WorkersPerRack_ = 8;
  std::int64_t WorkerMilliCpu_ = 16'000;
  /// The work of the submitted jobs near their data, as a fraction of what all
  /// workers can do.
  double Load_ = 0.5;
  /// The fraction of the jobs that name a rack, usually any.
  double NamingShare_ = 0.6;
  /// The fraction of all jobs that want the first rack while it is hot.
  double HotShare_ = 0.6;
  /// The time that the rack is hot, and the time from one beginning to the
  /// next.
  double HotSeconds_ = 5.5;
  double HotPeriod_ = 15;
  /// The fraction of jobs whose tasks prefer to run on one rack, whichever.
  double OneRackShare_ = 0;
  double FarFactor_ = 3;
  /// Mean run time of a task near its data.
  double MeanSeconds_ = 0.64;
  /// Estimates are off by up to this fraction of the value.
  double EstimateError_ = 0.9;
  double Seconds_ = 60;
  scheduling::PlaceWaitPolicy Policy_;
};

/// What the callers of some jobs got.
struct PlaceWaitGroup {
  int Jobs_ = 0;
  int InTime_ = 0;
  int Late_ = 0;
  /// The sum of the times to the ends of the jobs.
  double SumSeconds_ = 0;
};

struct PlaceWaitResult {
  PlaceWaitGroup All_;
  /// Jobs that wanted the hot rack while it was hot.
  PlaceWaitGroup Hot_;
  /// Jobs without a preference.
  PlaceWaitGroup Others_;
  /// Jobs whose tasks prefer to run on one rack.
  PlaceWaitGroup OneRack_;
  int FarStarts_ = 0;
  int NamingStarts_ = 0;
  scheduling::PlaceWaitCounts Counts_;
  /// Processor time of the scheduler.
  double PlaceSeconds_ = 0;
};

/// Runs \p Load with the random numbers of \p Seed, which determine the same
/// jobs for each policy.
PlaceWaitResult runPlaceWait(const PlaceWaitLoad &Load, std::uint64_t Seed);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_PLACE_WAIT_SIMULATION_H
