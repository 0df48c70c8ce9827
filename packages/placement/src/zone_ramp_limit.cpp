#include "filbertspring/placement/zone_ramp_limit.h"

namespace filbertspring::placement {

void ZoneRampLimit::restart(TimePoint Now) {
  ReturnedAt_ = Now;
  Starts_ = 0;
}

bool ZoneRampLimit::mayStart(TimePoint Now,
                             const DrainSettings &Settings) const {
  if (!ReturnedAt_)
    return true;
  Duration Passed = Now - *ReturnedAt_;
  if (Passed >= Settings.RampDuration_)
    return true;
  // The rate at the end of the ramp is ten times the initial rate.
  constexpr double GrowthOverRamp = 9.0;
  double Seconds = std::chrono::duration<double>(Passed).count();
  double Length = std::chrono::duration<double>(Settings.RampDuration_).count();
  double MeanGrowth = 1.0 + GrowthOverRamp * Seconds / (2.0 * Length);
  double Allowed = 1.0 + Settings.RampStartsPerSecond_ * Seconds * MeanGrowth;
  return static_cast<double>(Starts_) < Allowed;
}

} // namespace filbertspring::placement
