#ifndef FILBERTSPRING_BENCHMARK_COLOCATION_H
#define FILBERTSPRING_BENCHMARK_COLOCATION_H

/// \file
/// Batch work beside services: the interference policy and its baselines.

#include "../src/experiment.h"

namespace filbertspring::benchmark {

Report runColocation(const ExperimentOptions &Options);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_COLOCATION_H
