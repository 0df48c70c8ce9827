#include "place_wait.h"

#include <algorithm>
#include <cmath>

namespace filbertspring::scheduling {
namespace {

/// Bounds the exponent of the displacement; the result is beyond any gain then.
constexpr double MaxExponent = 60;
/// Loads closer to 1 than this would cancel out most digits.
constexpr double BalancedRange = 1e-3;
/// The value of time saved for a job that is late wherever its tasks run, for
/// one that meets its objective only if they wait, and for one that does
/// anyway.
/// With more weight for the last, waits made more jobs late than they gained
/// where far runs take 1.5 times as long.
constexpr double UsualWeight = 1;
constexpr double DecisiveWeight = 2;
constexpr double InTimeWeight = 0.25;
constexpr double CrowdingExponent = 4;
constexpr double MaxCrowding = 10;
/// Longer times are not told apart.
constexpr double MaxSeconds = 3600;

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(Seconds, 0.0, MaxSeconds)));
}

/// Returns what other tasks lose by a second of a run elsewhere, in relation to
/// it, if \p Use of the processors there is in use. As in a queue with many
/// servers, that is little as long as some are free.
double crowding(double Use) {
  double Used = std::clamp(Use, 0.0, 1.0);
  return std::pow(Used, CrowdingExponent) / (1 - Used + 1 / MaxCrowding);
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
  if (Extra <= 0)
    return Result;
  double Slack = asSeconds(Input.Slack_);
  bool IsFarInTime = Slack >= Extra;
  double Crowding = crowding(Input.FarUse_);
  // A wait of at most the extra time costs the job at most twice the best
  // choice in hindsight, whatever the estimates are worth. Where the processors
  // elsewhere are in use, a longer one can pay off for the others.
  double Limit = std::min(Extra * (1 + Crowding), asSeconds(MaxPlaceWait));
  double Allowance = Limit - asSeconds(Input.Waited_);
  // A task that gives up must still meet the objective elsewhere. The other
  // half is left to the steps behind and to what the estimates are off.
  if (IsFarInTime)
    Allowance = std::min(Allowance, (Slack - Extra) / 2);
  Result.Allowance_ = toDuration(Allowance);
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
  double Success = std::clamp(Input.SuccessRate_, 0.0, 1.0);
  double Cost = displacement(Input.Places_ / BatchSize,
                             Input.DemandRate_ / Input.ReleaseRate_) *
                BatchSize / Input.ReleaseRate_;
  // A wait in vain lasts for as long as it may.
  Cost += (1 - Success) * Allowance;
  double Own = Expected <= Slack ? DecisiveWeight : UsualWeight;
  double Gain =
      Extra * ((IsFarInTime ? InTimeWeight : Own) + Crowding) * Success;
  Result.Expected_ = toDuration(Expected);
  Result.Cost_ = toDuration(Cost);
  Result.Gain_ = toDuration(Gain);
  if (Expected <= Allowance && Cost <= Gain)
    Result.Verdict_ = PlaceWaitVerdict::Waits;
  return Result;
}

} // namespace filbertspring::scheduling
