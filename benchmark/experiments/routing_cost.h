#ifndef FILBERTSPRING_BENCHMARK_ROUTING_COST_H
#define FILBERTSPRING_BENCHMARK_ROUTING_COST_H

/// \file
/// Time of one routing decision as the number of executors grows.

#include "../src/experiment.h"

namespace filbertspring::benchmark {

Report runRoutingCost(const ExperimentOptions &Options);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_ROUTING_COST_H
