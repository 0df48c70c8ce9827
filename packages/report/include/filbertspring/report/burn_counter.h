#ifndef FILBERTSPRING_REPORT_BURN_COUNTER_H
#define FILBERTSPRING_REPORT_BURN_COUNTER_H

/// \file
/// Counts the good and bad requests of one entry instance for each minute.

#include "filbertspring/base/id.h"
#include "filbertspring/base/result.h"
#include "filbertspring/domain/burn.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace filbertspring {

/// The properties of a completed request that the burn report counts.
struct BurnSample {
  ContractName Contract_;
  ServiceName Service_;
  ZoneName Zone_;
  /// Why the request was bad; empty for a good one.
  std::optional<BurnCause> Cause_;
};

/// Counts requests in records of one hour each, which the instance writes to
/// the table. Not thread-safe. count() takes logarithmic time in the number of
/// services and zones.
class BurnCounter {
public:
  explicit BurnCounter(InstanceName Instance);
  ~BurnCounter();
  BurnCounter(BurnCounter &&) noexcept;
  BurnCounter &operator=(BurnCounter &&) noexcept;

  /// Counts \p Sample in \p Minute (minutes since the Unix epoch) and marks
  /// the minute as observed.
  void count(const BurnSample &Sample, std::int64_t Minute);

  /// Marks \p Minute as observed, so that a minute without requests is
  /// distinguished from one that was not observed.
  void observe(std::int64_t Minute);

  /// Adds the counts that an earlier process of the same instance stored for
  /// an hour. Ignores hours that were erased. Errors: InvalidInput when the
  /// record belongs to another instance or has counts that are negative or
  /// outside its hour; Duplicate when a record of that hour was restored
  /// before.
  Status restore(const BurnHourRecord &Stored);

  /// Returns the record of each hour that is not erased, oldest first. The
  /// counts in a record are ordered by minute, contract, service and zone.
  std::vector<BurnHourRecord> records() const;

  /// Erases the counts of the hours before \p Hour (hours since the Unix
  /// epoch). Later counts for these hours are ignored, so that a stored record
  /// is never replaced by one with smaller counts.
  void eraseHoursBefore(std::int64_t Hour);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_REPORT_BURN_COUNTER_H
