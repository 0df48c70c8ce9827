#ifndef FILBERTSPRING_BENCHMARK_ROUTING_FAIRNESS_H
#define FILBERTSPRING_BENCHMARK_ROUTING_FAIRNESS_H

/// \file
/// One contract far above its limit beside one within its own.

#include "../src/experiment.h"

namespace filbertspring::benchmark {

Report runRoutingFairness(const ExperimentOptions &Options);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_ROUTING_FAIRNESS_H
