#ifndef FILBERTSPRING_REPORT_BURN_COUNTS_H
#define FILBERTSPRING_REPORT_BURN_COUNTS_H

/// \file
/// The answer to GET /v1/admin/burn: the request counts from which a burn
/// report is computed.

#include "filbertspring/base/result.h"
#include "filbertspring/domain/burn.h"
#include "filbertspring/domain/contract.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring {

/// Stored request counts of all instances, and the contracts to which the
/// counted services belong.
struct BurnCounts {
  /// Wall-clock time of the snapshot, in milliseconds since the Unix epoch.
  std::int64_t NowMs_ = 0;
  std::vector<BurnHourRecord> Records_;
  std::vector<Contract> Contracts_;
};

/// Returns \p Counts as JSON, without the minutes that are at least \p WindowMs
/// older than NowMs_. Counts of the same minute, contract, service and
/// zone are summed over the instances.
std::string writeBurnCounts(const BurnCounts &Counts, std::int64_t WindowMs);

/// Parses the output of writeBurnCounts(). The last record has no instance
/// name and holds all counts; the other records hold only the minutes that
/// each instance observed. Errors: InvalidJson; InvalidInput for missing or
/// invalid fields.
Result<BurnCounts> parseBurnCounts(std::string_view Text);

} // namespace filbertspring

#endif // FILBERTSPRING_REPORT_BURN_COUNTS_H
