#include "filbertspring/scheduling/pacing.h"

#include <algorithm>
#include <cmath>

namespace filbertspring::scheduling {
namespace {

/// Planned fillers leave the target this many deviations of a report away: one
/// report in forty is over it by chance.
constexpr double PlannedDeviations = 2.0;
/// Part of the target from which a reported tail is acted upon.
constexpr double ActPart = 0.9;
/// What a filler must add to the logarithm of a tail to have a part in it: a
/// tenth of the tail.
constexpr double LeastEffect = 0.1;
/// An effect below this counts as harmless: a filler that takes a tenth of a
/// worker lengthens a tail by a sixth.
constexpr double HarmlessEffect = 1.5;
/// How far a reported tail moves the estimate of what it would be alone:
/// reports of one task scatter as much as the loads swing.
constexpr double ReportWeight = 0.5;
/// An estimate of a tail alone that may be off by more than this factor's
/// logarithm is not used: two and a half.
constexpr double LargestDeviation = 0.9;
/// Factor for the present paces of those with a part in a tail that is too
/// long.
constexpr double SlowDown = 0.5;
/// Percent that a filler gains at a time once the tails are short again.
constexpr int SpeedUpStep = 25;
/// Below this a filler stands still.
constexpr int LowestPace = 5;

/// Returns the logarithm of the tail that planned fillers may lead to.
double plannedLog(const ServingSample &Served) {
  return std::log(Served.TargetMs_) -
         PlannedDeviations * InterferenceModel::ReportDeviation;
}

/// What \p Filler adds to the logarithm of the tail at full speed. Beside a
/// tail that is too long, it may be as bad as the model cannot rule out.
double fullEffect(const InterferenceModel &Model, const ServingSample &Served,
                  const FillerSample &Filler, bool IsTooLong) {
  Estimate Known = Model.effect(Served.Image_, Filler.Image_);
  return (Known.Mean_ + (IsTooLong ? Known.Deviation_ : 0)) * Filler.FullShare_;
}

/// Returns the highest pace that all fillers with a part in the tail of
/// \p Served can share while it stays within its limit; 100 without a limit.
double sharedPace(const InterferenceModel &Model, const ServingSample &Served,
                  std::span<const FillerSample> Fillers, bool IsTooLong) {
  double All = 0;
  double AllNow = 0;
  for (const FillerSample &One : Fillers) {
    double Effect = fullEffect(Model, Served, One, IsTooLong);
    All += Effect;
    AllNow += Effect * One.Percent_ / 100.0;
  }
  double Limit = plannedLog(Served);
  Estimate Learned = Model.baselineLog(Served.Image_);
  double Alone = Learned.Mean_;
  double Reported = std::log(std::max(Served.TailLatencyMs_, 1.0)) - AllNow;
  if (Learned.Deviation_ > LargestDeviation)
    Alone = Reported;
  else if (Reported > Alone)
    Alone += ReportWeight * (Reported - Alone);
  double Allowed = std::max(0.0, Limit - Alone);
  return All <= Allowed ? 100.0 : 100.0 * Allowed / All;
}

} // namespace

std::vector<int> choosePaces(const InterferenceModel &Model,
                             std::span<const ServingSample> Serving,
                             std::span<const FillerSample> Fillers) {
  std::vector<double> Lowest(Fillers.size(), 100.0);
  for (const ServingSample &Served : Serving) {
    if (Served.TargetMs_ <= 0)
      continue;
    bool IsTooLong = Served.TailLatencyMs_ >= ActPart * Served.TargetMs_;
    double Shared = sharedPace(Model, Served, Fillers, IsTooLong);
    for (std::size_t Index = 0; Index < Fillers.size(); ++Index)
      if (fullEffect(Model, Served, Fillers[Index], IsTooLong) >= LeastEffect)
        Lowest[Index] =
            std::min({Lowest[Index], Shared,
                      IsTooLong ? SlowDown * Fillers[Index].Percent_ : 100.0});
  }
  std::vector<int> Paces;
  for (std::size_t Index = 0; Index < Fillers.size(); ++Index) {
    int Pace = std::clamp(static_cast<int>(Lowest[Index]), 0, 100);
    Pace = std::min(Pace, Fillers[Index].Percent_ + SpeedUpStep);
    Paces.push_back(Pace < LowestPace ? 0 : Pace);
  }
  return Paces;
}

double fillerFlexibility(const InterferenceModel &Model,
                         std::span<const std::string_view> ServingImages) {
  std::size_t Harmless = 0;
  for (const std::string &Filler : Model.fillerImages())
    Harmless += std::all_of(ServingImages.begin(), ServingImages.end(),
                            [&](std::string_view Serving) {
                              return Model.effect(Serving, Filler).Mean_ <
                                     HarmlessEffect;
                            });
  std::size_t All = Model.fillerImages().size();
  return All == 0 ? 1.0
                  : static_cast<double>(Harmless) / static_cast<double>(All);
}

double fillerHeadroom(const InterferenceModel &Model,
                      std::span<const ServingSample> Serving,
                      std::span<const FillerSample> Fillers,
                      std::string_view Image) {
  double Headroom = 1.0;
  for (const ServingSample &Served : Serving) {
    double Effect = Model.effect(Served.Image_, Image).Mean_;
    if (Served.TargetMs_ <= 0 || Effect < LeastEffect)
      continue;
    double Tail = Model.baselineLog(Served.Image_).Mean_;
    for (const FillerSample &One : Fillers)
      Tail += fullEffect(Model, Served, One, false);
    double Allowed = plannedLog(Served) - Tail;
    // A share with less than the least effect is harmless in any case.
    Headroom = std::min(Headroom, std::max(Allowed, LeastEffect) / Effect);
  }
  return Headroom;
}

} // namespace filbertspring::scheduling
