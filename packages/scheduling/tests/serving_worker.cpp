#include "serving_worker.h"

#include <cmath>
#include <numeric>

namespace filbertspring::scheduling::test {
namespace {

constexpr Duration PlayTick = 10ms;
/// The time to deliver a call or its answer.
constexpr Duration Latency = 2ms;
/// When a caller without an answer gives up.
constexpr Duration CommandTimeout = 600ms;
/// After how long a delayed call is executed.
constexpr Duration CallDelay = 3s;
constexpr Duration CommitTime = 12ms;
/// When a pace comes into force.
constexpr Duration PaceDelay = 100ms;
constexpr std::size_t TicksPerTail = 500ms / PlayTick;
constexpr double BaseTailMs = 10;
constexpr double TargetMs = 45;
constexpr double FillerMilliCpu = 1000;
constexpr Duration FillerWork = 1700ms;
constexpr int Images = 9;

} // namespace

ServingWorker::ServingWorker() {
  Scheduler_.setClosedZones({"zone-b"});
  for (const RenewLease &Renewal : std::exchange(Renewals_, {}))
    execute(Renewal);
}

void ServingWorker::startServing() {
  StepSpec Serving = task(1, 2000);
  Serving.IsLongRunning_ = true;
  Serving.Image_ = "serving";
  Serving.TailLatencyTarget_ = 45ms;
  submit("lasting", {Serving});
  run(1s);
  BOOST_REQUIRE(Active_.size() == 1);
}

void ServingWorker::submitFillers(int Jobs, std::uint32_t Width) {
  for (int Index = 0; Index < Jobs; ++Index) {
    StepSpec Filler = task(Width, 1000);
    Filler.Image_ = "filler-" + std::to_string(Index % Images);
    Filler.IsFiller_ = true;
    Filler.SavesProgress_ = Index % 4 != 0;
    submit("fillers-" + std::to_string(Index), {Filler});
  }
}

void ServingWorker::reconfigure(bool HasSecondQueue) {
  auto Queues = std::make_shared<QueueTable>();
  for (const char *Name : {"batch", "second"}) {
    Queue Batch;
    Batch.Name_ = Name;
    Batch.Service_ = "service";
    Batch.Attempts_ = 2;
    if (HasSecondQueue || Queues->Queues_.empty())
      Queues->Queues_.push_back(Batch);
  }
  Scheduler_.configure(Queues);
  list("w1", false);
}

void ServingWorker::run(Duration Time) {
  for (TimePoint End = Now_ + Time; Now_ < End;)
    tick();
}

void ServingWorker::tick() {
  Now_ += PlayTick;
  while (!Calls_.empty() && Calls_.begin()->first <= Now_) {
    std::function<void()> Act = std::move(Calls_.begin()->second);
    Calls_.erase(Calls_.begin());
    Act();
  }
  work();
  answerDueRenewals();
  Scheduler_.advance(Now_, 0, Now_, true);
  Scheduler_.place(Now_);
  write();
  for (const Action &NextAction : Scheduler_.takeActions())
    execute(NextAction);
}

/// Lets all runs work for one tick, and checks the serving task.
void ServingWorker::work() {
  std::vector<std::string> Finished;
  for (auto &[Text, Run] : Active_) {
    if (!Run.IsFiller_)
      continue;
    Run.Work_ -= PlayTick * Run.PacePercent_ / 100;
    if (Run.Work_ <= Duration::zero())
      Finished.push_back(Text);
  }
  for (const std::string &Text : Finished)
    endRun(Text, EndReason::Done);
  Tails_.push_back(tailMs());
  if (Tails_.size() > TicksPerTail)
    Tails_.pop_front();
  double Mean = std::accumulate(Tails_.begin(), Tails_.end(), 0.0) /
                static_cast<double>(Tails_.size());
  if (Mean <= TargetMs)
    HarmSince_.reset();
  else if (!HarmSince_)
    HarmSince_ = Now_;
  if (HarmSince_)
    LongestHarm_ = std::max(LongestHarm_, Now_ - *HarmSince_);
}

double ServingWorker::tailMs() const {
  double Share = 0;
  for (const auto &[Text, Run] : Active_)
    if (Run.IsFiller_)
      Share += FillerMilliCpu * Run.PacePercent_ / 100.0 /
               static_cast<double>(Capacity_.MilliCpu_);
  return BaseTailMs * std::exp(Effect_ * Share);
}

double ServingWorker::reportedTailMs() {
  double Mean = std::accumulate(Tails_.begin(), Tails_.end(), 0.0) /
                static_cast<double>(std::max<std::size_t>(1, Tails_.size()));
  std::normal_distribution<double> Noise(0, InterferenceModel::ReportDeviation);
  return HasNoise_ ? Mean * std::exp(Noise(Random_)) : Mean;
}

std::size_t ServingWorker::workingFillers() const {
  return std::count_if(Active_.begin(), Active_.end(), [](const auto &Entry) {
    return Entry.second.IsFiller_ && Entry.second.PacePercent_ > 0;
  });
}

void ServingWorker::endRun(const std::string &Text, EndReason Reason) {
  const Active &Run = Active_.at(Text);
  HighestEndedRuns_[Text] = std::max(HighestEndedRuns_[Text], Run.Run_);
  Ends_.push_back({NextEnd_++, Run.Name_, Run.Run_, Reason, ""});
  Active_.erase(Text);
}

LostCall ServingWorker::loss(LostCall OfFirst, std::set<std::uint64_t> &Seen,
                             std::uint64_t Run) {
  return Seen.insert(Run).second ? OfFirst : LostCall::None;
}

void ServingWorker::execute(const Action &NextAction) {
  if (const auto *Renewal = std::get_if<RenewLease>(&NextAction))
    if (Renewal->Worker_ == "w1")
      WaitingRenewals_.push_back({*Renewal, Now_ + Renewal->Wait_});
  if (const auto *Start = std::get_if<StartTask>(&NextAction))
    start(*Start);
  if (const auto *Stop = std::get_if<StopTask>(&NextAction))
    stop(*Stop);
  if (const auto *Pace = std::get_if<PaceTask>(&NextAction))
    pace(*Pace);
}

void ServingWorker::start(const StartTask &Start) {
  bool IsFiller = Start.Name_.Job_ != "lasting";
  LostCall Lost =
      IsFiller ? loss(LostStarts_, StartedRuns_, Start.Run_) : LostCall::None;
  std::string Text = Start.Name_.text();
  if (Lost != LostCall::Command)
    after(Latency, [=, this] {
      if (Start.Run_ <= HighestEndedRuns_[Text] || Active_.contains(Text))
        return;
      Active_[Text] = {Start.Name_, Start.Run_, IsFiller, 100, FillerWork};
    });
  after(Lost == LostCall::None ? 2 * Latency : CommandTimeout, [=, this] {
    CallOutcome Outcome = CallOutcome::Accepted;
    if (Lost != LostCall::None)
      Outcome = CallOutcome::NoAnswer;
    else if (!Active_.contains(Text))
      Outcome = CallOutcome::RejectedOldRun;
    Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_, Outcome,
                             Now_);
  });
}

