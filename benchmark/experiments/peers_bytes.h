#ifndef FILBERTSPRING_BENCHMARK_PEERS_BYTES_H
#define FILBERTSPRING_BENCHMARK_PEERS_BYTES_H

/// \file
/// Bytes and messages between peers for several cluster sizes.

#include "../src/experiment.h"

namespace filbertspring::benchmark {

Report runPeersBytes(const ExperimentOptions &Options);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_PEERS_BYTES_H
