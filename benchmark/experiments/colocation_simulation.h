#ifndef FILBERTSPRING_BENCHMARK_COLOCATION_SIMULATION_H
#define FILBERTSPRING_BENCHMARK_COLOCATION_SIMULATION_H

/// \file
/// Simulates workers that run a service beside batch tasks, in virtual time.
/// Policies don't see the true slowdown of a service by a kind of batch task,
/// only delayed measurements with noise.

#include "filbertspring/placement/colocation.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace filbertspring::benchmark {

/// Places a task on the first worker with free capacity; never evicts.
struct FirstFit {};
/// Places a task while the measured tail latency is below a fixed fraction of
/// the target, and evicts the newest task while it is above the target.
struct FixedThreshold {};
/// Places tasks only on workers without a service.
struct NeverColocate {};
/// The policy of filbertspring (ColocationPolicy).
struct Interference {};

using PlacementPolicy =
    std::variant<FirstFit, FixedThreshold, NeverColocate, Interference>;

/// Settings of a simulation run.
struct ColocationSettings {
  PlacementPolicy Policy_;
  int ReportLagSeconds_ = 5;
  int Seconds_ = 7200;
  std::uint64_t Seed_ = 1;
};

/// Results of a simulation run.
struct ColocationOutcome {
  /// Mean tail latency over the service's workers.
  double MeanTailLatencyMs_ = 0.0;
  /// Seconds with the tail latency above the target, divided by the allowed
  /// number of such seconds.
  double BurnRate_ = 0.0;
  double FinishedTasks_ = 0.0;
  double Evictions_ = 0.0;
  /// CPU time that is repeated after evictions.
  double LostCoreHours_ = 0.0;
};

/// Simulates one policy.
ColocationOutcome runColocationSimulation(const ColocationSettings &Shape);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_COLOCATION_WORLD_H
