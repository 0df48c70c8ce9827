#include "virtual_worker.h"

namespace filbertspring::scheduling::test {
namespace {

/// The longest lease that a worker accepts.
constexpr std::int64_t MaxLeaseMs = 6000;

} // namespace

VirtualWorker::VirtualWorker(
    WorkerEntry Entry, double ClockRate, WorkerObserver &Observer,
    std::function<TaskFate(const TaskName &, std::uint64_t)> Fate)
    : Entry_(std::move(Entry)), ClockRate_(ClockRate), Observer_(Observer),
      Fate_(std::move(Fate)) {}

std::int64_t VirtualWorker::clockMs(TimePoint Now) const {
  std::chrono::duration<double, std::milli> Age = Now - Born_;
  return static_cast<std::int64_t>(Age.count() * ClockRate_) + 1000;
}

void VirtualWorker::end(const std::string &Text, EndReason Reason,
                        TimePoint Now) {
  Held Gone = Runs_.at(Text);
  Runs_.erase(Text);
  Forbidden_[Text] = std::max(Forbidden_[Text], Gone.Run_);
  Ends_.push_back({{NextEnd_++, Gone.Name_, Gone.Run_, Reason, ""}, false});
  Observer_.ended(Entry_.Id_, Gone.Name_, Gone.Run_, Reason, Now);
}

void VirtualWorker::advance(TimePoint Now) {
  std::vector<std::string> Finished;
  for (const auto &[Text, One] : Runs_)
    if (One.EndsAt_ <= Now)
      Finished.push_back(Text);
  for (const std::string &Text : Finished)
    end(Text, Runs_.at(Text).Fails_ ? EndReason::Failed : EndReason::Done, Now);
  if (clockMs(Now) <= DeadlineMs_)
    return;
  while (!Runs_.empty())
    end(Runs_.begin()->first, EndReason::LeaseExpired, Now);
  for (Ended &One : Ends_)
    One.HasLapsed_ = true;
}

CallOutcome VirtualWorker::start(const StartTask &Start, std::uint64_t Token,
                                 std::int64_t BornMs, TimePoint Now) {
  advance(Now);
  if (BornMs != Entry_.StartedAtMs_)
    return CallOutcome::OtherInstance;
  if (Token < Token_)
    return CallOutcome::RejectedStaleToken;
  Token_ = Token;
  if (Start.DeadlineMs_ < clockMs(Now))
    return CallOutcome::RejectedPastDeadline;
  std::string Text = Start.Name_.text();
  auto Found = Runs_.find(Text);
  if (Found != Runs_.end() && Found->second.Run_ == Start.Run_)
    return CallOutcome::Accepted;
  auto Limit = Forbidden_.find(Text);
  if (Limit != Forbidden_.end() && Start.Run_ <= Limit->second)
    return CallOutcome::RejectedOldRun;
  DeadlineMs_ = std::max(
      DeadlineMs_, std::min(Start.DeadlineMs_, clockMs(Now) + MaxLeaseMs));
  TaskFate Fate = Fate_(Start.Name_, Start.Run_);
  Runs_[Text] = {Start.Name_, Start.Run_, Now + Fate.Work_, Fate.Fails_};
  Observer_.started(Entry_.Id_, Start, Token, Now);
  return CallOutcome::Accepted;
}

CallOutcome VirtualWorker::stop(const StopTask &Stop, std::uint64_t Token,
                                std::int64_t BornMs, TimePoint Now) {
  advance(Now);
  if (BornMs != Entry_.StartedAtMs_)
    return CallOutcome::OtherInstance;
  if (Token < Token_)
    return CallOutcome::RejectedStaleToken;
  Token_ = Token;
  std::string Text = Stop.Name_.text();
  Forbidden_[Text] = std::max(Forbidden_[Text], Stop.Run_);
  auto Found = Runs_.find(Text);
  if (Found != Runs_.end() && Found->second.Run_ == Stop.Run_)
    end(Text, EndReason::Stopped, Now);
  return CallOutcome::Accepted;
}

CallOutcome VirtualWorker::pace(std::uint64_t Token, TimePoint Now) {
  advance(Now);
  return Token < Token_ ? CallOutcome::RejectedStaleToken
                        : CallOutcome::Accepted;
}

CallOutcome VirtualWorker::renew(const RenewLease &Renewal, std::uint64_t Token,
                                 std::int64_t BornMs, TimePoint Now,
                                 WorkerReport &Report) {
  advance(Now);
  if (BornMs != Entry_.StartedAtMs_)
    return CallOutcome::OtherInstance;
  if (Token < Token_)
    return CallOutcome::RejectedStaleToken;
  Token_ = Token;
  if (Renewal.DeadlineMs_)
    DeadlineMs_ = std::max(
        DeadlineMs_, std::min(*Renewal.DeadlineMs_, clockMs(Now) + MaxLeaseMs));
  while (!Ends_.empty() &&
         Ends_.front().What_.Number_ <= Renewal.Acknowledged_) {
    const EndedTask &Gone = Ends_.front().What_;
    Observer_.acknowledged(Entry_.Id_, Gone.Name_, Gone.Run_, Gone.Reason_,
                           Ends_.front().HasLapsed_, Now);
    Ends_.pop_front();
  }
  Report.ClockMs_ = clockMs(Now);
  Report.StartedAtMs_ = Entry_.StartedAtMs_;
  for (const auto &[Text, One] : Runs_)
    Report.RunningTasks_.push_back({One.Name_, One.Run_, "", 50, 1});
  for (const Ended &One : Ends_)
    Report.EndedTasks_.push_back(One.What_);
  return CallOutcome::Accepted;
}

void VirtualWorker::crash(TimePoint Now) {
  for (const auto &[Text, One] : Runs_)
    Observer_.ended(Entry_.Id_, One.Name_, One.Run_, EndReason::Unknown, Now);
  Runs_.clear();
  Ends_.clear();
  Forbidden_.clear();
  Token_ = 0;
  DeadlineMs_ = 0;
  NextEnd_ = 1;
  Born_ = Now;
  ++Entry_.StartedAtMs_;
}

} // namespace filbertspring::scheduling::test
