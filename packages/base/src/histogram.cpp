#include "filbertspring/base/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace filbertspring {
namespace {

constexpr std::uint64_t SubBucketBits = 4; // log2 of Histogram::SubBuckets

/// Returns the bucket of \p Microseconds. Each value below 16 has its own
/// bucket; each octave above is divided into 16 buckets of equal width.
std::size_t bucketOf(std::uint64_t Microseconds) {
  if (Microseconds < Histogram::SubBuckets)
    return Microseconds;
  std::uint64_t Octave = std::bit_width(Microseconds) - SubBucketBits;
  std::uint64_t SubBucket = (Microseconds >> (Octave - 1)) & 15U;
  std::uint64_t Index = Octave * Histogram::SubBuckets + SubBucket;
  return std::min<std::uint64_t>(Index, Histogram::BucketCount - 1);
}

/// Returns the largest value in bucket \p Index.
std::uint64_t upperBound(std::size_t Index) {
  if (Index < Histogram::SubBuckets)
    return Index;
  std::uint64_t Octave = Index / Histogram::SubBuckets;
  std::uint64_t SubBucket = Index % Histogram::SubBuckets;
  std::uint64_t Width = std::uint64_t{1} << (Octave - 1);
  return (Histogram::SubBuckets + SubBucket + 1) * Width - 1;
}

} // namespace

void Histogram::add(Duration Value) {
  Duration Clamped = std::max(Value, Duration::zero());
  ++Buckets_[bucketOf(static_cast<std::uint64_t>(Clamped.count()))];
  ++Count_;
  Sum_ += Clamped;
  Max_ = std::max(Max_, Clamped);
}

void Histogram::merge(const Histogram &Other) {
  for (std::size_t Index = 0; Index < BucketCount; ++Index)
    Buckets_[Index] += Other.Buckets_[Index];
  Count_ += Other.Count_;
  Sum_ += Other.Sum_;
  Max_ = std::max(Max_, Other.Max_);
}

void Histogram::clear() { *this = Histogram(); }

Duration Histogram::quantile(double Fraction) const {
  if (Count_ == 0)
    return Duration::zero();
  double ExactRank = std::ceil(Fraction * static_cast<double>(Count_));
  std::uint64_t Rank =
      std::max<std::uint64_t>(1, static_cast<std::uint64_t>(ExactRank));
  std::uint64_t CumulativeCount = 0;
  for (std::size_t Index = 0; Index < BucketCount; ++Index) {
    CumulativeCount += Buckets_[Index];
    if (CumulativeCount >= Rank)
      return std::min(Max_,
                      Duration(static_cast<Duration::rep>(upperBound(Index))));
  }
  return Max_;
}

std::uint64_t Histogram::countAbove(Duration Limit) const {
  if (Limit < Duration::zero())
    return Count_;
  std::uint64_t Above = 0;
  std::size_t FirstBucket =
      bucketOf(static_cast<std::uint64_t>(Limit.count())) + 1;
  for (std::size_t Index = FirstBucket; Index < BucketCount; ++Index)
    Above += Buckets_[Index];
  return Above;
}

} // namespace filbertspring
