#ifndef FILBERTSPRING_BENCHMARK_COLOCATION_H
#define FILBERTSPRING_BENCHMARK_COLOCATION_H

/// \file
/// Compares colocation policies for batch work beside services.

#include "../src/experiment.h"

namespace filbertspring::benchmark {

Report runColocation(const ExperimentOptions &Options);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_COLOCATION_H
