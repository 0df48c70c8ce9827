#ifndef FILBERTSPRING_BENCHMARK_ROUTING_RUNS_H
#define FILBERTSPRING_BENCHMARK_ROUTING_RUNS_H

/// \file
/// Policies to compare, and the figures of a run of a RoutingSimulation.

#include "routing_simulation.h"

#include <string>
#include <vector>

namespace filbertspring::benchmark {

using namespace routing;

/// A router configuration with a name.
struct NamedPolicy {
  std::string Name_;
  RouterConfig Config_;
};

/// Returns the default policy, the default policy without hedges, then the
/// baselines.
std::vector<NamedPolicy> comparedPolicies();

/// Returns a simulation of the default size whose callers use the fraction
/// \p Load of the slots.
SimulationSettings settingsAtLoad(double Load, const RouterConfig &Config,
                                  bool Quick);

/// Figures of one run. Requests that were not completed count in the quantiles
/// with the deadline as their latency.
struct RunFigures {
  double P50_ = 0.0;
  double P99_ = 0.0;
  double P999_ = 0.0;
  double FailedPercent_ = 0.0;
  double BusyPerThousand_ = 0.0;
  double RemotePercent_ = 0.0;
  double AttemptsPerRequest_ = 0.0;
};

/// Returns the figures of \p World, in milliseconds, for the requests of
/// \p Stream that were due in the measured time.
RunFigures figuresOf(const RoutingSimulation &Simulation,
                     const SimulationSettings &Settings,
                     std::size_t Stream = 0);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_ROUTING_RUNS_H
