#include "rack_activity.h"

#include "place_wait.h"

#include <algorithm>
#include <cmath>

namespace filbertspring::scheduling {
namespace {

/// Several run times of a task, so that a rate rests on more than a few ends,
/// and less than the time for which many tasks want the same rack.
constexpr Duration RateTime = std::chrono::seconds(3);
/// Waits are rarer than ends.
constexpr Duration OutcomeTime = std::chrono::seconds(10);
/// Until then nothing is known of a rack.
constexpr Duration LearningTime = std::chrono::milliseconds(500);
/// The number of good waits that a rack without any is credited with.
constexpr double AssumedWaits = 2;
constexpr std::uint32_t MinRunTimes = 5;
/// The weight of a new run time.
constexpr double LearningRate = 0.05;
/// Bounds the memory; further kinds are not learned.
constexpr std::size_t MaxKinds = 1000;

double logOf(Duration Time) {
  return std::log(std::max(1e-3, asSeconds(Time)));
}

} // namespace

void DecayingSum::add(double Amount, TimePoint Now) {
  Sum_ = at(Now) + Amount;
  UpdatedAt_ = Now;
}

double DecayingSum::at(TimePoint Now) const {
  if (Sum_ == 0 || Now <= UpdatedAt_)
    return Sum_;
  return Sum_ *
         std::exp(-asSeconds(Now - UpdatedAt_) / asSeconds(TimeConstant_));
}

RackActivity::RackActivity(TimePoint Now)
    : Since_(Now), SampledAt_(Now), Released_(RateTime), Held_(RateTime),
      Demand_(RateTime), Waits_(OutcomeTime), NearWaits_(OutcomeTime) {}

void RackActivity::noteRelease(double MilliCpu, TimePoint Now) {
  Released_.add(MilliCpu, Now);
}

void RackActivity::noteOccupied(double MilliCpu, TimePoint Now) {
  Held_.add(Occupied_ * asSeconds(Now - SampledAt_), Now);
  Occupied_ = MilliCpu;
  SampledAt_ = Now;
}

void RackActivity::noteDemand(double MilliCpu, TimePoint Now) {
  Demand_.add(MilliCpu, Now);
}

void RackActivity::noteOutcome(bool IsNear, TimePoint Now) {
  Waits_.add(1, Now);
  if (IsNear)
    NearWaits_.add(1, Now);
}

double RackActivity::releaseRate(TimePoint Now) const {
  double Held = Held_.at(Now);
  if (Now - Since_ < LearningTime || Held <= 0)
    return 0;
  return Released_.at(Now) / Held * Occupied_;
}

double RackActivity::demandRate(TimePoint Now) const {
  // The weights of the time since the start add up to this time.
  double Weight =
      asSeconds(RateTime) *
      (1 - std::exp(-asSeconds(Now - Since_) / asSeconds(RateTime)));
  return Weight > 0 ? Demand_.at(Now) / Weight : 0;
}

double RackActivity::successRate(TimePoint Now) const {
  return (NearWaits_.at(Now) + AssumedWaits) / (Waits_.at(Now) + AssumedWaits);
}

void RunTimes::note(const std::string &Kind, Duration Estimate,
                    Duration Actual) {
  auto It = Entries_.find(Kind);
  if (It == Entries_.end()) {
    if (Entries_.size() >= MaxKinds)
      return;
    It = Entries_.try_emplace(Kind).first;
  }
  Entry &Known = It->second;
  double Log = logOf(Actual);
  double Rate = std::max(LearningRate, 1.0 / ++Known.Count_);
  // The error of the mean before it includes this run.
  if (Known.Count_ > 1) {
    double ErrorRate = std::max(LearningRate, 1.0 / (Known.Count_ - 1));
    Known.EstimateError_ +=
        ErrorRate * (std::abs(Log - logOf(Estimate)) - Known.EstimateError_);
    Known.MeanError_ +=
        ErrorRate * (std::abs(Log - Known.MeanLog_) - Known.MeanError_);
  }
  Known.MeanLog_ += Rate * (Log - Known.MeanLog_);
}

Duration RunTimes::expected(const std::string &Kind, Duration Estimate) const {
  auto It = Entries_.find(Kind);
  if (It == Entries_.end() || It->second.Count_ < MinRunTimes ||
      It->second.EstimateError_ <= It->second.MeanError_)
    return Estimate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::exp(It->second.MeanLog_)));
}

} // namespace filbertspring::scheduling
