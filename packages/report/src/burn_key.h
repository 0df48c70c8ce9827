#ifndef FILBERTSPRING_REPORT_SRC_BURN_KEY_H
#define FILBERTSPRING_REPORT_SRC_BURN_KEY_H

/// \file
/// What identifies the counts of one minute, and how counts are added up.

#include "filbertspring/domain/burn.h"

#include <compare>
#include <map>

namespace filbertspring::report_detail {

inline constexpr std::int64_t MinutesPerHour = 60;
inline constexpr std::int64_t MillisecondsPerMinute = 60'000;

/// The key of one BurnMinute.
struct BurnKey {
  std::int64_t Minute_ = 0;
  ContractName Contract_;
  ServiceName Service_;
  ZoneName Zone_;

  friend auto operator<=>(const BurnKey &, const BurnKey &) = default;
};

/// Counts by key, in the order of the keys.
using BurnMinuteMap = std::map<BurnKey, BurnMinute>;

/// Returns the counts of \p Key, zero at first use.
inline BurnMinute &minuteAt(BurnMinuteMap &Minutes, const BurnKey &Key) {
  auto [Entry, Added] = Minutes.try_emplace(Key);
  if (Added)
    Entry->second = {Key.Minute_, Key.Contract_, Key.Service_, Key.Zone_, 0,
                     {}};
  return Entry->second;
}

/// Adds \p Counts to those of the same key.
inline void addCounts(BurnMinuteMap &Minutes, const BurnMinute &Counts) {
  BurnMinute &Sum = minuteAt(Minutes, {Counts.Minute_, Counts.Contract_,
                                       Counts.Service_, Counts.Zone_});
  Sum.Good_ += Counts.Good_;
  for (std::size_t Cause = 0; Cause < BurnCauseCount; ++Cause)
    Sum.Bad_[Cause] += Counts.Bad_[Cause];
}

/// Returns the bad requests of all causes.
inline std::int64_t
badRequests(const std::array<std::int64_t, BurnCauseCount> &Bad) {
  std::int64_t Sum = 0;
  for (std::int64_t Count : Bad)
    Sum += Count;
  return Sum;
}

} // namespace filbertspring::report_detail

#endif // FILBERTSPRING_REPORT_SRC_BURN_KEY_H
