#ifndef FILBERTSPRING_BENCHMARK_ROUTING_LOAD_H
#define FILBERTSPRING_BENCHMARK_ROUTING_LOAD_H

/// \file
/// The chosen endpoint policy against baselines, under load and faults.

#include "../src/experiment.h"

namespace filbertspring::benchmark {

Report runRoutingLoad(const ExperimentOptions &Options);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_ROUTING_LOAD_H
