#include "filbertspring/placement/lease_rules.h"

namespace filbertspring::placement {
namespace {

constexpr std::int64_t PartsPerMillion = 1'000'000;

Duration driftOf(Duration Span, const LeaseSettings &Settings) {
  return Duration(Span.count() * Settings.DriftPpm_ / PartsPerMillion + 1);
}

} // namespace

Duration stretched(Duration Span, const LeaseSettings &Settings) {
  return Span + driftOf(Span, Settings);
}

WorkerTime leaseEnd(const ClockReading &Reading,
                    const LeaseSettings &Settings) {
  return Reading.Clock_ + Settings.Lease_.count();
}

WorkerTime startEnd(const ClockReading &Reading,
                    const LeaseSettings &Settings) {
  Duration Bound =
      Settings.StartBound_ - driftOf(Settings.StartBound_, Settings);
  return Reading.Clock_ + Bound.count();
}

TimePoint surelyLapsed(const ClockReading &Reading,
                       const LeaseSettings &Settings) {
  return Reading.ReceivedAt_ + stretched(Settings.Lease_, Settings) +
         Settings.Margin_;
}

TimePoint surelyLapsedOfOthers(TimePoint SeenAt,
                               const LeaseSettings &Settings) {
  Duration Span = Settings.CutOffGrace_ + Settings.Lease_;
  return SeenAt + stretched(Span, Settings) + Settings.Margin_;
}

bool surelyPast(const ClockReading &Reading, TimePoint Now, WorkerTime Limit,
                const LeaseSettings &Settings) {
  Duration Left(Limit - Reading.Clock_);
  return Now >= Reading.ReceivedAt_ + stretched(Left, Settings);
}

} // namespace filbertspring::placement
