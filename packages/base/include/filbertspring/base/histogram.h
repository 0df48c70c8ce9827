#ifndef FILBERTSPRING_BASE_HISTOGRAM_H
#define FILBERTSPRING_BASE_HISTOGRAM_H

/// \file
/// A histogram of durations with log-linear buckets.

#include "filbertspring/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace filbertspring {

/// Counts durations in buckets whose width is at most 1/16 of their value. Not
/// thread-safe. Adding is O(1); quantiles are linear in the number of buckets.
class Histogram {
public:
  static constexpr std::size_t SubBuckets = 16;
  static constexpr std::size_t Octaves = 40;
  static constexpr std::size_t BucketCount = SubBuckets * Octaves;

  /// Counts \p Value; a negative one counts as zero.
  void add(Duration Value);
  /// Adds the counts of \p Other.
  void merge(const Histogram &Other);
  /// Resets all counts to zero.
  void clear();

  std::uint64_t count() const { return Count_; }
  Duration sum() const { return Sum_; }
  Duration max() const { return Max_; }

  /// Returns the upper bound of the bucket that holds the quantile \p Fraction
  /// (0 to 1), at most max(); zero when the histogram is empty.
  Duration quantile(double Fraction) const;

  /// Returns the number of values in buckets that lie entirely above \p Limit.
  std::uint64_t countAbove(Duration Limit) const;

private:
  std::array<std::uint64_t, BucketCount> Buckets_{};
  std::uint64_t Count_ = 0;
  Duration Sum_{};
  Duration Max_{};
};

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_HISTOGRAM_H
