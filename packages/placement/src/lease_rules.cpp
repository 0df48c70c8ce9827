#include "filbertspring/placement/lease_rules.h"

namespace filbertspring::placement {
namespace {

constexpr std::int64_t PartsPerMillion = 1'000'000;

Duration driftOf(Duration Span, const LeaseSettings &Settings) {
  return Duration(Span.count() * Settings.DriftPpm_ / PartsPerMillion + 1);
}

} // namespace

Duration maxLocalDuration(Duration Span, const LeaseSettings &Settings) {
  return Span + driftOf(Span, Settings);
}

WorkerTime leaseEnd(const ClockReading &Reading,
                    const LeaseSettings &Settings) {
  return Reading.Clock_ + Settings.Lease_.count();
}

WorkerTime startDeadline(const ClockReading &Reading,
                         const LeaseSettings &Settings) {
  Duration Bound =
      Settings.StartBound_ - driftOf(Settings.StartBound_, Settings);
  return Reading.Clock_ + Bound.count();
}

TimePoint latestLeaseExpiry(const ClockReading &Reading,
                            const LeaseSettings &Settings) {
  return Reading.ReceivedAt_ + maxLocalDuration(Settings.Lease_, Settings) +
         Settings.Margin_;
}

TimePoint latestPriorOwnerLeaseExpiry(TimePoint SeenAt,
                                      const LeaseSettings &Settings) {
  Duration Span = Settings.CutOffGrace_ + Settings.Lease_;
  return SeenAt + maxLocalDuration(Span, Settings) + Settings.Margin_;
}

bool hasPassedOnWorker(const ClockReading &Reading, TimePoint Now,
                       WorkerTime Limit, const LeaseSettings &Settings) {
  Duration Left(Limit - Reading.Clock_);
  return Now >= Reading.ReceivedAt_ + maxLocalDuration(Left, Settings);
}

} // namespace filbertspring::placement
