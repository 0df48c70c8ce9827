#ifndef FILBERTSPRING_PLACEMENT_BACKOFF_H
#define FILBERTSPRING_PLACEMENT_BACKOFF_H

/// \file
/// Exponential backoff with jitter.

#include "filbertspring/base/time.h"

#include <algorithm>
#include <pcg_random.hpp>

namespace filbertspring::placement {

/// The delay before the next retry of one operation.
class Backoff {
public:
  /// Counts a failure and returns the delay: \p First doubled with each failure
  /// up to \p Limit, reduced at random by up to half.
  Duration fail(Duration First, Duration Limit, pcg32 &Random) {
    constexpr int MaxDoublings = 20;
    Duration Full = std::min(Limit, First * (1 << Doublings_));
    Doublings_ = std::min(Doublings_ + 1, MaxDoublings);
    auto Half = static_cast<std::uint32_t>(Full.count() / 2);
    return Full - Duration(Random(Half + 1));
  }
  void reset() { Doublings_ = 0; }

private:
  int Doublings_ = 0;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_BACKOFF_H
