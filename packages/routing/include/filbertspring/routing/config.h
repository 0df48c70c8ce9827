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

/// Settings of retries and hedges (duplicate attempts sent while an earlier one
/// is still active).
struct RetryConfig {
  /// Retries and hedges that each completed request of a contract adds to the
  /// contract's budget.
  double BudgetFraction_ = 0.1;
  /// Maximum number of retries and hedges in the budget of a contract.
  double MaxSavedRetries_ = 10.0;
  /// False disables the budget, as a baseline for benchmarks.
  bool BudgetEnforced_ = true;
  /// Maximum number of attempts of one request, not counting refused ones.
  std::int32_t MaxAttempts_ = 4;
  /// Maximum number of refused attempts of one request.
  std::int32_t MaxRefusals_ = 16;
  /// A hedge is sent when an attempt has taken this multiple of the mean
  /// latency and the load is at most MaxHedgeLoad_.
  double HedgeAfterFactor_ = 2.0;
  /// An attempt that has taken this multiple of the mean latency is overdue: a
  /// hedge is sent regardless of load, and its connection may be dead.
  double OverdueFactor_ = 4.0;
  /// Minimum delay from sending an attempt until it is hedged or overdue.
  Duration MinHedgeDelay_ = std::chrono::milliseconds(1);
  /// Load up to which hedges are sent after HedgeAfterFactor_: requests held by
  /// the healthy endpoints of the service as a fraction of their slots.
  double MaxHedgeLoad_ = 0.88;
  bool HedgingEnabled_ = true;
};

/// Settings of endpoint health tracking.
struct HealthConfig {
  /// Consecutive failures after which an endpoint is suspect.
  std::int32_t SuspectAfterFailures_ = 2;
  /// Time until a suspect endpoint receives one probe request; doubles with
  /// each failed probe, up to MaxSuspectTime_.
  Duration SuspectTime_ = std::chrono::milliseconds(500);
  Duration MaxSuspectTime_ = std::chrono::seconds(2);
  /// Non-idempotent requests do not reuse idle connections to an endpoint that
  /// has not answered for this time.
  Duration MaxIdleTime_ = std::chrono::seconds(5);
  /// Minimum time until an endpoint that refused a request as busy, or is full
  /// by the latest load report, is tried again without a newer report.
  Duration BusyBackoff_ = std::chrono::milliseconds(5);
  /// How long the state of an endpoint is kept after it disappears from the
  /// list. An outdated list may show it again.
  Duration UnlistedRetention_ = std::chrono::seconds(60);
};

/// Settings of a router.
struct RouterConfig {
  /// The availability zone of this instance.
  ZoneName Zone_;
  EndpointPolicy Policy_;
  /// Expected additional round-trip time to an endpoint in another zone.
  Duration InterZoneRoundTrip_ = std::chrono::milliseconds(8);
  /// Burst capacity of the rate limiters, as the time in which the rate refills
  /// it.
  Duration BurstTime_ = std::chrono::milliseconds(100);
  /// Maximum number of queued requests for each service of a contract.
  std::size_t MaxQueued_ = 4096;
  /// False keeps requests queued that are predicted to miss their deadline, as
  /// a baseline for benchmarks.
  bool EarlyShedding_ = true;
  /// A request is admitted only when its predicted wait is at most this
  /// fraction of the time to its deadline.
  double MaxWaitFraction_ = 0.5;
  /// Time after the deadline at which a request is answered even when one of
  /// its attempts is still active.
  Duration AnswerGrace_ = std::chrono::milliseconds(50);
  RetryConfig Retry_;
  HealthConfig Health_;
};

} // namespace filbertspring::routing

#endif // FILBERTSPRING_ROUTING_CONFIG_H
