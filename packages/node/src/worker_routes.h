#ifndef FILBERTSPRING_NODE_WORKER_ROUTES_H
#define FILBERTSPRING_NODE_WORKER_ROUTES_H

/// \file
/// The choice of the instances that call workers on behalf of the cell's owner.

#include "filbertspring/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertspring::node {

/// Another instance that may call workers.
struct RelayCandidate {
  /// The address for other instances.
  std::string Address_;
  std::string Zone_;
  /// The processor capacity, in reference cores.
  double CapacityCores_ = 0;
};

/// Decides for each worker which instance calls it.
///
/// The owner decides alone, but a call costs it far more processor time than
/// the decision. With hundreds of workers, the strongest instances of each
/// worker's zone make the calls; a few workers are called directly. An instance
/// that fails is not used for a time that doubles with each further failure,
/// and its workers are called through the others. A worker that an instance
/// does not reach is called by the owner for such a time, unless the owner does
/// not reach it either.
class WorkerRoutes {
public:
  /// Replaces the candidates, which exclude the owner itself.
  void setCandidates(const std::vector<RelayCandidate> &Candidates);
  /// Notes the present address and zone of worker \p Id.
  void addWorker(const std::string &Id, const std::string &Address,
                 const std::string &Zone);
  void removeWorker(const std::string &Id);

  /// Returns the address of the instance that is to call the worker at
  /// \p Address, or an empty text if the owner is to call it.
  std::string relayFor(const std::string &Address, TimePoint Now) const;
  /// Notes that \p Relay did not take, or did not answer, a batch that was sent
  /// at \p SentAt. Returns whether it was in use until now.
  bool relayFailed(const std::string &Relay, TimePoint SentAt, TimePoint Now);
  /// Notes that \p Relay answered.
  void relayAnswered(const std::string &Relay, TimePoint Now);
  /// Notes that a relay got an answer of the worker at \p Address, or got none.
  void workerAnsweredRelay(const std::string &Address);
  void workerMissedByRelay(const std::string &Address, TimePoint Now);
  /// Returns whether the owner calls the worker at \p Address because a relay
  /// did not reach it.
  bool isDetoured(const std::string &Address, TimePoint Now) const;
  /// Notes that the owner did not reach the worker at \p Address either.
  void workerMissedByOwner(const std::string &Address, TimePoint Now);

private:
  struct Health {
    TimePoint LastAnswerAt_{};
    TimePoint AvoidUntil_{};
    std::uint32_t Failures_ = 0;
  };
  /// Calls that the owner makes in place of a relay.
  struct Detour {
    TimePoint Until_{};
    std::uint32_t Failures_ = 0;
  };

  /// By zone, the strongest first.
  std::map<std::string, std::vector<std::string>> Relays_;
  std::unordered_map<std::string, Health> Health_;
  /// By the address of the worker.
  std::unordered_map<std::string, Detour> Detours_;
  std::unordered_map<std::string, std::string> AddressOfWorker_;
  std::unordered_map<std::string, std::string> ZoneOfAddress_;
  std::map<std::string, std::size_t> WorkersInZone_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_WORKER_ROUTES_H
