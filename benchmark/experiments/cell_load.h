#ifndef FILBERTSPRING_BENCHMARK_CELL_LOAD_H
#define FILBERTSPRING_BENCHMARK_CELL_LOAD_H

/// \file
/// Experiment: one cell with 48 to 1,100 workers under its usual load and twice
/// that load: what callers get, and the processor time of the owner's
/// decisions.

#include "experiment.h"

namespace filbertspring::benchmark {

Report runCellLoad(const ExperimentOptions &Options);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_CELL_LOAD_H
