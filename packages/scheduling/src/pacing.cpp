#include "filbertspring/scheduling/pacing.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// The part of a worker that harmful fillers may take together: below the
/// share from which reports show an effect.
constexpr double HarmlessShare = 0.025;
/// Part of the target from which a reported tail is too long.
constexpr double TooLong = 1.0;
/// Factor for suspects beside a tail that is too long.
constexpr double SlowDown = 0.4;
/// Percent that a filler gains at a time once the tails are short again.
constexpr int SpeedUpStep = 30;
/// Below this a filler stands still.
constexpr int LowestPace = 4;

/// Returns what \p Filler does to any of \p Serving, the worst first.
Effect worstEffect(const InterferenceModel &Model,
                   std::span<const ServingSample> Serving,
                   const FillerSample &Filler) {
  Effect Worst = Effect::Harmless;
  for (const ServingSample &Served : Serving) {
    Effect On = Model.effect(Served.Image_, Filler.Image_);
    if (On == Effect::Harmful)
      return On;
    if (On == Effect::Unknown)
      Worst = On;
  }
  return Worst;
}

} // namespace

std::vector<int> choosePaces(const InterferenceModel &Model,
                             std::span<const ServingSample> Serving,
                             std::span<const FillerSample> Fillers) {
  std::vector<Effect> Effects;
  double HarmfulShare = 0;
  bool HasSuspect = false;
  for (const FillerSample &Filler : Fillers) {
    Effects.push_back(worstEffect(Model, Serving, Filler));
    HasSuspect |= Effects.back() != Effect::Harmless;
    if (Effects.back() == Effect::Harmful)
      HarmfulShare += Filler.FullShare_;
  }
  bool IsTooLong =
      std::any_of(Serving.begin(), Serving.end(), [](const auto &Served) {
        return Served.TailFraction_ >= TooLong;
      });
  std::vector<int> Paces;
  for (std::size_t Index = 0; Index < Fillers.size(); ++Index) {
    double Percent = 100.0;
    if (Effects[Index] == Effect::Harmful)
      Percent = std::min(100.0, 100.0 * HarmlessShare / HarmfulShare);
    bool IsSuspect = Effects[Index] != Effect::Harmless || !HasSuspect;
    if (IsTooLong && IsSuspect)
      Percent = std::min(Percent, Fillers[Index].Percent_ * SlowDown);
    Percent = std::min<double>(Percent, Fillers[Index].Percent_ + SpeedUpStep);
    Paces.push_back(Percent < LowestPace ? 0 : static_cast<int>(Percent));
  }
  return Paces;
}

} // namespace filbertspring::scheduling
