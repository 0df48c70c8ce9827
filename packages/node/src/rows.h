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
/// What owners learned of interference between images.
inline constexpr const char *ModelTable = "models";
inline constexpr const char *ModelKey = "interference";
/// The owner of the cell and its status.
inline constexpr const char *CellTable = "cells";
inline constexpr const char *OwnerKey = "owner";
inline constexpr const char *StatusKey = "status";
/// Followed by an instance's name: what it announces.
inline constexpr std::string_view InstancePrefix = "instance.";

/// Callers' rows are spread over this many partitions: the store takes the
/// transactions of one partition one after another, and a store that is sixty
/// times slower than usual still takes two in a second from each.
inline constexpr unsigned JobPartitionCount = 16;
/// Returns the name of job partition \p Number.
std::string jobPartition(unsigned Number);
/// Returns the partition of the rows of \p Job.
std::string partitionOfJob(std::string_view Job);
/// The partition of the rows that only the owner writes: each of its
/// transactions names the version of the owner's row.
inline constexpr const char *CellPartition = "cell";

scheduling::RowKey jobKey(const std::string &Job);
scheduling::RowKey cancellationKey(const std::string &Job);
scheduling::RowKey progressKey(const std::string &Job);
scheduling::RowKey knownWorkerKey(const std::string &Worker);
scheduling::RowKey ownerKey();
scheduling::RowKey statusKey();
scheduling::RowKey modelKey();
scheduling::RowKey instanceKey(const std::string &Instance);
/// Returns the job that the key of a cancellation names, or nothing.
std::optional<std::string> cancelledJobFromKey(std::string_view Key);

/// What an instance announces to the others.
struct Announcement {
  /// "IP:PORT" at which others reach it.
  std::string PeerAddress_;
  /// Processors, in cores.
  double CapacityCores_ = 0;
  friend bool operator==(const Announcement &, const Announcement &) = default;
};

std::string encodeAnnouncement(const Announcement &Announced);
/// Errc::InvalidJson for a row of another form.
Result<Announcement> decodeAnnouncement(std::string_view Text);

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

/// What an owner tells all instances about the cell.
struct CellStatus {
  /// The tenure whose owner counted.
  std::uint64_t Tenure_ = 0;
  /// Accepted jobs without a started task, for each queue.
  std::map<std::string, std::uint64_t> Pending_;
};

std::string encodeStatus(const CellStatus &Status);
/// An unreadable text has no counts.
CellStatus decodeStatus(std::string_view Text);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_ROWS_H
