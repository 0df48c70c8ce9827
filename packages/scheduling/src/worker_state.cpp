#include "worker_state.h"

#include <algorithm>
#include <utility>

namespace filbertspring::scheduling {
namespace {

/// Slower or suspended fillers count with this pace, since they may speed up
/// again.
constexpr int MinCountedPacePercent = 20;

} // namespace

std::optional<std::int64_t> WorkerState::clockAt(TimePoint Now) const {
  if (!ClockMs_)
    return std::nullopt;
  auto Elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - ClockAt_);
  return *ClockMs_ + Elapsed.count();
}

bool WorkerState::isClockBehind(std::int64_t AnswerClockMs, TimePoint SentAt,
                                double Drift) const {
  std::optional<std::int64_t> Expected = clockAt(SentAt);
  if (!Expected)
    return false;
  // Negative if a report has overtaken the answer.
  auto Elapsed = static_cast<double>(*Expected - *ClockMs_);
  double Rate = Elapsed < 0 ? 1 + Drift : 1 - Drift;
  return static_cast<double>(AnswerClockMs) <
         static_cast<double>(*ClockMs_) + Elapsed * Rate - 1;
}

void WorkerState::addRun(Run NewRun) {
  dropRun(NewRun.Name_.text());
  Used_ += NewRun.Reserved_;
  if (NewRun.Workspace_)
    NewRun.Workspace_->add(NewRun.requested(), NewRun.IsLongRunning_);
  UnknownRuns_ += NewRun.IsUnknown_ ? 1 : 0;
  TailRooms_.reset();
  PacedFillerMilliCpu_.reset();
  if (NewRun.IsLongRunning_) {
    ++ServingImages_[NewRun.Image_];
    Flexibility_.reset();
  }
  if (NewRun.IsLongRunning_)
    LongRunningMilliCpu_ += NewRun.RequestedMilliCpu_;
  if (NewRun.IsFiller_)
    FillerMilliCpu_ += NewRun.RequestedMilliCpu_;
  SlowStarts_ += NewRun.IsSlowStart_ ? 1 : 0;
  countFresh(NewRun, 1);
  Runs_.insert_or_assign(NewRun.Name_.text(), std::move(NewRun));
}

void WorkerState::dropRun(const std::string &Text) {
  auto It = Runs_.find(Text);
  if (It == Runs_.end())
    return;
  const Run &Dropped = It->second;
  Used_ -= Dropped.Reserved_;
  if (Dropped.Workspace_)
    Dropped.Workspace_->remove(Dropped.requested(), Dropped.IsLongRunning_);
  UnknownRuns_ -= Dropped.IsUnknown_ ? 1 : 0;
  TailRooms_.reset();
  PacedFillerMilliCpu_.reset();
  if (Dropped.IsLongRunning_ && --ServingImages_[Dropped.Image_] == 0) {
    ServingImages_.erase(Dropped.Image_);
    Flexibility_.reset();
  }
  if (Dropped.IsLongRunning_)
    LongRunningMilliCpu_ -= Dropped.RequestedMilliCpu_;
  if (Dropped.IsFiller_)
    FillerMilliCpu_ -= Dropped.RequestedMilliCpu_;
  SlowStarts_ -= Dropped.IsSlowStart_ ? 1 : 0;
  countFresh(Dropped, -1);
  bool IsLongRunning = Dropped.IsLongRunning_;
  Runs_.erase(It);
  if (IsLongRunning)
    refreshOverTarget();
}

std::unordered_map<std::string, Run> WorkerState::takeAllRuns() {
  std::unordered_map<std::string, Run> Taken = std::exchange(Runs_, {});
  for (const auto &[Text, Dropped] : Taken)
    if (Dropped.Workspace_)
      Dropped.Workspace_->remove(Dropped.requested(), Dropped.IsLongRunning_);
  Used_ = {};
  UnknownRuns_ = 0;
  LongRunningMilliCpu_ = 0;
  FillerMilliCpu_ = 0;
  SlowStarts_ = 0;
  FreshRuns_ = 0;
  FreshSuspects_ = 0;
  YoungRuns_ = 0;
  ServingImages_.clear();
  OverTargetSince_.reset();
  Flexibility_.reset();
  TailRooms_.reset();
  PacedFillerMilliCpu_.reset();
  return Taken;
}

void WorkerState::countFresh(const Run &Counted, int Change) {
  if (maturityOf(Counted.ListedFor_, LongSettlingTime) == RunMaturity::Fresh)
    YoungRuns_ += Change;
  if (maturityOf(Counted.ListedFor_, Counted.SettlingTime_) !=
      RunMaturity::Fresh)
    return;
  FreshRuns_ += Change;
  if (Counted.IsSuspect_)
    FreshSuspects_ += Change;
}

