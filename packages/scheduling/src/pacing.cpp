#include "filbertspring/scheduling/pacing.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// Fraction of the target at which fillers are slowed down: the reported tail
/// is half a second old and rough.
constexpr double SlowDownFrom = 0.9;
/// Fraction of the target below which fillers are sped up.
constexpr double SpeedUpBelow = 0.7;
/// Factor of one slow-down; two of them stay within one second of reports.
constexpr double SlowDownFactor = 0.5;
/// Percent of one speed-up, a report each second.
constexpr int SpeedUpStep = 15;
/// Below this, fillers stand still.
constexpr int LowestPace = 10;

} // namespace

void FillPace::observe(double TailFraction) {
  if (TailFraction >= SlowDownFrom) {
    int Slower = static_cast<int>(Percent_ * SlowDownFactor);
    Percent_ = Slower < LowestPace ? 0 : Slower;
    return;
  }
  if (TailFraction < SpeedUpBelow)
    Percent_ = std::min(100, Percent_ + SpeedUpStep);
}

} // namespace filbertspring::scheduling
