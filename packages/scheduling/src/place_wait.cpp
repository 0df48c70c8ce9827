#include "place_wait.h"

#include <algorithm>
#include <cmath>

namespace filbertspring::scheduling {
namespace {

/// Bounds the exponent of the displacement; the result is beyond any gain then.
constexpr double MaxExponent = 60;
/// Loads closer to 1 than this would cancel out most digits.
constexpr double BalancedRange = 1e-3;
/// Longer times are not told apart.
constexpr double MaxSeconds = 3600;

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(Seconds, 0.0, MaxSeconds)));
}

} // namespace

double displacement(double Length, double Load) {
  if (std::abs(1 - Load) < BalancedRange)
    return std::max(Length, Length * (Length + 1) / 2);
  double Exponent =
      std::min(MaxExponent, Length * std::log(std::max(Load, 0.01)));
  double Rest = 1 - Load;
  double Cost =
      (Length * Rest - Load * (1 - std::exp(Exponent))) / (Rest * Rest);
  return std::max(Length, Cost);
}

PlaceWaitDecision decidePlaceWait(const PlaceWaitInput &Input) {
  PlaceWaitDecision Result;
  double Extra =
      asSeconds(Input.RunTime_) * std::max(0.0, Input.FarFactor_ - 1);
  // A wait of at most the extra time costs at most twice the best choice in
  // hindsight, whatever the estimates are worth.
  double Allowance =
      std::min(Extra, asSeconds(MaxPlaceWait)) - asSeconds(Input.Waited_);
  Result.Allowance_ = toDuration(Allowance);
  if (Extra <= 0)
    return Result;
  if (Allowance <= 0) {
    Result.Verdict_ = PlaceWaitVerdict::Exhausted;
    return Result;
  }
  if (Input.ReleaseRate_ <= 0) {
    Result.Verdict_ = PlaceWaitVerdict::NoRate;
    return Result;
  }
  double Expected = Input.Places_ / Input.ReleaseRate_;
  double BatchSize = std::max(1.0, Input.BatchSize_);
  double Cost = displacement(Input.Places_ / BatchSize,
                             Input.DemandRate_ / Input.ReleaseRate_) *
                BatchSize / Input.ReleaseRate_;
  // A run elsewhere occupies its place for longer, which delays other tasks the
  // more, the less is free there.
  double Weight = 1 + std::clamp(Input.FarUse_, 0.0, 1.0);
  double Slack = asSeconds(Input.Slack_);
  bool DecidesObjective = Expected <= Slack && Slack < Extra;
  if (DecidesObjective)
    Weight += 1;
  double Gain = Extra * Weight * std::clamp(Input.SuccessRate_, 0.0, 1.0);
  Result.Expected_ = toDuration(Expected);
  Result.Cost_ = toDuration(Cost);
  Result.Gain_ = toDuration(Gain);
  if (Expected <= Allowance && Cost <= Gain)
    Result.Verdict_ = PlaceWaitVerdict::Waits;
  return Result;
}

} // namespace filbertspring::scheduling
