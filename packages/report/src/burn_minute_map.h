#ifndef FILBERTSPRING_REPORT_SRC_BURN_MINUTE_MAP_H
#define FILBERTSPRING_REPORT_SRC_BURN_MINUTE_MAP_H

/// \file
/// A map of request counts by minute, contract, service and zone, and sums of
/// such counts.

#include "filbertspring/domain/burn.h"

#include <compare>
#include <map>

namespace filbertspring::report_detail {

inline constexpr std::int64_t MinutesPerHour = 60;
inline constexpr std::int64_t MillisecondsPerMinute = 60'000;

/// Identifies one BurnMinute.
struct BurnMinuteKey {
  std::int64_t Minute_ = 0;
  ContractName Contract_;
  ServiceName Service_;
  ZoneName Zone_;

  friend auto operator<=>(const BurnMinuteKey &,
                          const BurnMinuteKey &) = default;
};

/// Counts by key, in the order of the keys.
using BurnMinuteMap = std::map<BurnMinuteKey, BurnMinute>;

/// Returns the counts of \p Key; inserts zero counts if there are none.
inline BurnMinute &countsOf(BurnMinuteMap &Minutes, const BurnMinuteKey &Key) {
  auto [Entry, Inserted] = Minutes.try_emplace(Key);
  if (Inserted)
    Entry->second = {Key.Minute_, Key.Contract_, Key.Service_, Key.Zone_, 0,
                     {}};
  return Entry->second;
}

/// Adds \p Counts to the entry of \p Minutes with the same key.
inline void addCounts(BurnMinuteMap &Minutes, const BurnMinute &Counts) {
  BurnMinute &Sum = countsOf(Minutes, {Counts.Minute_, Counts.Contract_,
                                       Counts.Service_, Counts.Zone_});
  Sum.Good_ += Counts.Good_;
  for (std::size_t Cause = 0; Cause < BurnCauseCount; ++Cause)
    Sum.Bad_[Cause] += Counts.Bad_[Cause];
}

/// Returns the sum of \p Bad over all causes.
inline std::int64_t
totalBadRequests(const std::array<std::int64_t, BurnCauseCount> &Bad) {
  std::int64_t Sum = 0;
  for (std::int64_t Count : Bad)
    Sum += Count;
  return Sum;
}

} // namespace filbertspring::report_detail

#endif // FILBERTSPRING_REPORT_SRC_BURN_MINUTE_MAP_H