void ServingWorker::stop(const StopTask &Stop) {
  LostCall Lost = loss(LostStops_, StoppedRuns_, Stop.Run_);
  std::string Text = Stop.Name_.text();
  if (Lost != LostCall::Command)
    after(Latency, [=, this] {
      HighestEndedRuns_[Text] = std::max(HighestEndedRuns_[Text], Stop.Run_);
      auto It = Active_.find(Text);
      if (It != Active_.end() && It->second.Run_ == Stop.Run_)
        endRun(Text, EndReason::Stopped);
    });
  after(Lost == LostCall::None ? 2 * Latency : CommandTimeout, [=, this] {
    Scheduler_.stopAnswered(Stop.Worker_, Stop.Name_, Stop.Run_,
                            Lost == LostCall::None ? CallOutcome::Accepted
                                                   : CallOutcome::NoAnswer,
                            Now_);
  });
}

void ServingWorker::pace(const PaceTask &Pace) {
  LostCall Lost = loss(
      LostPaces_, Pace.Percent_ == 0 ? SuspendedRuns_ : PacedRuns_, Pace.Run_);
  std::string Text = Pace.Name_.text();
  Duration Delay = Lost == LostCall::Delayed ? CallDelay : PaceDelay;
  if (Lost != LostCall::Command)
    after(Latency + Delay, [=, this] {
      auto It = Active_.find(Text);
      if (It != Active_.end() && It->second.Run_ == Pace.Run_)
        It->second.PacePercent_ = Pace.Percent_;
    });
  if (Lost != LostCall::None)
    after(CommandTimeout, [=, this] {
      Scheduler_.paceFailed(Pace.Worker_, Pace.Name_, Pace.Run_);
    });
}

void ServingWorker::answerDueRenewals() {
  for (const Waiting &Pending : std::exchange(WaitingRenewals_, {})) {
    std::erase_if(Ends_, [&](const EndedTask &End) {
      return End.Number_ <= Pending.Renewal_.Acknowledged_;
    });
    if (Now_ < Pending.Until_ && Ends_.empty()) {
      WaitingRenewals_.push_back(Pending);
      continue;
    }
    WorkerReport Report;
    Report.ClockMs_ = Now_.time_since_epoch() / 1ms;
    Report.StartedAtMs_ = Born_;
    Report.EndedTasks_ = Ends_;
    for (const auto &[Text, Run] : Active_)
      Report.RunningTasks_.push_back(
          {Run.Name_, Run.Run_, "", 100,
           Run.IsFiller_ ? FillerMilliCpu * Run.PacePercent_ / 100.0
                         : reportedTailMs()});
    after(Latency + ReportDelay_, [this, Renewal = Pending.Renewal_, Report] {
      Scheduler_.renewalAnswered(Renewal, Report, Now_);
    });
  }
}

void ServingWorker::write() {
  if (IsWriting_ || !Scheduler_.hasWrites())
    return;
  IsWriting_ = true;
  PendingWrites Writes = Scheduler_.takeWrites(90);
  after(CommitTime, [=, this] {
    IsWriting_ = false;
    Scheduler_.writesStored(Writes, Now_);
  });
}

} // namespace filbertspring::scheduling::test
