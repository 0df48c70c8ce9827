#ifndef FILBERTSPRING_PLACEMENT_ROOM_RESERVATIONS_H
#define FILBERTSPRING_PLACEMENT_ROOM_RESERVATIONS_H

/// \file
/// Room that is kept for tasks that others have overtaken.

#include "rack_draft.h"
#include "scheduler_core.h"

#include <optional>
#include <vector>

namespace filbertspring::placement {

/// The workers of a rack while one transaction is planned.
struct RackCandidates {
  /// Workers whose clock reading is fresh.
  std::vector<WorkerCandidate> Fresh_;
  /// Workers that must report before a claim may use them.
  std::vector<WorkerCandidate> Stale_;

  /// Returns the candidate called \p Name, or null.
  WorkerCandidate *find(const WorkerName &Name);
};

/// Withholds the reserved room of a rack from the candidates of one
/// transaction. The reservations are kept in the rack's state.
class RoomReservations {
public:
  RoomReservations(SchedulerCore &Core, RackState &Rack,
                   RackCandidates &Candidates, RackDraft &Draft)
      : Core_(Core), Rack_(Rack), Candidates_(Candidates), Draft_(Draft) {}

  /// Withholds the room reserved for jobs of this urgency. Drops reservations
  /// whose job no longer waits or whose worker cannot be used.
  void withhold(bool Urgent);
  /// Returns the jobs of a contract for which room is reserved.
  std::vector<JobId> jobsOf(const ContractName &Contract, bool Urgent) const;
  /// Drops the reservation of \p Job and gives its room back to its worker.
  void release(const JobRecord &Job);
  /// Reserves room for a task of \p Job, if it has been passed over for long
  /// enough, on the worker that will have room first. Linear in the attempts of
  /// the rack.
  void reserve(const JobEntry &Job);

private:
  /// Returns the expected time until \p Worker has room for \p Size, or
  /// std::nullopt when the tasks that end do not leave enough.
  std::optional<Duration> timeToRoom(const WorkerCandidate &Worker,
                                     const Resources &Size) const;
  bool mayReserve(const JobEntry &Job) const;
  std::optional<WorkerName> firstWithRoom(const JobRecord &Job) const;

  SchedulerCore &Core_;
  RackState &Rack_;
  RackCandidates &Candidates_;
  RackDraft &Draft_;
};

/// Returns true when a task of \p Job has waited for room or quota for as long
/// as others may overtake it.
bool hasWaitedLong(const SchedulerCore &Core, const JobEntry &Job);

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_ROOM_RESERVATIONS_H
