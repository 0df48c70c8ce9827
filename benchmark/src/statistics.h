#ifndef FILBERTSPRING_BENCHMARK_STATISTICS_H
#define FILBERTSPRING_BENCHMARK_STATISTICS_H

/// \file
/// Quantiles of a run, and the mean and spread of a figure over seeds.

#include <string>
#include <vector>

namespace filbertspring::benchmark {

/// A figure over several seeds.
struct Spread {
  double Mean_ = 0.0;
  double Low_ = 0.0;
  double High_ = 0.0;
};

/// Returns the mean, least and greatest of \p Values; zeros when empty.
Spread spreadOf(const std::vector<double> &Values);

/// Returns the quantile \p Fraction (0 to 1) of \p Sorted; 0 when empty.
double quantileOf(const std::vector<double> &Sorted, double Fraction);

/// Returns "mean (low to high)" with \p Digits after the point.
std::string toText(const Spread &Figure, int Digits = 1);

/// Returns a verdict line: "PASS text" or "FAIL text".
std::string verdict(bool Holds, const std::string &Text);

} // namespace filbertspring::benchmark

#endif // FILBERTSPRING_BENCHMARK_STATISTICS_H
