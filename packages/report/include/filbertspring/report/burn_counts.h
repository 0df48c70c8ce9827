#ifndef FILBERTSPRING_REPORT_BURN_COUNTS_H
#define FILBERTSPRING_REPORT_BURN_COUNTS_H

/// \file
/// The answer to GET /v1/admin/burn: the counts a burn report is made of.

#include "filbertspring/base/result.h"
#include "filbertspring/domain/burn.h"
#include "filbertspring/domain/contract.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring {

/// Stored counts of all instances, and the contracts they belong to.
struct BurnCounts {
  /// Time of day, in milliseconds since 1970.
  std::int64_t NowMs_ = 0;
  std::vector<BurnHourRecord> Records_;
  std::vector<Contract> Contracts_;
};

/// Returns \p Counts as JSON, without the minutes that lie \p WindowMs or
/// more before NowMs_. Counts of the same minute, contract, service and zone
/// are added up over the instances.
std::string writeBurnCounts(const BurnCounts &Counts, std::int64_t WindowMs);

/// Reads what writeBurnCounts() wrote. All counts are in one record without
/// an instance; the other records carry the observed minutes. Errors:
/// InvalidJson; InvalidInput for missing or wrong fields.
Result<BurnCounts> parseBurnCounts(std::string_view Text);

} // namespace filbertspring

#endif // FILBERTSPRING_REPORT_BURN_COUNTS_H
