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
constexpr double FailureWorkFraction = 0.5;

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

double parseSlowdown(std::string_view Payload) {
  if (!Payload.starts_with(SlowPrefix))
    return 1.0;
  return parseNumber(Payload.substr(SlowPrefix.size()), 1.0);
}

CheckpointRef makeCheckpoint(const AttemptRef &Ref, double Progress) {
  return CheckpointRef(fmt::format("{}.{}.{}@{}", Ref.Task_.Job_.str(),
                                   Ref.Task_.Index_, Ref.Attempt_, Progress));
}

/// Returns the completed fraction of the work stored in \p Checkpoint.
double progressOf(const CheckpointRef &Checkpoint) {
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
  for (auto &[Ref, Target] : Attempts_)
    if (Target.State_ == AttemptState::Running)
      advanceAttempt(Target);
}

void WorkerModel::restart(WorkerTime Now) {
  advance(Now);
  for (auto &[Ref, Target] : Attempts_)
    if (Target.State_ == AttemptState::Running)
      end(Target, AttemptState::Failed, Now_, "restart");
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
  Attempt &Target = Found->second;
  if (Added) {
    Target.State_ = AttemptState::Stopped;
    Target.Reason_ = "stopped before it started";
    Refused_.try_emplace(Command.Attempt_, StartRefusal::Stopped);
    return;
  }
  if (Target.State_ != AttemptState::Running)
    return;
  if (Command.Checkpoint_)
    Target.Checkpoint_ =
        makeCheckpoint(Command.Attempt_, Target.WorkDone_ / Target.WorkTotal_);
  end(Target, AttemptState::Stopped, Now_, "stopped");
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
  Attempt Target;
  Target.Size_ = Command.Size_;
  double Declared = static_cast<double>(Command.DeclaredRunTime_.count());
  Target.WorkTotal_ = std::max(Declared * parseSlowdown(Command.Payload_), 1.0);
  Target.WorkDone_ = Target.WorkTotal_ * progressOf(Command.Checkpoint_);
  Target.WorkEnd_ = Target.WorkTotal_;
  Target.Fails_ = FailAll_ || Command.Payload_ == FailPayload;
  if (FailAll_)
    Target.WorkEnd_ = Target.WorkDone_;
  else if (Target.Fails_)
    Target.WorkEnd_ =
        std::max(Target.WorkDone_, Target.WorkTotal_ * FailureWorkFraction);
  Target.StartedAt_ = Now_;
  Target.CountedAt_ = Now_;
  Target.LeaseUntil_ = Command.LeaseUntil_;
  Target.Checkpoint_ = Command.Checkpoint_;
  Target.Run_ = Runs_.size();
  Runs_.push_back({Command.Attempt_, Boot_, Now_, std::nullopt});
  Attempts_.emplace(Command.Attempt_, std::move(Target));
}

void WorkerModel::advanceAttempt(Attempt &Target) {
  double Left =
      std::max(Target.WorkEnd_ - Target.WorkDone_, 0.0) / Target.Fraction_;
  // Compared as a double: a slow task may end beyond the range of the clock.
  double EndAt = static_cast<double>(Target.CountedAt_) + std::ceil(Left);
  WorkerTime Until = std::min(Now_, Target.LeaseUntil_);
  if (EndAt <= static_cast<double>(Until)) {
    Target.WorkDone_ = Target.WorkEnd_;
    end(Target, Target.Fails_ ? AttemptState::Failed : AttemptState::Finished,
        static_cast<WorkerTime>(EndAt), Target.Fails_ ? "task failed" : "");
    return;
  }
  Target.WorkDone_ +=
      static_cast<double>(Until - Target.CountedAt_) * Target.Fraction_;
  Target.CountedAt_ = Until;
  if (Now_ >= Target.LeaseUntil_)
    end(Target, AttemptState::Lapsed, Target.LeaseUntil_, "lease lapsed");
}

void WorkerModel::end(Attempt &Target, AttemptState State, WorkerTime At,
                      std::string_view Reason) {
  Target.State_ = State;
  Target.Reason_ = Reason;
  if (Target.Run_)
    Runs_[*Target.Run_].Until_ = At;
}

Resources WorkerModel::inUse() const {
  Resources Sum;
  for (const auto &[Ref, Target] : Attempts_)
    if (Target.State_ == AttemptState::Running)
      Sum += Target.Size_;
  return Sum;
}

WorkerReport WorkerModel::makeReport() const {
  WorkerReport Report{Settings_.Name_, Boot_, Now_, Epoch_, {}, {}};
  for (const auto &[Ref, Record] : Attempts_)
    if (!Record.Acknowledged_)
      Report.Attempts_.push_back(reportOf(Ref, Record));
  std::map<ServiceName, ServiceReport> Newest;
  for (const ServiceReport &Measurement : Measurements_)
    if (Measurement.MeasuredAt_ + Settings_.ReportLag_.count() <= Now_)
      Newest[Measurement.Service_] = Measurement;
  for (const auto &[Name, Measurement] : Newest)
    Report.Services_.push_back(Measurement);
  return Report;
}

AttemptReport WorkerModel::reportOf(const AttemptRef &Ref,
                                    const Attempt &Target) const {
  AttemptReport Report;
  Report.Attempt_ = Ref;
  Report.State_ = Target.State_;
  Report.Checkpoint_ = Target.Checkpoint_;
  Report.Reason_ = Target.Reason_;
  if (!Target.Run_)
    return Report;
  Report.Progress_ = Target.WorkDone_ / Target.WorkTotal_;
  WorkerTime MeasuredAt = Now_ - Settings_.ReportLag_.count();
  if (Target.State_ == AttemptState::Running && MeasuredAt >= Target.StartedAt_)
    Report.Usage_ = scaled(Target.Size_, Target.Fraction_);
  return Report;
}

} // namespace filbertspring
