#ifndef FILBERTSPRING_REPORT_BURN_COUNTER_H
#define FILBERTSPRING_REPORT_BURN_COUNTER_H

/// \file
/// Counts good and bad requests of one entry instance by minute.

#include "filbertspring/base/id.h"
#include "filbertspring/base/result.h"
#include "filbertspring/domain/burn.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace filbertspring {

/// One request that has ended, as the burn report sees it.
struct BurnSample {
  ContractName Contract_;
  ServiceName Service_;
  ZoneName Zone_;
  /// Why the request was bad; empty for a good one.
  std::optional<BurnCause> Cause_;
};

/// Counts requests in hour records that the instance stores in the table.
/// Not thread-safe. A count costs a logarithm of the services and zones.
class BurnCounter {
public:
  explicit BurnCounter(InstanceName Instance);
  ~BurnCounter();
  BurnCounter(BurnCounter &&) noexcept;
  BurnCounter &operator=(BurnCounter &&) noexcept;

  /// Counts \p Sample in \p Minute (minutes since 1970) and marks the minute
  /// as observed.
  void count(const BurnSample &Sample, std::int64_t Minute);

  /// Marks \p Minute as observed, also when no request came.
  void observe(std::int64_t Minute);

  /// Adds what an earlier process of the same instance stored for an hour.
  /// Errors: InvalidInput when the record belongs to another instance;
  /// Duplicate when a record of that hour was restored before.
  Status restore(const BurnHourRecord &Stored);

  /// Returns the record of each hour that is not forgotten, oldest first. Its
  /// minutes are ordered by minute, contract, service and zone.
  std::vector<BurnHourRecord> records() const;

  /// Drops the hours before \p Hour (hours since 1970). Later counts for them
  /// are ignored, so that a stored record is never replaced by a smaller one.
  void eraseHoursBefore(std::int64_t Hour);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_REPORT_BURN_COUNTER_H
