#ifndef FILBERTSPRING_SCHEDULING_OBSTACLE_H
#define FILBERTSPRING_SCHEDULING_OBSTACLE_H

/// \file
/// What keeps a task from a worker, and for how long it may.
///
/// Some obstacles are facts: a start would be refused, would break a limit or
/// would not arrive. The others are judgements, which make a worker a bad
/// choice. As several of them can follow each other, a judgement must not keep
/// a task from all workers for longer than users tolerate.

#include "filbertspring/base/time.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace filbertspring::scheduling {

/// Why a worker does not get a task.
enum class Obstacle {
  /// Not registered, draining, unreachable, or in a closed zone.
  NotUsable,
  /// Another service, or without the required label.
  NotAllowed,
  /// Its runs leave too little of its capacity.
  NoCapacity,
  /// A start command failed there a moment ago.
  Avoided,
  /// It has failed several tasks in a row.
  Quarantined,
  /// It executes a run of an unknown job.
  UnknownRun,
  /// Too many start commands are outstanding.
  StartsInFlight,
  /// A suspected task has not settled on it.
  FreshSuspect,
  /// It is reserved for suspected tasks.
  Reserved,
  /// It is reserved for a job that waits for capacity.
  ReservedForJob,
  /// The task has to be isolated, and other runs have not settled.
  NotIsolated,
  /// It has as many tasks of the step as are allowed, or a run of the task.
  StepLimit,
  /// An earlier start command for the task may still be executed elsewhere.
  StartInDoubt,
  /// A serving task is over its target, and the task is a filler.
  OverTarget,
  /// Fillers would use more processors than it has.
  Utilization,
  /// A filler may violate a tail latency target.
  Interference,
  /// The task waits for a place near its data, which it prefers.
  FarFromData,
  /// The workspace of the task uses as much as it may on all workers together.
  Quota,
};
inline constexpr std::size_t ObstacleCount = 18;

/// Returns the name of \p Value in logs.
std::string_view nameOf(Obstacle Value);

/// Returns the wait after which a task that must not wait any longer is placed
/// in spite of \p Value; nothing for a fact.
std::optional<Duration> maxWait(Obstacle Value);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_OBSTACLE_H
