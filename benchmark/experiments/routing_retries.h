#ifndef FILBERTSPRING_BENCHMARK_ROUTING_RETRIES_H
#define FILBERTSPRING_BENCHMARK_ROUTING_RETRIES_H

/// \file
/// An outage of half the executors, with and without retry budget and early
/// shedding.

#include "../src/experiment.h"

namespace filbertspring::benchmark {

Report runRoutingRetries(const ExperimentOptions &Options);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_ROUTING_RETRIES_H
