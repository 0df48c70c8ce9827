#ifndef FILBERTSPRING_BENCHMARK_SHARES_FOLLOW_H
#define FILBERTSPRING_BENCHMARK_SHARES_FOLLOW_H

/// \file
/// How fast shares follow demand, at what cost, and how fast a change of
/// configuration spreads; both in virtual time.

#include "../src/experiment.h"

namespace filbertspring::benchmark {

Report runSharesFollow(const ExperimentOptions &Options);
Report runConfigurationSpread(const ExperimentOptions &Options);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_SHARES_FOLLOW_H
