#include "filbertspring/scheduling/pacing.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// Part of the target that planned fillers may lead to: reports are half a
/// second old, and loads swing.
constexpr double PlannedPart = 0.75;
/// Part of the target from which a reported tail is acted upon.
constexpr double ActPart = 0.9;
/// Milliseconds that a filler must add to have a part in a tail.
constexpr double LeastEffectMs = 0.5;
/// Factor for fillers of unknown effect beside a tail that is too long.
constexpr double UnknownSlowDown = 0.5;
/// Percent that a filler gains at a time once the tails are short again.
constexpr int SpeedUpStep = 25;
/// Below this a filler stands still.
constexpr int LowestPace = 5;

/// Returns the highest pace at which \p Filler leaves the tail of \p Served
/// within its limit, when all known culprits share the slow-down.
double paceBeside(const InterferenceModel &Model, const ServingSample &Served,
                  std::span<const FillerSample> Fillers,
                  const FillerSample &Filler) {
  double Effect = Model.slope(Served.Image_, Filler.Image_) * Filler.FullShare_;
  bool IsTooLong = Served.TailMs_ >= ActPart * Served.TargetMs_;
  if (Effect < LeastEffectMs) {
    bool IsSuspect = IsTooLong && !Model.isKnown(Served.Image_, Filler.Image_);
    return IsSuspect ? Filler.Percent_ * UnknownSlowDown : 100.0;
  }
  double All = 0;
  double AllNow = 0;
  for (const FillerSample &One : Fillers) {
    double Of = Model.slope(Served.Image_, One.Image_) * One.FullShare_;
    All += Of;
    AllNow += Of * One.Percent_ / 100.0;
  }
  // What the task shows without fillers, now or on average.
  double Alone =
      std::max(Model.baseTailMs(Served.Image_), Served.TailMs_ - AllNow);
  double Allowed = std::max(0.0, PlannedPart * Served.TargetMs_ - Alone);
  double Percent = 100.0 * Allowed / All;
  if (IsTooLong)
    Percent = std::min(Percent, Filler.Percent_ * UnknownSlowDown);
  return Percent;
}

} // namespace

std::vector<int> choosePaces(const InterferenceModel &Model,
                             std::span<const ServingSample> Serving,
                             std::span<const FillerSample> Fillers) {
  std::vector<int> Paces;
  for (const FillerSample &Filler : Fillers) {
    double Lowest = 100.0;
    for (const ServingSample &Served : Serving)
      if (Served.TargetMs_ > 0)
        Lowest = std::min(Lowest, paceBeside(Model, Served, Fillers, Filler));
    int Pace = std::clamp(static_cast<int>(Lowest), 0, 100);
    Pace = std::min(Pace, Filler.Percent_ + SpeedUpStep);
    Paces.push_back(Pace < LowestPace ? 0 : Pace);
  }
  return Paces;
}

double fillerHeadroom(const InterferenceModel &Model,
                      std::span<const ServingSample> Serving,
                      std::span<const FillerSample> Fillers,
                      std::string_view Image) {
  double Headroom = 1.0;
  for (const ServingSample &Served : Serving) {
    double Slope = Model.slope(Served.Image_, Image);
    if (Served.TargetMs_ <= 0 || Slope < LeastEffectMs)
      continue;
    double Tail = Model.baseTailMs(Served.Image_);
    for (const FillerSample &One : Fillers)
      Tail += Model.slope(Served.Image_, One.Image_) * One.FullShare_;
    double Allowed = PlannedPart * Served.TargetMs_ - Tail;
    // A share with less than the least effect is harmless in any case.
    Headroom = std::min(Headroom, std::max(Allowed, LeastEffectMs) / Slope);
  }
  return Headroom;
}

} // namespace filbertspring::scheduling
