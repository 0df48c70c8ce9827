#ifndef FILBERTSPRING_BENCHMARK_SHARES_FOLLOW_H
#define FILBERTSPRING_BENCHMARK_SHARES_FOLLOW_H

/// \file
/// Measures, in virtual time, how fast shares follow demand, the table writes
/// for it, and how fast a configuration change reaches all instances.

#include "../src/experiment.h"

namespace filbertspring::benchmark {

Report runSharesFollow(const ExperimentOptions &Options);
Report runConfigurationSpread(const ExperimentOptions &Options);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_SHARES_FOLLOW_H
