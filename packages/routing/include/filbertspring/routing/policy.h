#ifndef FILBERTSPRING_ROUTING_POLICY_H
#define FILBERTSPRING_ROUTING_POLICY_H

/// \file
/// The policies that choose among the endpoints with free capacity.

#include <cstdint>
#include <variant>

namespace filbertspring::routing {

/// Chooses a random endpoint with equal probability. A baseline for benchmarks.
struct RandomPolicy {};

/// Chooses endpoints in cyclic order. A baseline for benchmarks.
struct RoundRobinPolicy {
  /// False also sends to endpoints whose slots this router has already filled,
  /// like a load balancer without load information.
  bool BoundedBySlots_ = true;
};

/// Chooses the endpoint with the fewest active attempts of this router. A
/// baseline for benchmarks.
struct LeastInFlightPolicy {};

/// Chooses the random candidate with the lowest predicted latency, known as
/// power of d choices.
struct SampledPolicy {
  /// Number of candidates drawn for each decision.
  std::int32_t Samples_ = 3;
};

/// The policy of a router.
using EndpointPolicy = std::variant<SampledPolicy, RandomPolicy,
                                    RoundRobinPolicy, LeastInFlightPolicy>;

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_POLICY_H
