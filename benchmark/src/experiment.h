#ifndef FILBERTSPRING_BENCHMARK_EXPERIMENT_H
#define FILBERTSPRING_BENCHMARK_EXPERIMENT_H

/// \file
/// The experiments of filbertbench and the tables that they produce.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring::benchmark {

/// A line of a plot: y values over x values.
struct Series {
  std::string Name_;
  std::vector<double> X_;
  std::vector<double> Y_;
};

/// A plot made from an experiment.
struct Plot {
  std::string Title_;
  std::string XLabel_;
  std::string YLabel_;
  std::vector<Series> Series_;
};

/// The result of an experiment.
struct Report {
  std::vector<std::string> Columns_;
  std::vector<std::vector<std::string>> Rows_;
  std::vector<Plot> Plots_;
  /// One verdict for each target that the experiment checks, such as
  /// "PASS p99 at 85 % is at most half of round robin's (0.31)".
  std::vector<std::string> Verdicts_;
};

/// Options of an experiment run.
struct ExperimentOptions {
  /// The first seed; an experiment uses Seeds_ consecutive seeds.
  std::uint64_t Seed_ = 1;
  int Seeds_ = 5;
  /// Smaller runs for quick checks.
  bool Quick_ = false;
};

/// A named experiment.
struct Experiment {
  std::string_view Name_;
  std::string_view Summary_;
  Report (*Run_)(const ExperimentOptions &Options);
};

/// Returns all experiments, ordered by name.
std::vector<Experiment> allExperiments();

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_EXPERIMENT_H
