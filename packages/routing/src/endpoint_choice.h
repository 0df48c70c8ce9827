#ifndef FILBERTSPRING_ROUTING_SRC_ENDPOINT_CHOICE_H
#define FILBERTSPRING_ROUTING_SRC_ENDPOINT_CHOICE_H

/// \file
/// Selection of an endpoint for one attempt.

#include "endpoint_table.h"
#include "filbertspring/routing/config.h"

#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <utility>
#include <vector>

namespace filbertspring::routing {

/// The criteria by which the endpoint of one attempt is selected.
struct EndpointQuery {
  const Contract &Terms_;
  const ServiceName &Service_;
  /// Whether to prefer an endpoint on probation, which needs a probe request.
  bool PreferProbation_ = true;
  /// Endpoints of earlier attempts of the same request.
  const std::vector<EndpointId> &TriedEndpoints_;
  /// The extra latency up to which an endpoint is preferable to waiting for a
  /// better one.
  Duration MaxExtraLatency_{};
};

/// Selects endpoints according to the configured policy.
class EndpointChooser {
public:
  EndpointChooser(const RouterConfig &Config, const EndpointTable &Table,
                  std::uint64_t Seed);

  /// Returns an endpoint for \p Query, or std::nullopt when waiting is
  /// preferable. Takes time independent of the number of endpoints with
  /// SampledPolicy and RandomPolicy, and linear time with the other policies.
  std::optional<EndpointId> choose(const EndpointQuery &Query, TimePoint Now);

private:
  /// An endpoint and its predicted latency.
  struct Candidate {
    EndpointId Id_ = 0;
    /// Predicted latency above the mean latency of the service, in
    /// microseconds.
    double ExtraUs_ = 0.0;
    /// Rank among sampled candidates; the lowest score wins.
    double Score_ = 0.0;
  };

  std::optional<EndpointId> findOnProbation(const ServicePool &Pool,
                                            const EndpointQuery &Query) const;
  std::optional<Candidate> bestLocal(const ServicePool &Pool,
                                     const EndpointQuery &Query, TimePoint Now);
  std::optional<Candidate> bestRemote(const ServicePool &Pool,
                                      const EndpointQuery &Query,
                                      TimePoint Now);
  std::optional<Candidate> pick(const std::vector<EndpointId> &List,
                                const ServicePool &Pool,
                                const EndpointQuery &Query, TimePoint Now);
  Candidate evaluate(EndpointId Id, const ServicePool &Pool,
                     TimePoint Now) const;
  double baselineExtraUs(const ServicePool &Pool,
                         const EndpointQuery &Query) const;

  std::optional<EndpointId> drawRandom(const std::vector<EndpointId> &List,
                                       const EndpointQuery &Query);
  std::optional<EndpointId> nextRoundRobin(const std::vector<EndpointId> &List,
                                           const EndpointQuery &Query);
  std::optional<EndpointId> leastInFlight(const std::vector<EndpointId> &List,
                                          const EndpointQuery &Query);
  std::uint32_t randomBelow(std::size_t Bound);

  const RouterConfig &Config_;
  const EndpointTable &Table_;
  pcg32 Random_;
  /// The endpoint last chosen by RoundRobinPolicy, for each service and zone.
  std::map<std::pair<ServiceName, ZoneName>, EndpointId> LastRoundRobin_;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_SRC_ENDPOINT_CHOICE_H
