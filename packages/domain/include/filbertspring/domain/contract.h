#ifndef FILBERTSPRING_DOMAIN_CONTRACT_H
#define FILBERTSPRING_DOMAIN_CONTRACT_H

/// \file
/// The contract of one customer. Every limit that the system enforces is a
/// field of a contract or is derived from one.

#include "filbertspring/base/finding.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/quantity.h"
#include "filbertspring/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace filbertspring {

/// The terms of one latency-critical service.
struct ServiceTerms {
  ServiceName Name_;
  /// A request counts as good when it is answered within this time.
  Duration LatencyTarget_{};
  /// The fraction of requests that must be good, above 0 and below 1.
  double Objective_ = 0.0;
  /// Maximum number of requests accepted per second, over all instances.
  std::int64_t RatePerSecond_ = 0;
  /// Maximum number of requests in flight, over all instances.
  std::int64_t Concurrency_ = 0;
  /// Maximum time that a request may take; callers may request a shorter one.
  Duration Deadline_{};
  /// Whether a request may run more than once unless its caller specifies
  /// otherwise.
  bool Idempotent_ = true;
};

/// The terms of one kind of batch work.
struct BatchKindTerms {
  BatchKindName Name_;
  /// Whether waiting tasks are placed before those of other kinds.
  bool Urgent_ = false;
  /// The total number of attempts of a task that fails by itself; evicted and
  /// lost attempts do not count.
  std::int32_t MaxAttempts_ = 1;
  /// The run time of one task as its owner declares it.
  Duration DeclaredRunTime_{};
};

/// The terms of all batch work of a contract.
struct BatchTerms {
  /// Maximum resources committed at the same time, over all availability zones.
  Resources Quota_;
  /// Maximum number of waiting tasks.
  std::int64_t MaxWaitingTasks_ = 0;
  std::vector<BatchKindTerms> Kinds_;
};

/// The terms of long-lived condition watches.
struct WatchTerms {
  /// Maximum number of open watches.
  std::int64_t MaxOpen_ = 0;
  /// Maximum time that a watch may stay open.
  Duration MaxDuration_{};
};

/// The contract of one customer.
struct Contract {
  ContractName Name_;
  TeamName Team_;
  /// Share of contended capacity relative to other contracts, 1 to 1000.
  std::int32_t Weight_ = 1;
  /// Availability zones that may hold its work; empty means all.
  std::vector<ZoneName> Zones_;
  std::vector<ServiceTerms> Services_;
  std::optional<BatchTerms> Batch_;
  std::optional<WatchTerms> Watches_;

  /// Returns the terms of \p Service, or null. The contract owns them.
  const ServiceTerms *findService(const ServiceName &Service) const;
  /// Returns the terms of \p Kind, or null. The contract owns them.
  const BatchKindTerms *findKind(const BatchKindName &Kind) const;
  /// Returns true when work of this contract may run in \p Zone.
  bool allowsZone(const ZoneName &Zone) const;
};

/// The smallest limits that can be divided between entry instances.
inline constexpr std::int64_t MinServiceRate = 1;
inline constexpr std::int64_t MinServiceConcurrency = 8;
inline constexpr std::int32_t MaxContractWeight = 1000;
inline constexpr std::int32_t MaxTaskAttempts = 100;
inline constexpr Duration MaxRequestDeadline = std::chrono::minutes(5);

/// Adds a finding to \p Report for each rule that \p Terms violates. Places are
/// JSON pointers into a contract document. Zones are not checked when
/// \p KnownZones is empty.
void checkContract(const Contract &Terms,
                   const std::vector<ZoneName> &KnownZones, Findings &Report);

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_CONTRACT_H
