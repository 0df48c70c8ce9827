#include "statistics.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>

namespace filbertspring::benchmark {

Spread spreadOf(const std::vector<double> &Values) {
  if (Values.empty())
    return {};
  double Sum = std::accumulate(Values.begin(), Values.end(), 0.0);
  auto [Low, High] = std::ranges::minmax(Values);
  return {Sum / static_cast<double>(Values.size()), Low, High};
}

double quantileOf(const std::vector<double> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0.0;
  auto Count = static_cast<double>(Sorted.size());
  auto Rank = static_cast<std::size_t>(std::ceil(Fraction * Count));
  return Sorted[std::clamp<std::size_t>(Rank, 1, Sorted.size()) - 1];
}

std::string toText(const Spread &Figure, int Digits) {
  return fmt::format("{1:.{0}f} ({2:.{0}f} to {3:.{0}f})", Digits, Figure.Mean_,
                     Figure.Low_, Figure.High_);
}

std::string verdict(bool Holds, const std::string &Text) {
  return (Holds ? "PASS " : "FAIL ") + Text;
}

} // namespace filbertspring::benchmark
