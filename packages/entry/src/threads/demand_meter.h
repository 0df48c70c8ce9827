#ifndef FILBERTSPRING_ENTRY_THREADS_DEMAND_METER_H
#define FILBERTSPRING_ENTRY_THREADS_DEMAND_METER_H

/// \file
/// Measures how much of each contract's limits the callers of this instance
/// use.

#include "filbertspring/base/id.h"
#include "filbertspring/domain/contract.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>
#include <utility>

namespace filbertspring {

/// The use of one contract's limits, in permille of the limit that is used
/// most.
struct DemandSample {
  /// The larger of the arrival rate since the last sample and InUse_, each in
  /// permille of its limit.
  std::int32_t Demand_ = 0;
  /// The requests in flight now.
  std::int32_t InUse_ = 0;
};

/// Counts arrivals and requests in flight by service. Thread-safe.
class DemandMeter {
public:
  void recordArrival(const ContractName &Contract, const ServiceName &Service) {
    std::scoped_lock Lock(Mutex_);
    ServiceUse &Usage = UsageByService_[{Contract, Service}];
    ++Usage.Arrivals_;
    ++Usage.InFlight_;
  }

  void recordEnd(const ContractName &Contract, const ServiceName &Service) {
    std::scoped_lock Lock(Mutex_);
    --UsageByService_[{Contract, Service}].InFlight_;
  }

  /// Returns the use of \p Terms over the \p Seconds since the last sample,
  /// and resets the arrival counts.
  DemandSample sample(const Contract &Terms, double Seconds) {
    constexpr double Permille = 1000.0;
    std::scoped_lock Lock(Mutex_);
    DemandSample Sample;
    for (const ServiceTerms &Service : Terms.Services_) {
      ServiceUse &Usage = UsageByService_[{Terms.Name_, Service.Name_}];
      double Rate = static_cast<double>(Usage.Arrivals_) / Seconds /
                    static_cast<double>(Service.RatePerSecond_);
      double InUse = static_cast<double>(Usage.InFlight_) /
                     static_cast<double>(Service.Concurrency_);
      Usage.Arrivals_ = 0;
      Sample.Demand_ =
          std::max(Sample.Demand_,
                   static_cast<std::int32_t>(std::max(Rate, InUse) * Permille));
      Sample.InUse_ =
          std::max(Sample.InUse_, static_cast<std::int32_t>(InUse * Permille));
    }
    return Sample;
  }

private:
  struct ServiceUse {
    std::int64_t Arrivals_ = 0;
    std::int64_t InFlight_ = 0;
  };

  std::mutex Mutex_;
  std::map<std::pair<ContractName, ServiceName>, ServiceUse> UsageByService_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_DEMAND_METER_H
