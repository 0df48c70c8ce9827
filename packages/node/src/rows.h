#ifndef FILBERTSPRING_NODE_ROWS_H
#define FILBERTSPRING_NODE_ROWS_H

/// \file
/// The rows that instances keep in the store.

#include "filbertspring/base/result.h"
#include "filbertspring/scheduling/job.h"
#include "filbertspring/scheduling/row_store.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace filbertspring::node {

/// Acceptances, under the job's id, and cancellations.
inline constexpr const char *JobTable = "jobs";
/// Progress, under the job's id; written by the owner only.
inline constexpr const char *ProgressTable = "progress";
/// Workers that may run tasks, under the worker's id.
inline constexpr const char *KnownWorkerTable = "workers";
/// The owner of a cell and the counts of its queues.
inline constexpr const char *CellTable = "cells";
inline constexpr const char *OwnerKey = "owner";
inline constexpr const char *QueueCountsKey = "queues";

/// The partition of all rows of a cell.
inline constexpr const char *CellPartition = "cell-0";

scheduling::RowKey jobKey(const std::string &Job);
scheduling::RowKey cancelKey(const std::string &Job);
scheduling::RowKey progressKey(const std::string &Job);
scheduling::RowKey knownWorkerKey(const std::string &Worker);
scheduling::RowKey ownerKey();
scheduling::RowKey queueCountsKey();
/// Returns the job that the key of a cancellation names, or nothing.
std::optional<std::string> cancelledJobOf(std::string_view Key);

/// The stored form of an acceptance.
struct StoredAcceptance {
  std::string Queue_;
  std::string Service_;
  std::int64_t AcceptedMs_ = 0;
  /// The caller's body, as it was sent.
  std::string Body_;
};

std::string encodeAcceptance(const StoredAcceptance &Accepted);
/// Reads an acceptance whole; Errc::InvalidJson for a row of another form.
Result<scheduling::AcceptedJob> decodeAcceptance(std::string_view Job,
                                                 std::string_view Text);

std::string encodeCounts(const std::map<std::string, std::uint64_t> &Counts);
/// An unreadable text has no counts.
std::map<std::string, std::uint64_t> decodeCounts(std::string_view Text);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_ROWS_H
