#include "simulated_worker.h"

#include <cmath>
#include <numeric>

namespace filbertspring::scheduling::test {
namespace {

/// When a pace comes into force.
constexpr Duration PaceStartDelay = std::chrono::milliseconds(100);
constexpr Duration TailInterval = std::chrono::milliseconds(50);
/// A reported tail latency covers half a second.
constexpr std::size_t TailsPerReport =
    std::chrono::milliseconds(500) / TailInterval;

} // namespace

SimulatedWorker::SimulatedWorker(
    WorkerEntry Entry, double ClockRate, WorkerObserver &Observer,
    std::function<TaskOutcome(const TaskName &, std::uint64_t)> DrawOutcome,
    std::shared_ptr<const TailLatencies> Tails)
    : Entry_(std::move(Entry)), ClockRate_(ClockRate), Observer_(Observer),
      DrawOutcome_(std::move(DrawOutcome)), TailLatencies_(std::move(Tails)) {}

std::int64_t SimulatedWorker::clockMs(TimePoint Now) const {
  std::chrono::duration<double, std::milli> Age = Now - StartedAt_;
  return static_cast<std::int64_t>(Age.count() * ClockRate_) + FirstClockMs_;
}

void SimulatedWorker::end(const std::string &Text, EndReason Reason,
                          TimePoint Now) {
  // A stop saves the progress.
  if (Reason == EndReason::Stopped)
    saveCheckpoint(Runs_.at(Text));
  ActiveRun EndedRun = Runs_.at(Text);
  Runs_.erase(Text);
  HighestEndedRuns_[Text] = std::max(HighestEndedRuns_[Text], EndedRun.Run_);
  Ends_.push_back({{NextEnd_++, EndedRun.Name_, EndedRun.Run_, Reason,
                    EndedRun.Checkpoint_},
                   false});
  Observer_.ended(Entry_.Id_, EndedRun.Name_, EndedRun.Run_, Reason, Now);
}

void SimulatedWorker::saveCheckpoint(ActiveRun &Saved) {
  if (Saved.CheckpointInterval_ == Duration::zero())
    return;
  Saved.Checkpoint_ = Saved.Name_.text() + " of run " +
                      std::to_string(Saved.Run_) + ", " +
                      std::to_string(NextCheckpoint_++);
  Observer_.checkpointed(Saved.Name_, Saved.Run_, Saved.Checkpoint_);
}

void SimulatedWorker::applyPaces(TimePoint Now) {
  for (auto &[Text, Run] : Runs_) {
    // A slow run ends later.
    if (Run.PacePercent_ < 100)
      Run.EndsAt_ += (Now - AdvancedAt_) * (100 - Run.PacePercent_) / 100;
    if (Run.NextPace_ && Run.NextPace_->first <= Now)
      Run.PacePercent_ = std::exchange(Run.NextPace_, {})->second;
  }
  AdvancedAt_ = Now;
}

double SimulatedWorker::tailMs(const ActiveRun &Serving) const {
  double Effect = 0;
  for (const auto &[Text, Run] : Runs_) {
    auto It = Run.Load_.IsFiller_
                  ? TailLatencies_->Effects_.find(
                        {Serving.Load_.Image_, Run.Load_.Image_})
                  : TailLatencies_->Effects_.end();
    if (It != TailLatencies_->Effects_.end())
      Effect += It->second * Run.PacePercent_ / 100.0 *
                static_cast<double>(Run.Load_.MilliCpu_) /
                static_cast<double>(Entry_.Capacity_.MilliCpu_);
  }
  return TailLatencies_->BaseMs_ * std::exp(Effect);
}

void SimulatedWorker::observeTails(TimePoint Now) {
  if (Now < NextTailAt_)
    return;
  NextTailAt_ = Now + TailInterval;
  for (auto &[Text, Run] : Runs_) {
    if (Run.Load_.TargetMs_ == 0)
      continue;
    Run.Tails_.push_back(tailMs(Run));
    if (Run.Tails_.size() > TailsPerReport)
      Run.Tails_.pop_front();
    if (meanTailMs(Run) <= Run.Load_.TargetMs_)
      Run.OverTargetSince_.reset();
    else if (!Run.OverTargetSince_)
      Run.OverTargetSince_ = Now;
  }
}

double SimulatedWorker::meanTailMs(const ActiveRun &Serving) const {
  return std::accumulate(Serving.Tails_.begin(), Serving.Tails_.end(), 0.0) /
         static_cast<double>(Serving.Tails_.size());
}

std::optional<TimePoint> SimulatedWorker::harmedSince() const {
  std::optional<TimePoint> First;
  for (const auto &[Text, Run] : Runs_)
    if (Run.OverTargetSince_ && (!First || *Run.OverTargetSince_ < *First))
      First = Run.OverTargetSince_;
  return First;
}

double SimulatedWorker::reportedLoad(const ActiveRun &Listed) const {
  if (Listed.Load_.IsFiller_)
    return static_cast<double>(Listed.Load_.MilliCpu_) * Listed.PacePercent_ /
           100.0;
  if (Listed.Load_.TargetMs_ == 0)
    return 1;
  if (Listed.Tails_.empty())
    return TailLatencies_->BaseMs_;
  return std::round(meanTailMs(Listed) * (TailLatencies_->DrawNoise_
                                              ? TailLatencies_->DrawNoise_()
                                              : 1));
}

void SimulatedWorker::advance(TimePoint Now) {
  applyPaces(Now);
  observeTails(Now);
  for (auto &[Text, Run] : Runs_)
    if (Run.CheckpointInterval_ > Duration::zero() &&
        Run.NextCheckpointAt_ <= Now) {
      Run.NextCheckpointAt_ = Now + Run.CheckpointInterval_;
      saveCheckpoint(Run);
    }
  std::vector<std::string> Finished;
  for (const auto &[Text, Run] : Runs_)
    if (Run.EndsAt_ <= Now)
      Finished.push_back(Text);
  for (const std::string &Text : Finished)
    end(Text, Runs_.at(Text).Fails_ ? EndReason::Failed : EndReason::Done, Now);
  if (clockMs(Now) <= DeadlineMs_)
    return;
  while (!Runs_.empty()) {
    // A copy, since the run is erased.
    std::string First = Runs_.begin()->first;
    end(First, EndReason::LeaseExpired, Now);
  }
  for (UnacknowledgedEnd &End : Ends_)
    End.HasLeaseExpired_ = true;
}

CallOutcome SimulatedWorker::start(const StartTask &Start, std::uint64_t Token,
                                   TimePoint Now) {
  advance(Now);
  if (Token < Token_)
    return CallOutcome::RejectedStaleToken;
  Token_ = Token;
  if (Start.DeadlineMs_ < clockMs(Now))
    return CallOutcome::RejectedPastDeadline;
  std::string Text = Start.Name_.text();
  auto It = Runs_.find(Text);
  if (It != Runs_.end() && It->second.Run_ == Start.Run_)
    return CallOutcome::Accepted;
  auto Limit = HighestEndedRuns_.find(Text);
  if (Limit != HighestEndedRuns_.end() && Start.Run_ <= Limit->second)
    return CallOutcome::RejectedOldRun;
  DeadlineMs_ = std::max(
      DeadlineMs_, std::min(Start.DeadlineMs_, clockMs(Now) + MaxLeaseMs_));
  TaskOutcome Outcome = DrawOutcome_(Start.Name_, Start.Run_);
  Runs_[Text] = {Start.Name_,
                 Start.Run_,
                 Now + Outcome.Work_,
                 Outcome.Fails_,
                 Start.Checkpoint_,
                 Outcome.CheckpointInterval_,
                 Now + Outcome.CheckpointInterval_,
                 Outcome.Load_};
  Observer_.started(Entry_.Id_, Start, Token, Now);
  return CallOutcome::Accepted;
}

CallOutcome SimulatedWorker::stop(const StopTask &Stop, std::uint64_t Token,
                                  TimePoint Now) {
  advance(Now);
  if (Token < Token_)
    return CallOutcome::RejectedStaleToken;
  Token_ = Token;
  std::string Text = Stop.Name_.text();
  HighestEndedRuns_[Text] = std::max(HighestEndedRuns_[Text], Stop.Run_);
  auto It = Runs_.find(Text);
  if (It != Runs_.end() && It->second.Run_ == Stop.Run_)
    end(Text, EndReason::Stopped, Now);
  return CallOutcome::Accepted;
}

CallOutcome SimulatedWorker::pace(const PaceTask &Pace, std::uint64_t Token,
                                  TimePoint Now) {
  advance(Now);
  if (Token < Token_)
    return CallOutcome::RejectedStaleToken;
  auto It = Runs_.find(Pace.Name_.text());
  if (It != Runs_.end() && It->second.Run_ == Pace.Run_)
    It->second.NextPace_ = {Now + PaceStartDelay, Pace.Percent_};
  return CallOutcome::Accepted;
}

CallOutcome SimulatedWorker::renew(const RenewLease &Renewal,
                                   std::uint64_t Token, TimePoint Now,
                                   WorkerReport &Report) {
  advance(Now);
  if (Token < Token_)
    return CallOutcome::RejectedStaleToken;
  Token_ = Token;
  if (Renewal.DeadlineMs_)
    DeadlineMs_ = std::max(DeadlineMs_, std::min(*Renewal.DeadlineMs_,
                                                 clockMs(Now) + MaxLeaseMs_));
  while (!Ends_.empty() &&
         Ends_.front().Task_.Number_ <= Renewal.Acknowledged_) {
    const EndedTask &EndedRun = Ends_.front().Task_;
    Observer_.acknowledged(Entry_.Id_, EndedRun.Name_, EndedRun.Run_,
                           EndedRun.Reason_, Ends_.front().HasLeaseExpired_,
                           Now);
    Ends_.pop_front();
  }
  Report = {};
  Report.ClockMs_ = clockMs(Now);
  Report.StartedAtMs_ = Entry_.StartedAtMs_;
  for (const auto &[Text, Run] : Runs_)
    Report.RunningTasks_.push_back({Run.Name_, Run.Run_, Run.Checkpoint_,
                                    Run.Load_.TargetMs_ > 0 ? 100.0 : 50.0,
                                    reportedLoad(Run)});
  for (const UnacknowledgedEnd &End : Ends_)
    if (Report.EndedTasks_.size() < MaxListedEnds_)
      Report.EndedTasks_.push_back(End.Task_);
  Report.MayOmitEnds_ = Report.EndedTasks_.size() == MaxListedEnds_;
  return CallOutcome::Accepted;
}

void SimulatedWorker::crash(TimePoint Now, std::int64_t NextClockMs) {
  for (const auto &[Text, Run] : Runs_)
    Observer_.ended(Entry_.Id_, Run.Name_, Run.Run_, EndReason::Unknown, Now);
  Runs_.clear();
  Ends_.clear();
  HighestEndedRuns_.clear();
  Token_ = 0;
  DeadlineMs_ = 0;
  NextEnd_ = 1;
  StartedAt_ = Now;
  FirstClockMs_ = NextClockMs;
  Entry_.StartedAtMs_ = std::max(
      Entry_.StartedAtMs_ + 1,
      std::int64_t{Now.time_since_epoch() / std::chrono::milliseconds(1)});
  Entry_.Sequence_ = 0;
}

} // namespace filbertspring::scheduling::test
