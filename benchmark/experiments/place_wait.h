#ifndef FILBERTSPRING_BENCHMARK_PLACE_WAIT_H
#define FILBERTSPRING_BENCHMARK_PLACE_WAIT_H

/// \file
/// Experiment: what callers get if tasks wait for a place near their data, for
/// a fixed time, or not at all, while many jobs want the same rack.

#include "experiment.h"

namespace filbertspring::benchmark {

Report runPlaceWaitExperiment(const ExperimentOptions &Options);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_PLACE_WAIT_H
