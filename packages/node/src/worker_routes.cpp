#include "worker_routes.h"

#include <algorithm>
#include <xxhash.h>

namespace filbertspring::node {
namespace {

/// Below this number of workers the owner calls all of them itself: the delay
/// and the traffic of a relay would cost more than the calls.
constexpr std::size_t MinWorkersForRelays = 150;
/// Workers that one relay calls. Each is called about five times a second under
/// load, and a call costs about 0.12 ms of processor time. Fewer would save
/// little of it and cost the owner more batches.
constexpr std::size_t WorkersPerRelay = 300;
/// Instances with less processor capacity, in reference cores, only serve
/// callers.
constexpr double MinRelayCores = 0.2;
/// How long a relay is not used after its first failure.
constexpr Duration FirstPause = std::chrono::seconds(2);
constexpr std::uint32_t MaxPauseDoublings = 4;

/// Returns how long a path is not used after \p Failures earlier failures.
Duration pauseAfter(std::uint32_t Failures) {
  return FirstPause * (1U << std::min(Failures, MaxPauseDoublings));
}

} // namespace

void WorkerRoutes::setCandidates(
    const std::vector<RelayCandidate> &Candidates) {
  std::vector<RelayCandidate> Strongest = Candidates;
  std::stable_sort(Strongest.begin(), Strongest.end(),
                   [](const RelayCandidate &Left, const RelayCandidate &Right) {
                     return Left.CapacityCores_ > Right.CapacityCores_;
                   });
  Relays_.clear();
  for (const RelayCandidate &Candidate : Strongest)
    if (Candidate.CapacityCores_ >= MinRelayCores)
      Relays_[Candidate.Zone_].push_back(Candidate.Address_);
}

void WorkerRoutes::addWorker(const std::string &Id, const std::string &Address,
                             const std::string &Zone) {
  auto Known = AddressOfWorker_.find(Id);
  if (Known != AddressOfWorker_.end() && Known->second == Address)
    return;
  removeWorker(Id);
  AddressOfWorker_[Id] = Address;
  // A new worker may have the address of an earlier one.
  if (ZoneOfAddress_.try_emplace(Address, Zone).second)
    ++WorkersInZone_[Zone];
}

void WorkerRoutes::removeWorker(const std::string &Id) {
  auto Known = AddressOfWorker_.find(Id);
  if (Known == AddressOfWorker_.end())
    return;
  auto Zone = ZoneOfAddress_.find(Known->second);
  if (Zone != ZoneOfAddress_.end()) {
    --WorkersInZone_[Zone->second];
    ZoneOfAddress_.erase(Zone);
  }
  Detours_.erase(Known->second);
  AddressOfWorker_.erase(Known);
}

std::string WorkerRoutes::relayFor(const std::string &Address,
                                   TimePoint Now) const {
  auto Worker = ZoneOfAddress_.find(Address);
  if (Worker == ZoneOfAddress_.end() ||
      ZoneOfAddress_.size() < MinWorkersForRelays || isDetoured(Address, Now))
    return {};
  auto Relays = Relays_.find(Worker->second);
  if (Relays == Relays_.end())
    return {};
  std::size_t Workers = WorkersInZone_.at(Worker->second);
  std::size_t Needed = (Workers + WorkersPerRelay - 1) / WorkersPerRelay;
  std::vector<const std::string *> Usable;
  for (const std::string &Relay : Relays->second) {
    auto State = Health_.find(Relay);
    if (State == Health_.end() || State->second.AvoidUntil_ <= Now)
      Usable.push_back(&Relay);
    if (Usable.size() == Needed)
      break;
  }
  if (Usable.empty())
    return {};
  std::uint64_t Hash = XXH3_64bits(Address.data(), Address.size());
  return *Usable[Hash % Usable.size()];
}

bool WorkerRoutes::relayFailed(const std::string &Relay, TimePoint SentAt,
                               TimePoint Now) {
  Health &State = Health_[Relay];
  if (State.AvoidUntil_ > Now || State.LastAnswerAt_ > SentAt)
    return false;
  State.AvoidUntil_ = Now + pauseAfter(State.Failures_++);
  return true;
}

void WorkerRoutes::relayAnswered(const std::string &Relay, TimePoint Now) {
  Health &State = Health_[Relay];
  State.LastAnswerAt_ = Now;
  State.Failures_ = 0;
}

void WorkerRoutes::workerAnsweredRelay(const std::string &Address) {
  Detours_.erase(Address);
}

void WorkerRoutes::workerMissedByRelay(const std::string &Address,
                                       TimePoint Now) {
  // Without this, each call that was open at the time would lengthen the
  // detour.
  if (isDetoured(Address, Now) || !ZoneOfAddress_.contains(Address))
    return;
  Detour &Taken = Detours_[Address];
  Taken.Until_ = Now + pauseAfter(Taken.Failures_++);
}

bool WorkerRoutes::isDetoured(const std::string &Address, TimePoint Now) const {
  auto Taken = Detours_.find(Address);
  return Taken != Detours_.end() && Taken->second.Until_ > Now;
}

void WorkerRoutes::workerMissedByOwner(const std::string &Address,
                                       TimePoint Now) {
  if (isDetoured(Address, Now))
    Detours_[Address].Until_ = Now;
}

} // namespace filbertspring::node
