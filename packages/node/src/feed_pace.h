#ifndef FILBERTSPRING_NODE_FEED_PACE_H
#define FILBERTSPRING_NODE_FEED_PACE_H

/// \file
/// Decides when a change feed is read again.

#include "filbertspring/base/time.h"

#include <algorithm>
#include <cstddef>

namespace filbertspring::node {

/// A page with at least this many rows may be followed by more: the feed is
/// behind, or the store returns a backlog in parts. If it is not behind, the
/// next page is small, so this adds at most one read to each interval.
inline constexpr std::size_t LargeFeedPageRows = 100;

/// Returns how long to wait before the next read of a feed that is read once
/// in \p Interval, if the last read took \p Took and returned \p Rows. Reads
/// that take longer follow each other without a pause.
inline Duration pauseBeforeFeed(std::size_t Rows, Duration Took,
                                Duration Interval) {
  if (Rows >= LargeFeedPageRows)
    return Duration::zero();
  return std::max(Interval - Took, Duration::zero());
}

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_FEED_PACE_H
