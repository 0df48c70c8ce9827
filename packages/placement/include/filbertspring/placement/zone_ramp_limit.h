#ifndef FILBERTSPRING_PLACEMENT_ZONE_RAMP_LIMIT_H
#define FILBERTSPRING_PLACEMENT_ZONE_RAMP_LIMIT_H

/// \file
/// How fast an availability zone that returned to service is filled.

#include "filbertspring/base/time.h"
#include "filbertspring/placement/scheduler_settings.h"

#include <cstdint>
#include <optional>

namespace filbertspring::placement {

/// Bounds the starts in one zone after its return. The allowed rate grows
/// linearly until the ramp ends, from when there is no bound.
class ZoneRampLimit {
public:
  /// The zone returned at \p Now.
  void restart(TimePoint Now);
  /// Returns true when one more start is allowed at \p Now.
  bool mayStart(TimePoint Now, const DrainSettings &Settings) const;
  /// Counts one start.
  void countStart() { ++Starts_; }

private:
  std::optional<TimePoint> ReturnedAt_;
  std::int64_t Starts_ = 0;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_ZONE_RAMP_LIMIT_H
