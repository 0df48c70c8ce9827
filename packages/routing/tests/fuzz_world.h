#ifndef FILBERTSPRING_ROUTING_TESTS_FUZZ_WORLD_H
#define FILBERTSPRING_ROUTING_TESTS_FUZZ_WORLD_H

/// \file
/// A router in a hostile environment, and an oracle that checks each action.

#include "router_fixture.h"

#include <map>
#include <ostream>
#include <set>

namespace filbertspring::routing::routing_test {

/// What the environment does in one step.
enum class StepKind {
  Arrive,
  Pass,
  EndOne,
  EndMany,
  CallerLeaves,
  List,
  PeerReport,
  Zone,
  Share,
  Contracts,
  Drain
};

inline constexpr int StepKindCount = 11;

/// One step; the numbers mean what its kind makes of them.
struct Step {
  StepKind Kind_ = StepKind::Pass;
  std::uint32_t A_ = 0;
  std::uint32_t B_ = 0;
  std::uint32_t C_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const Step &Item);

/// Runs steps. Breaks of a rule are kept in Problem_, the first one only.
class FuzzWorld {
public:
  FuzzWorld(std::uint64_t Seed, EndpointPolicy Policy);

  void run(const Step &Item);
  /// Passes the time until everything must be over, and checks that it is.
  void finish();

  std::string Problem_;
  /// How often each kind of outcome was seen.
  std::map<RequestOutcome, int> Outcomes_;

private:
  struct Try {
    EndpointName Endpoint_;
    bool Active_ = true;
    AttemptResult Result_ = AttemptResult::ConnectionLost;
    TimePoint SentAt_;
  };
  struct Ticket {
    ContractName Contract_;
    bool Idempotent_ = true;
    TimePoint Deadline_;
    int Answers_ = 0;
    std::vector<Try> Tries_;
    /// Oracle of the unit of concurrency.
    bool holds(TimePoint Now) const;
    bool mayHaveRun() const;
    bool active() const;
  };

  void tell(const RoutingEvent &Event);
  void pass(Duration Time);
  void check(const RoutingAction &Action);
  void checkSend(const SendAttempt &Sent);
  void checkDrop(const DropConnections &Drop);
  void checkAnswer(const AnswerCaller &Answer);
  void expect(bool Holds, const std::string &Rule);
  void endOne(std::uint32_t Which, std::uint32_t How, std::uint32_t Load);
  void arrive(const Step &Item);
  void list(const Step &Item);
  void changeShare(const ContractName &Name, std::int32_t Permille);
  void changeContracts(std::uint32_t Mask);
  std::int64_t held(const ContractName &Name) const;
  std::int64_t limitOf(const ContractName &Name) const;
  void knowLeaving(const EndpointName &Name);

  RouterFixture Fixture_;
  std::map<std::uint64_t, Ticket> Tickets_;
  std::uint64_t NextTicket_ = 1;
  /// What the router has been told.
  std::map<EndpointName, ListedInstance> Listed_;
  std::set<EndpointName> Leaving_;
  std::set<ZoneName> ZonesOut_;
  std::map<ContractName, Contract> Contracts_;
  std::map<ContractName, std::int32_t> Shares_;
  /// Admissions, and the most that the rate allows, by contract.
  std::map<ContractName, double> Allowance_;
  std::set<ContractName> Started_;
  TimePoint AccruedAt_;
  bool Draining_ = false;
  /// The result that the router is being told, while it is told one.
  const AttemptEnded *Ending_ = nullptr;
};

} // namespace filbertspring::routing::routing_test

#endif // FILBERTSPRING_ROUTING_TESTS_FUZZ_WORLD_H
