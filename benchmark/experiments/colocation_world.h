#ifndef FILBERTSPRING_BENCHMARK_COLOCATION_WORLD_H
#define FILBERTSPRING_BENCHMARK_COLOCATION_WORLD_H

/// \file
/// Workers that run a service and batch tasks beside it, in virtual time. The
/// slowdown of each pair is hidden; policies see lagging, noisy measurements.

#include "filbertspring/placement/colocation.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace filbertspring::benchmark {

/// Places on the first worker with room and never reacts.
struct FirstFit {};
/// Places below a fixed part of the target, and evicts the newest task while
/// the latest measurement is above it.
struct FixedThreshold {};
/// Places only where no service runs.
struct NeverColocate {};
/// The product's policy.
struct Interference {};

using PlacementPolicy =
    std::variant<FirstFit, FixedThreshold, NeverColocate, Interference>;

/// What a run is like.
struct ColocationShape {
  PlacementPolicy Policy_;
  int ReportLagSeconds_ = 5;
  int Seconds_ = 7200;
  std::uint64_t Seed_ = 1;
};

/// What came of a run.
struct ColocationOutcome {
  /// Mean tail over the service's workers, in milliseconds.
  double MeanTailMs_ = 0.0;
  /// Burn rate: seconds with the tail above the target, over those allowed.
  double Burn_ = 0.0;
  double Finished_ = 0.0;
  double Evictions_ = 0.0;
  /// Processor time done again after evictions, in core hours.
  double LostCoreHours_ = 0.0;
};

/// Runs one policy.
ColocationOutcome runColocationWorld(const ColocationShape &Shape);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_COLOCATION_WORLD_H
