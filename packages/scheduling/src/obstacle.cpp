#include "obstacle.h"

#include "filbertspring/base/enum_table.h"
#include "place_wait.h"

#include <algorithm>
#include <array>

namespace filbertspring::scheduling {
namespace {

/// Users tolerate that a task waits for three seconds beside free capacity.
/// Until then the start is stored, sent and carried out.
constexpr Duration MaxJudgementWait = std::chrono::milliseconds(2000);
/// A worker that is reserved for a suspected task has settled by then.
constexpr Duration MaxIsolationWait = std::chrono::milliseconds(2500);

constexpr Duration MaxReservationWait = std::chrono::milliseconds(2500);

struct ObstacleTrait {
  Obstacle Value_;
  std::string_view Name_;
  std::optional<Duration> MaxWait_;
};

constexpr std::array<ObstacleTrait, ObstacleCount> Traits{{
    {Obstacle::NotUsable, "not_usable", {}},
    {Obstacle::NotAllowed, "not_allowed", {}},
    {Obstacle::NoCapacity, "no_capacity", {}},
    // For a second at most. Without it, a worker that refuses all starts would
    // be chosen again and again.
    {Obstacle::Avoided, "avoided", {}},
    {Obstacle::Quarantined, "quarantined", MaxJudgementWait},
    // It may use all of the worker, and is being stopped.
    {Obstacle::UnknownRun, "unknown_run", {}},
    // Calls time out.
    {Obstacle::StartsInFlight, "starts_in_flight", {}},
    {Obstacle::FreshSuspect, "fresh_suspect", MaxJudgementWait},
    {Obstacle::Reserved, "reserved", MaxJudgementWait},
    // Longer, since the job of the reservation waits, too.
    {Obstacle::ReservedForJob, "reserved_for_job", MaxReservationWait},
    {Obstacle::NotIsolated, "not_isolated", MaxIsolationWait},
    {Obstacle::StepLimit, "step_limit", {}},
    // For as long as a command may be executed after it was sent.
    {Obstacle::StartInDoubt, "start_in_doubt", {}},
    // Until the serving task has recovered; fillers beside it are suspended.
    {Obstacle::OverTarget, "over_target", {}},
    {Obstacle::Utilization, "utilization", MaxJudgementWait},
    {Obstacle::Interference, "interference", MaxJudgementWait},
    {Obstacle::FarFromData, "far_from_data", MaxPlaceWait},
    {Obstacle::Quota, "quota", {}},
}};

const ObstacleTrait &traitOf(Obstacle Value) {
  return *std::find_if(
      Traits.begin(), Traits.end(),
      [Value](const ObstacleTrait &Trait) { return Trait.Value_ == Value; });
}

} // namespace

std::string_view nameOf(Obstacle Value) { return traitOf(Value).Name_; }

std::optional<Duration> maxWait(Obstacle Value) {
  return traitOf(Value).MaxWait_;
}

} // namespace filbertspring::scheduling
