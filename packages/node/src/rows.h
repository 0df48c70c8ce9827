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
/// Progress, under the job's id; written by the cell's owner only.
inline constexpr const char *ProgressTable = "progress";
/// Workers that may run a cell's tasks, under the worker's id.
inline constexpr const char *KnownWorkerTable = "workers";
/// The owners of cells and their status.
inline constexpr const char *CellTable = "cells";
inline constexpr const char *OwnerKey = "owner";
inline constexpr const char *StatusKey = "status";

/// The partition of all acceptances: an id is accepted once, whatever its
/// cell.
inline constexpr const char *JobPartition = "jobs";
/// The partition of the rows that only the owner of \p Cell writes.
std::string cellPartition(const std::string &Cell);
/// Returns the cell of a partition, or nothing for any other text.
std::optional<std::string> cellOf(std::string_view Partition);

scheduling::RowKey jobKey(const std::string &Job);
scheduling::RowKey cancelKey(const std::string &Job);
scheduling::RowKey progressKey(const std::string &Cell, const std::string &Job);
scheduling::RowKey knownWorkerKey(const std::string &Cell,
                                  const std::string &Worker);
scheduling::RowKey ownerKey(const std::string &Cell);
scheduling::RowKey statusKey(const std::string &Cell);
/// Returns the job that the key of a cancellation names, or nothing.
std::optional<std::string> cancelledJobOf(std::string_view Key);

/// The stored form of an acceptance.
struct StoredAcceptance {
  std::string Cell_;
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

/// Returns the cell of an acceptance or a cancellation without reading it
/// whole; empty for a row of another form.
std::string_view storedCell(std::string_view Text);
/// Returns the stored form of a cancellation of a job of \p Cell.
std::string encodeCancellation(const std::string &Cell);

/// What an owner tells all instances about its cell.
struct CellStatus {
  /// Accepted jobs without a started task, for each queue.
  std::map<std::string, std::uint64_t> Pending_;
  std::uint64_t WaitingTasks_ = 0;
  std::uint64_t ReachableWorkers_ = 0;
};

std::string encodeStatus(const CellStatus &Status);
/// An unreadable text has no counts.
CellStatus decodeStatus(std::string_view Text);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_ROWS_H
