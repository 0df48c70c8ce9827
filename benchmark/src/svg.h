#ifndef FILBERTSPRING_BENCHMARK_SVG_H
#define FILBERTSPRING_BENCHMARK_SVG_H

/// \file
/// Plots as SVG documents.

#include "experiment.h"

#include <string>

namespace filbertspring::benchmark {

/// Returns a line plot with axes, their labels and a legend. Points that are
/// not finite are left out.
std::string toSvg(const Plot &Drawing);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_SVG_H
