#ifndef FILBERTSPRING_ROUTING_CONFIG_H
#define FILBERTSPRING_ROUTING_CONFIG_H

/// \file
/// The settings of a router.

#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"
#include "filbertspring/routing/policy.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace filbertspring::routing {

/// Settings of retries and hedges.
struct RetryConfig {
  /// Retries and hedges allowed for each completed request of a contract.
  double BudgetFraction_ = 0.1;
  /// The most retries and hedges that a contract can save up.
  double MaxSavedRetries_ = 10.0;
  /// False lifts the budget: a baseline.
  bool BudgetEnforced_ = true;
  /// Attempts of one request that its endpoints did not refuse.
  std::int32_t MaxAttempts_ = 4;
  /// Attempts of one request that its endpoints refused.
  std::int32_t MaxRefusals_ = 16;
  /// A hedge is sent when the attempt took this many times the usual time,
  double HedgeAfterFactor_ = 2.0;
  /// or this many while the endpoints are loaded above MaxHedgeLoad_.
  double OverdueFactor_ = 4.0;
  /// Neither of them sooner than this after the attempt was sent.
  Duration MinHedgeDelay_ = std::chrono::milliseconds(1);
  /// Requests held by the endpoints of the service as a fraction of their
  /// slots.
  double MaxHedgeLoad_ = 0.88;
  bool HedgingEnabled_ = true;
};

/// Settings of the health of endpoints.
struct HealthConfig {
  /// Failures in a row that make an endpoint suspect.
  std::int32_t SuspectAfterFailures_ = 2;
  /// Time until a suspect endpoint gets one request; doubles with each
  /// failure of that request, up to MaxSuspectTime_.
  Duration SuspectTime_ = std::chrono::milliseconds(500);
  Duration MaxSuspectTime_ = std::chrono::seconds(2);
  /// Idle connections are not used for non-idempotent requests when the
  /// endpoint has answered nothing for this long.
  Duration MaxIdleTime_ = std::chrono::seconds(5);
  /// A busy endpoint is tried again after this time without news of it.
  Duration BusyBackoff_ = std::chrono::milliseconds(5);
  /// How long what is known of an unlisted endpoint is kept, since lists that
  /// lag may show it again.
  Duration UnlistedRetention_ = std::chrono::seconds(60);
};

/// Settings of a router.
struct RouterConfig {
  /// The availability zone of this instance.
  ZoneName Zone_;
  EndpointPolicy Policy_;
  /// Expected extra round-trip time to an endpoint of another zone.
  Duration InterZoneRoundTrip_ = std::chrono::milliseconds(8);
  /// Tokens of this much time can be saved up for a burst.
  Duration BurstTime_ = std::chrono::milliseconds(100);
  /// Requests that may wait, for each service of a contract.
  std::size_t MaxQueued_ = 4096;
  /// False keeps requests queued that will miss their deadline: a baseline.
  bool EarlyShedding_ = true;
  /// The part of the time to its deadline that a request may be predicted to
  /// wait when it is admitted.
  double MaxWaitFraction_ = 0.5;
  /// Time after the deadline at which a request is answered even when an
  /// attempt has not ended.
  Duration AnswerGrace_ = std::chrono::milliseconds(50);
  RetryConfig Retry_;
  HealthConfig Health_;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_CONFIG_H
