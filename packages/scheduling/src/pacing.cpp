#include "filbertspring/scheduling/pacing.h"

#include <algorithm>
#include <cmath>

namespace filbertspring::scheduling {
namespace {

/// The predicted tail latency must be this many standard deviations of a report
/// below the target: one report in forty is over the target by chance.
constexpr double SafetyDeviations = 2.0;
/// Fraction of the target from which a reported tail latency counts as too
/// long.
constexpr double ReactionThreshold = 0.9;
/// Effects on the logarithm of a tail latency below this value, a tenth of the
/// tail latency, are ignored.
constexpr double MinEffect = 0.1;
/// An effect below this value counts as harmless: a filler that uses a tenth of
/// a worker lengthens the tail latency by a sixth.
constexpr double MaxHarmlessEffect = 1.5;
/// Weight of the baseline that follows from the last report, if it is above the
/// model's baseline. The reports of one task vary with its load.
constexpr double ReportedBaselineWeight = 0.5;
/// A baseline with a higher standard deviation, the logarithm of a factor of
/// two and a half, is not used.
constexpr double MaxBaselineDeviation = 0.9;
/// Factor for the paces of fillers that affect a tail latency which is too
/// long.
constexpr double SlowdownFactor = 0.5;
/// Maximum increase of a pace at a time, in percent of full speed.
constexpr int MaxPaceIncrease = 25;
/// A filler with a lower pace is suspended.
constexpr int MinPacePercent = 5;

/// Returns the limit of the logarithm of the predicted tail latency.
double plannedLogLimit(const ServingSample &ServingTask) {
  return std::log(ServingTask.TargetMs_) -
         SafetyDeviations * InterferenceModel::ReportDeviation;
}

/// Returns what \p Filler adds to the logarithm of the tail latency at full
/// speed. If the tail latency is too long, the upper end of the estimate is
/// used.
double fullEffect(const InterferenceModel &Model,
                  const ServingSample &ServingTask, const FillerSample &Filler,
                  bool IsTooLong) {
  Estimate Effect = Model.effect(ServingTask.Image_, Filler.Image_);
  return (Effect.Mean_ + (IsTooLong ? Effect.Deviation_ : 0)) *
         Filler.FullShare_;
}

/// Returns the highest common pace of all fillers that affect \p ServingTask at
/// which its predicted tail latency stays within the limit, as a percentage.
/// \p Effects are those of \p Fillers at full speed.
double sharedPace(const InterferenceModel &Model,
                  const ServingSample &ServingTask,
                  std::span<const FillerSample> Fillers,
                  std::span<const double> Effects) {
  double TotalEffect = 0;
  double CurrentEffect = 0;
  for (std::size_t Index = 0; Index < Fillers.size(); ++Index) {
    TotalEffect += Effects[Index];
    CurrentEffect += Effects[Index] * Fillers[Index].Percent_ / 100.0;
  }
  double Limit = plannedLogLimit(ServingTask);
  Estimate BaselineEstimate = Model.baselineLog(ServingTask.Image_);
  double Baseline = BaselineEstimate.Mean_;
  double ReportedBaseline =
      std::log(std::max(ServingTask.TailLatencyMs_, 1.0)) - CurrentEffect;
  if (BaselineEstimate.Deviation_ > MaxBaselineDeviation)
    Baseline = ReportedBaseline;
  else if (ReportedBaseline > Baseline)
    Baseline += ReportedBaselineWeight * (ReportedBaseline - Baseline);
  double Allowed = std::max(0.0, Limit - Baseline);
  return TotalEffect <= Allowed ? 100.0 : 100.0 * Allowed / TotalEffect;
}

} // namespace

std::vector<int> choosePaces(const InterferenceModel &Model,
                             std::span<const ServingSample> Serving,
                             std::span<const FillerSample> Fillers) {
  std::vector<double> PaceLimits(Fillers.size(), 100.0);
  std::vector<double> Effects(Fillers.size());
  for (const ServingSample &ServingTask : Serving) {
    if (ServingTask.TargetMs_ <= 0)
      continue;
    bool IsTooLong =
        ServingTask.TailLatencyMs_ >= ReactionThreshold * ServingTask.TargetMs_;
    for (std::size_t Index = 0; Index < Fillers.size(); ++Index)
      Effects[Index] =
          fullEffect(Model, ServingTask, Fillers[Index], IsTooLong);
    double SharedPace = sharedPace(Model, ServingTask, Fillers, Effects);
    for (std::size_t Index = 0; Index < Fillers.size(); ++Index)
      if (Effects[Index] >= MinEffect)
        PaceLimits[Index] = std::min(
            {PaceLimits[Index], SharedPace,
             IsTooLong ? SlowdownFactor * Fillers[Index].Percent_ : 100.0});
  }
  std::vector<int> Paces;
  for (std::size_t Index = 0; Index < Fillers.size(); ++Index) {
    int Pace = std::clamp(static_cast<int>(PaceLimits[Index]), 0, 100);
    Pace = std::min(Pace, Fillers[Index].Percent_ + MaxPaceIncrease);
    Paces.push_back(Pace < MinPacePercent ? 0 : Pace);
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
                                     MaxHarmlessEffect;
                            });
  std::size_t TotalImages = Model.fillerImages().size();
  return TotalImages == 0
             ? 1.0
             : static_cast<double>(Harmless) / static_cast<double>(TotalImages);
}

std::vector<TailRoom> tailRooms(const InterferenceModel &Model,
                                std::span<const ServingSample> Serving,
                                std::span<const FillerSample> Fillers) {
  std::vector<TailRoom> Rooms;
  for (const ServingSample &ServingTask : Serving) {
    if (ServingTask.TargetMs_ <= 0)
      continue;
    double PredictedLog = Model.baselineLog(ServingTask.Image_).Mean_;
    for (const FillerSample &Filler : Fillers)
      PredictedLog += fullEffect(Model, ServingTask, Filler, false);
    double Room = plannedLogLimit(ServingTask) - PredictedLog;
    auto Known =
        std::find_if(Rooms.begin(), Rooms.end(), [&](const TailRoom &Each) {
          return Each.Image_ == ServingTask.Image_;
        });
    if (Known == Rooms.end())
      Rooms.push_back({std::string(ServingTask.Image_), Room});
    else
      Known->Room_ = std::min(Known->Room_, Room);
  }
  return Rooms;
}

double fillerHeadroom(const InterferenceModel &Model,
                      std::span<const TailRoom> Rooms, std::string_view Image) {
  double Headroom = 1.0;
  for (const TailRoom &Each : Rooms) {
    double Effect = Model.effect(Each.Image_, Image).Mean_;
    // A filler with less than the minimum effect is harmless in any case.
    if (Effect >= MinEffect)
      Headroom = std::min(Headroom, std::max(Each.Room_, MinEffect) / Effect);
  }
  return Headroom;
}

} // namespace filbertspring::scheduling
