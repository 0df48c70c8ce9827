#ifndef FILBERTSPRING_ROUTING_POLICY_H
#define FILBERTSPRING_ROUTING_POLICY_H

/// \file
/// The policies that choose an endpoint among those that have room.

#include <cstdint>
#include <variant>

namespace filbertspring::routing {

/// Any endpoint with equal probability. A baseline.
struct RandomPolicy {};

/// One endpoint after the other. A baseline.
struct RoundRobinPolicy {
  /// False sends also to endpoints whose slots this router has filled already,
  /// as a balancer does that knows nothing of load.
  bool BoundedBySlots_ = true;
};

/// The endpoint with the fewest attempts of this router. A baseline.
struct LeastInFlightPolicy {};

/// The best of a few random candidates, by predicted latency.
struct SampledPolicy {
  /// Candidates drawn for each decision.
  std::int32_t Samples_ = 3;
};

/// The policy of a router.
using EndpointPolicy = std::variant<SampledPolicy, RandomPolicy,
                                    RoundRobinPolicy, LeastInFlightPolicy>;

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_POLICY_H
