#ifndef FILBERTSPRING_BENCHMARK_ROUTING_RUNS_H
#define FILBERTSPRING_BENCHMARK_ROUTING_RUNS_H

/// \file
/// Policies to compare, and the figures of a run of a RoutingWorld.

#include "routing_world.h"

#include <string>
#include <vector>

namespace filbertspring::benchmark {

using namespace routing;

/// A router configuration with a name.
struct NamedPolicy {
  std::string Name_;
  RouterConfig Config_;
};

/// The chosen policy first, then the chosen policy without hedges, then the
/// baselines.
std::vector<NamedPolicy> comparedPolicies();

/// A world of today's size whose callers use \p Load of the slots.
WorldShape shapeAt(double Load, const RouterConfig &Config, bool Quick);

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
RunFigures figuresOf(const RoutingWorld &World, const WorldShape &Shape,
                     std::size_t Stream = 0);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_ROUTING_RUNS_H