void WorkerState::noteListed(Run &Listed, Duration ListedFor) {
  countFresh(Listed, -1);
  Listed.ListedFor_ = ListedFor;
  countFresh(Listed, 1);
}

void WorkerState::noteSlowStart(Run &Slow) {
  SlowStarts_ += Slow.IsSlowStart_ ? 0 : 1;
  Slow.IsSlowStart_ = true;
}

std::vector<Run> WorkerState::runsOfNextIncarnation(TimePoint Now) const {
  std::vector<Run> Kept;
  for (const auto &[Text, ActiveRun] : Runs_) {
    if (!ActiveRun.mayBeOnNextIncarnation())
      continue;
    Run &Possible = Kept.emplace_back(ActiveRun);
    // What the previous incarnation reported and confirmed does not count.
    Possible.LastListedReport_ = 0;
    Possible.StopConfirmedAt_.reset();
    Possible.NextStopAt_ = Now;
    if (Possible.Phase_ == RunPhase::Confirmed)
      Possible.ConfirmedAt_ = Now;
  }
  return Kept;
}

std::vector<LostRun> WorkerState::possibleRuns() const {
  std::vector<LostRun> Possible;
  for (const auto &[Text, ActiveRun] : Runs_) {
    bool WasSent =
        ActiveRun.StartsSent_ > 0 || ActiveRun.ConfirmedAt_ != TimePoint();
    if (WasSent)
      Possible.push_back(
          {ActiveRun.Name_, ActiveRun.Number_,
           maturityOf(ActiveRun.ListedFor_, ActiveRun.SettlingTime_),
           ActiveRun.IsIsolated_});
  }
  return Possible;
}

std::optional<LossTime> WorkerState::lossTime() const {
  if (FailedRenewals_ > 0)
    return LossTime{std::max(ClockAt_, LastStartAt_), UnreachableSince_};
  return CrashedAt_;
}

double WorkerState::milliCpu() const {
  return static_cast<double>(
      std::max<std::int64_t>(1, Entry_.Capacity_.MilliCpu_));
}

double WorkerState::utilizationWithFiller(std::int64_t MilliCpu) const {
  auto LongRunning = static_cast<double>(LongRunningMilliCpu_);
  auto Others = static_cast<double>(Used_.MilliCpu_) - LongRunning;
  return (LongRunningCpuUsage * LongRunning + Others + pacedFillerMilliCpu() +
          static_cast<double>(MilliCpu)) /
         milliCpu();
}

double WorkerState::fullShare(const Run &Filler) const {
  return static_cast<double>(Filler.RequestedMilliCpu_) / milliCpu();
}

std::vector<ServingSample> WorkerState::servingSamples() const {
  std::vector<ServingSample> Samples;
  for (const auto &[Text, ActiveRun] : Runs_)
    if (ActiveRun.IsLongRunning_ &&
        ActiveRun.TailLatencyTarget_ > Duration::zero())
      Samples.push_back({ActiveRun.Image_, ActiveRun.Load_,
                         std::chrono::duration<double, std::milli>(
                             ActiveRun.TailLatencyTarget_)
                             .count()});
  return Samples;
}

void WorkerState::refreshOverTarget() {
  OverTargetSince_.reset();
  for (const auto &[Text, ActiveRun] : Runs_) {
    std::optional<TimePoint> Since = ActiveRun.Target_.overSince();
    if (Since && (!OverTargetSince_ || *Since < *OverTargetSince_))
      OverTargetSince_ = Since;
  }
}

double WorkerState::pacedFillerMilliCpu() const {
  if (PacedFillerMilliCpu_)
    return *PacedFillerMilliCpu_;
  double Sum = 0;
  for (const auto &[Text, ActiveRun] : Runs_)
    if (ActiveRun.IsFiller_)
      Sum += static_cast<double>(ActiveRun.RequestedMilliCpu_) *
             std::max(MinCountedPacePercent, ActiveRun.PacePercent_) / 100.0;
  PacedFillerMilliCpu_ = Sum;
  return Sum;
}

std::vector<FillerSample> WorkerState::fillerSamples() const {
  std::vector<FillerSample> Samples;
  for (const auto &[Text, ActiveRun] : Runs_)
    if (ActiveRun.IsFiller_)
      Samples.push_back({ActiveRun.Image_, fullShare(ActiveRun),
                         std::max(0, ActiveRun.PacePercent_)});
  return Samples;
}

} // namespace filbertspring::scheduling
