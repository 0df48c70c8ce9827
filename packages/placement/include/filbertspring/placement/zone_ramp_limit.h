#ifndef FILBERTSPRING_PLACEMENT_ZONE_RAMP_LIMIT_H
#define FILBERTSPRING_PLACEMENT_ZONE_RAMP_LIMIT_H

/// \file
/// Rate limit for starts in an availability zone that returned to service.

#include "filbertspring/base/time.h"
#include "filbertspring/placement/scheduler_settings.h"

#include <cstdint>
#include <optional>

namespace filbertspring::placement {

/// Limits the rate of starts in one zone after its return to service. The rate
/// grows linearly during the ramp; after the ramp there is no limit.
class ZoneRampLimit {
public:
  /// Starts the ramp of a zone that returned to service at \p Now.
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
