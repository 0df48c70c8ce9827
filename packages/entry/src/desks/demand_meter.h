#ifndef FILBERTSPRING_ENTRY_DESKS_DEMAND_METER_H
#define FILBERTSPRING_ENTRY_DESKS_DEMAND_METER_H

/// \file
/// Measures how much of each contract's limits this instance's callers use.

#include "filbertspring/base/id.h"
#include "filbertspring/domain/contract.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>
#include <utility>

namespace filbertspring {

/// The use of one contract's limits, in permille of the largest used limit.
struct DemandSample {
  /// What arrived since the last sample, as a rate.
  std::int32_t Demand_ = 0;
  /// What is in flight now.
  std::int32_t InUse_ = 0;
};

/// Counts arrivals and requests in flight by service. Thread-safe.
class DemandMeter {
public:
  void arrived(const ContractName &Contract, const ServiceName &Service) {
    std::scoped_lock Lock(Mutex_);
    Use &Entry = Uses_[{Contract, Service}];
    ++Entry.Arrivals_;
    ++Entry.InFlight_;
  }

  void ended(const ContractName &Contract, const ServiceName &Service) {
    std::scoped_lock Lock(Mutex_);
    --Uses_[{Contract, Service}].InFlight_;
  }

  /// Returns the use of \p Terms over the \p Seconds since the last sample,
  /// and starts the next one.
  DemandSample sample(const Contract &Terms, double Seconds) {
    constexpr double Permille = 1000.0;
    std::scoped_lock Lock(Mutex_);
    DemandSample Sample;
    for (const ServiceTerms &Service : Terms.Services_) {
      Use &Entry = Uses_[{Terms.Name_, Service.Name_}];
      double Rate = static_cast<double>(Entry.Arrivals_) / Seconds /
                    static_cast<double>(Service.RatePerSecond_);
      double InUse = static_cast<double>(Entry.InFlight_) /
                     static_cast<double>(Service.Concurrency_);
      Entry.Arrivals_ = 0;
      Sample.Demand_ =
          std::max(Sample.Demand_,
                   static_cast<std::int32_t>(std::max(Rate, InUse) * Permille));
      Sample.InUse_ =
          std::max(Sample.InUse_, static_cast<std::int32_t>(InUse * Permille));
    }
    return Sample;
  }

private:
  struct Use {
    std::int64_t Arrivals_ = 0;
    std::int64_t InFlight_ = 0;
  };

  std::mutex Mutex_;
  std::map<std::pair<ContractName, ServiceName>, Use> Uses_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_DEMAND_METER_H
