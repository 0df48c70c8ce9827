#include "filbertspring/standins/worker_model.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace filbertspring {
namespace {

constexpr std::string_view FailPayload = "fail";
constexpr std::string_view SlowPrefix = "slow:";
constexpr double FailAtFraction = 0.5;

std::string bootName(const WorkerName &Worker, std::int64_t Count) {
  return fmt::format("{}-boot-{}", Worker.str(), Count);
}

double parseNumber(std::string_view Text, double Default) {
  double Value = 0.0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  bool Valid = Error == std::errc() && Rest == End && std::isfinite(Value);
  return Valid && Value >= 0.0 ? Value : Default;
}

double slownessOf(std::string_view Payload) {
  if (!Payload.starts_with(SlowPrefix))
    return 1.0;
  return parseNumber(Payload.substr(SlowPrefix.size()), 1.0);
}

CheckpointRef makeCheckpoint(const AttemptRef &Ref, double Progress) {
  return CheckpointRef(fmt::format("{}.{}.{}@{}", Ref.Task_.Job_.str(),
                                   Ref.Task_.Index_, Ref.Attempt_, Progress));
}

/// Returns the fraction of the work that \p Checkpoint holds.
double progressIn(const CheckpointRef &Checkpoint) {
  std::string_view Text = Checkpoint.str();
  std::size_t At = Text.rfind('@');
  if (At == std::string_view::npos)
    return 0.0;
  return std::min(parseNumber(Text.substr(At + 1), 0.0), 1.0);
}

Resources scaled(const Resources &Size, double Fraction) {
  auto Scale = [Fraction](std::int64_t Count) {
    return std::llround(static_cast<double>(Count) * Fraction);
  };
  return {Millicores(Scale(Size.Cpu_.count())), Size.Memory_,
          Size.Accelerators_};
}

} // namespace

WorkerModel::WorkerModel(WorkerModelSettings Settings)
    : Settings_(std::move(Settings)),
      Boot_(bootName(Settings_.Name_, BootCount_)) {}

WorkerAnswer WorkerModel::obey(const WorkerCommands &Commands, WorkerTime Now) {
  advance(Now);
  WorkerAnswer Answer;
  Answer.Accepted_ = Commands.Boot_ == Boot_ && Commands.Epoch_ >= Epoch_;
  if (!Answer.Accepted_) {
    Answer.Report_ = makeReport();
    return Answer;
  }
  Epoch_ = Commands.Epoch_;
  for (const AttemptRef &Each : Commands.Acknowledged_)
    acknowledge(Each);
  for (const StopCommand &Each : Commands.Stops_)
    stop(Each);
  for (const RenewCommand &Each : Commands.Renewals_)
    renew(Each);
  for (const ThrottleCommand &Each : Commands.Throttles_)
    throttle(Each);
  for (const StartCommand &Each : Commands.Starts_)
    if (std::optional<StartRefusal> Reason = start(Each))
      Answer.Refused_.push_back({Each.Attempt_, *Reason});
  advance(Now);
  Answer.Report_ = makeReport();
  return Answer;
}

WorkerReport WorkerModel::report(WorkerTime Now) {
  advance(Now);
  return makeReport();
}

void WorkerModel::advance(WorkerTime Now) {
  Now_ = std::max(Now_, Now);
  for (auto &[Ref, Each] : Attempts_)
    if (Each.State_ == AttemptState::Running)
      advanceAttempt(Each);
}

void WorkerModel::restart(WorkerTime Now) {
  advance(Now);
  for (auto &[Ref, Each] : Attempts_)
    if (Each.State_ == AttemptState::Running)
      end(Each, AttemptState::Failed, Now_, "restart");
  Boot_ = bootName(Settings_.Name_, ++BootCount_);
  Now_ = 0;
  Epoch_ = 0;
  Attempts_.clear();
  Refused_.clear();
  Measurements_.clear();
}

void WorkerModel::recordService(const ServiceReport &Measurement) {
  Measurements_.push_back(Measurement);
}

void WorkerModel::acknowledge(const AttemptRef &Ref) {
  auto Found = Attempts_.find(Ref);
  if (Found == Attempts_.end() || Found->second.State_ == AttemptState::Running)
    return;
  Found->second.Acknowledged_ = true;
}

void WorkerModel::stop(const StopCommand &Command) {
  auto [Found, Added] = Attempts_.try_emplace(Command.Attempt_);
  Attempt &Each = Found->second;
  if (Added) {
    Each.State_ = AttemptState::Stopped;
    Each.Reason_ = "stopped before it started";
    Refused_.try_emplace(Command.Attempt_, StartRefusal::Stopped);
    return;
  }
  if (Each.State_ != AttemptState::Running)
    return;
  if (Command.Checkpoint_)
    Each.Checkpoint_ =
        makeCheckpoint(Command.Attempt_, Each.WorkDone_ / Each.WorkTotal_);
  end(Each, AttemptState::Stopped, Now_, "stopped");
}

void WorkerModel::renew(const RenewCommand &Command) {
  auto Found = Attempts_.find(Command.Attempt_);
  if (Found == Attempts_.end())
    return;
  WorkerTime &Until = Found->second.LeaseUntil_;
  Until = std::max(Until, Command.LeaseUntil_);
}

