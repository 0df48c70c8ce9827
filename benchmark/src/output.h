#ifndef FILBERTSPRING_BENCHMARK_OUTPUT_H
#define FILBERTSPRING_BENCHMARK_OUTPUT_H

/// \file
/// Reports as text tables and as JSON.

#include "experiment.h"

#include <string>

namespace filbertspring::benchmark {

/// Returns the rows in aligned columns, in the syntax of a Markdown table,
/// followed by one line for each verdict.
std::string toTable(const Report &Result);

/// Returns {"experiment","rows":[{column: value}],"verdicts":[...]}.
std::string toJson(std::string_view Name, const Report &Result);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_OUTPUT_H
