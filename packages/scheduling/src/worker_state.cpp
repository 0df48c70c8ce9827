#include "worker_state.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// Fillers that stand still count this much, in percent: they may speed up.
constexpr int LeastCountedPace = 20;

} // namespace

std::optional<std::int64_t> WorkerState::clockAt(TimePoint Now) const {
  if (!ClockMs_)
    return std::nullopt;
  auto Elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - ClockAt_);
  return *ClockMs_ + Elapsed.count();
}

void WorkerState::addRun(Run Added) {
  dropRun(Added.Name_.text());
  Used_ += Added.Held_;
  Headroom_.clear();
  if (Added.IsLongRunning_) {
    ++ServingImages_[Added.Image_];
    Flexibility_.reset();
  }
  if (Added.IsLongRunning_)
    LastingMilliCpu_ += Added.RequestedMilliCpu_;
  if (Added.IsFiller_)
    FillerMilliCpu_ += Added.RequestedMilliCpu_;
  Runs_.insert_or_assign(Added.Name_.text(), std::move(Added));
}

void WorkerState::dropRun(const std::string &Text) {
  auto Found = Runs_.find(Text);
  if (Found == Runs_.end())
    return;
  const Run &Dropped = Found->second;
  Used_ -= Dropped.Held_;
  Headroom_.clear();
  if (Dropped.IsLongRunning_ && --ServingImages_[Dropped.Image_] == 0) {
    ServingImages_.erase(Dropped.Image_);
    Flexibility_.reset();
  }
  if (Dropped.IsLongRunning_)
    LastingMilliCpu_ -= Dropped.RequestedMilliCpu_;
  if (Dropped.IsFiller_)
    FillerMilliCpu_ -= Dropped.RequestedMilliCpu_;
  Runs_.erase(Found);
}

double WorkerState::milliCpu() const {
  return static_cast<double>(
      std::max<std::int64_t>(1, Entry_.Capacity_.MilliCpu_));
}

double WorkerState::fullShare(const Run &Filler) const {
  return static_cast<double>(Filler.RequestedMilliCpu_) / milliCpu();
}

std::vector<ServingSample> WorkerState::servingSamples() const {
  std::vector<ServingSample> Samples;
  for (const auto &[Text, One] : Runs_)
    if (One.IsLongRunning_ && One.TailLatencyTarget_ > Duration::zero())
      Samples.push_back(
          {One.Image_, One.Load_,
           std::chrono::duration<double, std::milli>(One.TailLatencyTarget_)
               .count()});
  return Samples;
}

double WorkerState::pacedFillerMilliCpu() const {
  double Sum = 0;
  for (const auto &[Text, One] : Runs_)
    if (One.IsFiller_)
      Sum += static_cast<double>(One.RequestedMilliCpu_) *
             std::max(LeastCountedPace, One.PacedPercent_) / 100.0;
  return Sum;
}

std::vector<FillerSample> WorkerState::fillerSamples() const {
  std::vector<FillerSample> Samples;
  for (const auto &[Text, One] : Runs_)
    if (One.IsFiller_)
      Samples.push_back(
          {One.Image_, fullShare(One), std::max(0, One.PacedPercent_)});
  return Samples;
}

} // namespace filbertspring::scheduling