void WorkerModel::throttle(const ThrottleCommand &Command) {
  auto Found = Attempts_.find(Command.Attempt_);
  if (Found == Attempts_.end() || Command.Fraction_ <= 0.0)
    return;
  Found->second.Fraction_ = std::min(Command.Fraction_, 1.0);
}

std::optional<StartRefusal> WorkerModel::start(const StartCommand &Command) {
  if (auto Found = Refused_.find(Command.Attempt_); Found != Refused_.end())
    return Found->second;
  if (Attempts_.contains(Command.Attempt_))
    return std::nullopt;
  std::optional<StartRefusal> Reason = refusalOf(Command);
  if (Reason)
    Refused_.emplace(Command.Attempt_, *Reason);
  else
    run(Command);
  return Reason;
}

std::optional<StartRefusal>
WorkerModel::refusalOf(const StartCommand &Command) const {
  if (Now_ > Command.StartBefore_ || Now_ >= Command.LeaseUntil_)
    return StartRefusal::Late;
  bool Fits = (inUse() + Command.Size_).fitsIn(Settings_.Capacity_);
  if (!Fits || !Command.Size_.isNonNegative())
    return StartRefusal::NoCapacity;
  return std::nullopt;
}

void WorkerModel::run(const StartCommand &Command) {
  Attempt Each;
  Each.Size_ = Command.Size_;
  double Declared = static_cast<double>(Command.DeclaredRunTime_.count());
  Each.WorkTotal_ = std::max(Declared * slownessOf(Command.Payload_), 1.0);
  Each.WorkDone_ = Each.WorkTotal_ * progressIn(Command.Checkpoint_);
  Each.WorkEnd_ = Each.WorkTotal_;
  Each.Fails_ = FailAll_ || Command.Payload_ == FailPayload;
  if (FailAll_)
    Each.WorkEnd_ = Each.WorkDone_;
  else if (Each.Fails_)
    Each.WorkEnd_ = std::max(Each.WorkDone_, Each.WorkTotal_ * FailAtFraction);
  Each.StartedAt_ = Now_;
  Each.CountedAt_ = Now_;
  Each.LeaseUntil_ = Command.LeaseUntil_;
  Each.Checkpoint_ = Command.Checkpoint_;
  Each.Run_ = Runs_.size();
  Runs_.push_back({Command.Attempt_, Boot_, Now_, std::nullopt});
  Attempts_.emplace(Command.Attempt_, std::move(Each));
}

void WorkerModel::advanceAttempt(Attempt &Each) {
  double Left = std::max(Each.WorkEnd_ - Each.WorkDone_, 0.0) / Each.Fraction_;
  // Compared as a double: a slow task may end beyond the range of the clock.
  double EndAt = static_cast<double>(Each.CountedAt_) + std::ceil(Left);
  WorkerTime Until = std::min(Now_, Each.LeaseUntil_);
  if (EndAt <= static_cast<double>(Until)) {
    Each.WorkDone_ = Each.WorkEnd_;
    end(Each, Each.Fails_ ? AttemptState::Failed : AttemptState::Finished,
        static_cast<WorkerTime>(EndAt), Each.Fails_ ? "task failed" : "");
    return;
  }
  Each.WorkDone_ +=
      static_cast<double>(Until - Each.CountedAt_) * Each.Fraction_;
  Each.CountedAt_ = Until;
  if (Now_ >= Each.LeaseUntil_)
    end(Each, AttemptState::Lapsed, Each.LeaseUntil_, "lease lapsed");
}

void WorkerModel::end(Attempt &Each, AttemptState State, WorkerTime At,
                      std::string_view Reason) {
  Each.State_ = State;
  Each.Reason_ = Reason;
  if (Each.Run_)
    Runs_[*Each.Run_].Until_ = At;
}

Resources WorkerModel::inUse() const {
  Resources Sum;
  for (const auto &[Ref, Each] : Attempts_)
    if (Each.State_ == AttemptState::Running)
      Sum += Each.Size_;
  return Sum;
}

WorkerReport WorkerModel::makeReport() const {
  WorkerReport Report{Settings_.Name_, Boot_, Now_, Epoch_, {}, {}};
  for (const auto &[Ref, Each] : Attempts_)
    if (!Each.Acknowledged_)
      Report.Attempts_.push_back(reportOf(Ref, Each));
  std::map<ServiceName, ServiceReport> Newest;
  for (const ServiceReport &Each : Measurements_)
    if (Each.MeasuredAt_ + Settings_.ReportLag_.count() <= Now_)
      Newest[Each.Service_] = Each;
  for (const auto &[Name, Each] : Newest)
    Report.Services_.push_back(Each);
  return Report;
}

AttemptReport WorkerModel::reportOf(const AttemptRef &Ref,
                                    const Attempt &Each) const {
  AttemptReport Report;
  Report.Attempt_ = Ref;
  Report.State_ = Each.State_;
  Report.Checkpoint_ = Each.Checkpoint_;
  Report.Reason_ = Each.Reason_;
  if (!Each.Run_)
    return Report;
  Report.Progress_ = Each.WorkDone_ / Each.WorkTotal_;
  WorkerTime MeasuredAt = Now_ - Settings_.ReportLag_.count();
  if (Each.State_ == AttemptState::Running && MeasuredAt >= Each.StartedAt_)
    Report.Usage_ = scaled(Each.Size_, Each.Fraction_);
  return Report;
}

} // namespace filbertspring
