#ifndef FILBERTSPRING_ROUTING_TESTS_FUZZ_HARNESS_H
#define FILBERTSPRING_ROUTING_TESTS_FUZZ_HARNESS_H

/// \file
/// A test harness that drives a router with random events and checks each of
/// its actions against an independent model.

#include "router_fixture.h"

#include <map>
#include <ostream>
#include <set>

namespace filbertspring::routing::routing_test {

/// The kind of event or time change of one step.
enum class StepKind {
  Arrive,
  AdvanceTime,
  EndAttempt,
  EndAttempts,
  CallerDisconnects,
  EndpointList,
  PeerReport,
  Zone,
  Share,
  Contracts,
  Drain
};

inline constexpr int StepKindCount = 11;

/// One step. The meaning of the random arguments depends on the kind.
struct Step {
  StepKind Kind_ = StepKind::AdvanceTime;
  std::uint32_t A_ = 0;
  std::uint32_t B_ = 0;
  std::uint32_t C_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const Step &CurrentStep);

/// Runs steps and keeps the first violated invariant in FirstViolation_.
class FuzzHarness {
public:
  FuzzHarness(std::uint64_t Seed, EndpointPolicy Policy);

  void run(const Step &CurrentStep);
  /// Advances time past all deadlines, ends the remaining attempts, and checks
  /// that every request was answered once and no state is left.
  void finish();

  std::string FirstViolation_;
  /// Number of answers by outcome.
  std::map<RequestOutcome, int> Outcomes_;

private:
  struct AttemptRecord {
    EndpointName Endpoint_;
    bool Active_ = true;
    AttemptResult Result_ = AttemptResult::ConnectionLost;
    TimePoint SentAt_;
  };
  struct RequestRecord {
    ContractName Contract_;
    bool Idempotent_ = true;
    TimePoint Deadline_;
    int Answers_ = 0;
    std::vector<AttemptRecord> Attempts_;
    /// Returns whether the request must hold a concurrency permit at \p Now.
    bool holdsPermit(TimePoint Now) const;
    bool mayHaveRun() const;
    bool active() const;
  };

  void handle(const RoutingEvent &Event);
  void advanceTime(Duration Time);
  void check(const RoutingAction &Action);
  void checkSend(const SendAttempt &Sent);
  void checkDrop(const DropConnections &Drop);
  void checkAnswer(const AnswerCaller &Answer);
  void expect(bool Holds, const std::string &Rule);
  void endAttempt(std::uint32_t AttemptDraw, std::uint32_t ResultDraw,
                  std::uint32_t Load);
  void arrive(const Step &CurrentStep);
  void list(const Step &CurrentStep);
  void changeShare(const ContractName &Name, std::int32_t Permille);
  void changeContracts(std::uint32_t Mask);
  std::int64_t permitsInUse(const ContractName &Name) const;
  std::int64_t concurrencyLimit(const ContractName &Name) const;
  void recordLeaving(const EndpointName &Name);

  RouterFixture Fixture_;
  std::map<std::uint64_t, RequestRecord> Requests_;
  std::uint64_t NextTicket_ = 1;
  /// Model of the state that the router has received.
  std::map<EndpointName, ListedInstance> Listed_;
  std::set<EndpointName> Leaving_;
  std::set<ZoneName> ZonesOut_;
  std::map<ContractName, Contract> Contracts_;
  std::map<ContractName, std::int32_t> Shares_;
  /// Upper bound of the admissions that the rate limit still allows, by
  /// contract.
  std::map<ContractName, double> TokenBalance_;
  std::set<ContractName> InitialTokenGranted_;
  TimePoint AccruedAt_;
  bool Draining_ = false;
  /// The AttemptEnded event that the router is handling, or null.
  const AttemptEnded *CurrentEnd_ = nullptr;
};

} // namespace filbertspring::routing::routing_test

#endif // FILBERTSPRING_ROUTING_TESTS_FUZZ_HARNESS_H
