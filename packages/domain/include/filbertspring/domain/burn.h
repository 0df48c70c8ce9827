#ifndef FILBERTSPRING_DOMAIN_BURN_H
#define FILBERTSPRING_DOMAIN_BURN_H

/// \file
/// Stored counts of good and bad requests, for the report on service-level
/// burn.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"

#include <array>
#include <cstdint>
#include <vector>

namespace filbertspring {

/// Why a request did not count as good.
enum class BurnCause { Slow, Shed, EndpointFailed, OutcomeUnknown, NoEndpoint };

inline constexpr std::size_t BurnCauseCount = 5;

inline constexpr EnumTable<BurnCause, BurnCauseCount> BurnCauseNames{
    {{BurnCause::Slow, "slow"},
     {BurnCause::Shed, "shed"},
     {BurnCause::EndpointFailed, "endpoint-failed"},
     {BurnCause::OutcomeUnknown, "outcome-unknown"},
     {BurnCause::NoEndpoint, "no-endpoint"}}};

/// Counts of one minute, for one service of one contract in one zone.
struct BurnMinute {
  /// Minutes since 1970.
  std::int64_t Minute_ = 0;
  ContractName Contract_;
  ServiceName Service_;
  ZoneName Zone_;
  std::int64_t Good_ = 0;
  /// Bad requests by cause, in the order of BurnCause.
  std::array<std::int64_t, BurnCauseCount> Bad_{};
};

/// The request counts of one entry instance for one hour.
struct BurnHourRecord {
  InstanceName Instance_;
  /// Hours since 1970.
  std::int64_t Hour_ = 0;
  /// Minutes of the hour that the instance observed, as bits 0 to 59.
  std::uint64_t ObservedMinutes_ = 0;
  std::vector<BurnMinute> Minutes_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_DOMAIN_BURN_H
