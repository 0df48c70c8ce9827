#ifndef FILBERTSPRING_ROUTING_SRC_ENDPOINT_CHOICE_H
#define FILBERTSPRING_ROUTING_SRC_ENDPOINT_CHOICE_H

/// \file
/// The choice of an endpoint for one attempt.

#include "endpoint_table.h"
#include "filbertspring/routing/config.h"

#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <utility>
#include <vector>

namespace filbertspring::routing {

/// What an attempt asks of its endpoint.
struct ChoiceRequest {
  const Contract &Terms_;
  const ServiceName &Service_;
  /// Whether an endpoint on probation is to be tried first.
  bool Probe_ = true;
  /// Endpoints of earlier attempts of the same request.
  const std::vector<EndpointId> &Tried_;
  /// The extra latency that is worth accepting instead of waiting.
  Duration Patience_{};
};

/// Chooses endpoints by the configured policy.
class EndpointChooser {
public:
  EndpointChooser(const RouterConfig &Config, const EndpointTable &Table,
                  std::uint64_t Seed);

  /// Returns an endpoint for \p Wanted, or nothing when it is better to wait.
  /// Constant in the endpoints for SampledPolicy and RandomPolicy, linear for
  /// the other two.
  std::optional<EndpointId> choose(const ChoiceRequest &Wanted, TimePoint Now);

private:
  /// An endpoint and what it is predicted to cost.
  struct Candidate {
    EndpointId Id_ = 0;
    /// Predicted latency above the usual one, in microseconds.
    double Extra_ = 0.0;
    /// Lower is better.
    double Score_ = 0.0;
  };

  std::optional<EndpointId> onProbation(const ServicePool &Pool,
                                        const ChoiceRequest &Wanted) const;
  std::optional<Candidate> bestLocal(const ServicePool &Pool,
                                     const ChoiceRequest &Wanted,
                                     TimePoint Now);
  std::optional<Candidate> bestRemote(const ServicePool &Pool,
                                      const ChoiceRequest &Wanted,
                                      TimePoint Now);
  std::optional<Candidate> pick(const std::vector<EndpointId> &List,
                                const ServicePool &Pool,
                                const ChoiceRequest &Wanted, TimePoint Now);
  Candidate evaluate(EndpointId Id, const ServicePool &Pool,
                     TimePoint Now) const;
  double baseExtra(const ServicePool &Pool, const ChoiceRequest &Wanted) const;

  std::optional<EndpointId> drawRandom(const std::vector<EndpointId> &List,
                                       const ChoiceRequest &Wanted);
  std::optional<EndpointId> nextInTurn(const std::vector<EndpointId> &List,
                                       const ChoiceRequest &Wanted);
  std::optional<EndpointId> leastInFlight(const std::vector<EndpointId> &List,
                                          const ChoiceRequest &Wanted);
  std::uint32_t below(std::size_t Bound);

  const RouterConfig &Config_;
  const EndpointTable &Table_;
  pcg32 Random_;
  /// The last endpoint taken in turn, for each service and zone.
  std::map<std::pair<ServiceName, ZoneName>, EndpointId> LastInTurn_;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_ENDPOINT_CHOICE_H
