#include "filbertspring/scheduling/start_admission.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// A drain is in force within 2 s. Its registration, the decision and its
/// effects wait for the loop up to four times, beside the calls to the store;
/// half of the time is kept in reserve.
constexpr Duration MaxLoopDelay = std::chrono::milliseconds(200);
/// Starts are limited once the loop has been late for this time. A single pause
/// of the process has no effect.
constexpr Duration LateTime = MaxLoopDelay;
/// A loop that is later first does what it has to do: beside that, starts are
/// admitted at the lowest rate only.
constexpr Duration PauseLoopDelay = 2 * MaxLoopDelay;
/// A loop that is less late keeps up: a process with a part of a processor
/// pauses for up to this long in any case.
constexpr Duration UsualLoopDelay = std::chrono::milliseconds(100);
/// The lowest rate, in starts a second. The calls of a start take less than
/// 0.5 ms of a processor, so these starts take less than 1 % of one.
constexpr double MinRate = 20;
/// The rate falls by at most this factor at a time ...
constexpr double MaxDecrease = 0.5;
/// ... and by at least this one.
constexpr double MinDecrease = 0.9;
/// The minimum time between two decreases, in which the first shows an effect.
constexpr Duration DecreaseInterval = std::chrono::milliseconds(200);
constexpr Duration IncreaseInterval = std::chrono::milliseconds(100);
/// The rate rises by this factor up to half of the rate at which the loop was
/// late, so that it recovers from the minimum in about two seconds ...
constexpr double FastIncrease = 1.25;
/// ... and by this one above, since the ends of the runs that are started also
/// take time, but later.
constexpr double SlowIncrease = 1.08;
/// The limit ends when it has not been reached for this time.
constexpr Duration UnusedTime = std::chrono::milliseconds(1000);
/// The minimum time between two placement passes while starts are limited.
constexpr Duration PassInterval = std::chrono::milliseconds(50);
/// A pass ranks all jobs that wait, so that it is not made for fewer starts.
constexpr double MinPassStarts = 4;
/// Starts that were not used add up over this time.
constexpr Duration BurstTime = std::chrono::milliseconds(250);
/// After a placement pass, this multiple of its time passes before the next
/// one, so that passes take at most a fifth of the time.
constexpr int PassPause = 4;
/// Bounds the pause after a pass in which the process was stopped.
constexpr Duration MaxPassPause = std::chrono::milliseconds(250);
/// The time over which the rate of starts is counted.
constexpr Duration CountingPeriod = std::chrono::milliseconds(1000);

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void StartAdmission::countPeriod(TimePoint Now) {
  Duration Elapsed = Now - PeriodStart_;
  if (Elapsed < CountingPeriod)
    return;
  // A longer period is one in which the loop was stopped.
  PreviousRate_ = CountedRate_;
  CountedRate_ = static_cast<double>(PeriodStarts_) / secondsOf(CountingPeriod);
  PeriodStarts_ = 0;
  PeriodStart_ = Now;
}

void StartAdmission::limit(TimePoint Now, Duration LoopDelay) {
  UnusedSince_ = Now;
  NextIncreaseAt_ = Now + IncreaseInterval;
  if (IsLimited_ && Now < NextDecreaseAt_)
    return;
  // A decrease shows its effect only after the work that was there before.
  NextDecreaseAt_ = Now + std::max(DecreaseInterval, LoopDelay);
  if (!IsLimited_)
    Rate_ = std::max(
        {PreviousRate_, CountedRate_,
         static_cast<double>(PeriodStarts_) / secondsOf(CountingPeriod)});
  IsLimited_ = true;
  LateRate_ = Rate_;
  double Factor = secondsOf(MaxLoopDelay) / secondsOf(LoopDelay);
  Rate_ =
      std::max(MinRate, Rate_ * std::clamp(Factor, MaxDecrease, MinDecrease));
}

void StartAdmission::relax(TimePoint Now) {
  if (Now - UnusedSince_ >= UnusedTime) {
    IsLimited_ = false;
    return;
  }
  if (Now < NextIncreaseAt_)
    return;
  NextIncreaseAt_ = Now + IncreaseInterval;
  Rate_ *= Rate_ < LateRate_ / 2 ? FastIncrease : SlowIncrease;
}

void StartAdmission::observe(TimePoint Now, Duration LoopDelay) {
  countPeriod(Now);
  double Elapsed = secondsOf(Now - LastObservedAt_);
  LastObservedAt_ = Now;
  if (LoopDelay <= MaxLoopDelay)
    LateSince_.reset();
  else if (!LateSince_)
    LateSince_ = Now;
  if (LateSince_ && (IsLimited_ || Now - *LateSince_ >= LateTime))
    limit(Now, LoopDelay);
  else if (IsLimited_ && LoopDelay <= UsualLoopDelay)
    relax(Now);
  else
    UnusedSince_ = Now;
  double Rate = LoopDelay > PauseLoopDelay ? MinRate : Rate_;
  Available_ =
      std::min(Available_ + Rate * Elapsed, Rate * secondsOf(BurstTime));
}

std::size_t StartAdmission::admit(TimePoint Now) const {
  if (Now < NextPassAt_ || (IsLimited_ && Available_ < MinPassStarts))
    return 0;
  return IsLimited_ ? static_cast<std::size_t>(Available_) : UnlimitedStarts;
}

void StartAdmission::placed(TimePoint Now, std::size_t Starts, Duration Took) {
  PeriodStarts_ += Starts;
  NextPassAt_ = Now + Took + std::min(PassPause * Took, MaxPassPause);
  if (!IsLimited_)
    return;
  NextPassAt_ = std::max(NextPassAt_, Now + PassInterval);
  Available_ -= static_cast<double>(Starts);
  if (Available_ < MinPassStarts)
    UnusedSince_ = Now;
}

} // namespace filbertspring::scheduling
