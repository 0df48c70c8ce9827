#ifndef FILBERTSPRING_NODE_ROWS_H
#define FILBERTSPRING_NODE_ROWS_H

/// \file
/// Keys and encodings of the rows that instances keep in the store.

#include "filbertspring/base/result.h"
#include "filbertspring/scheduling/job.h"
#include "filbertspring/scheduling/row_store.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace filbertspring::node {

/// Accepted jobs, with the job's id as key, and their cancellations.
inline constexpr const char *JobTable = "jobs";
/// Progress of jobs, with the job's id as key. Only the cell's owner writes it.
inline constexpr const char *ProgressTable = "progress";
/// Workers that may run tasks of the cell, with the worker's id as key.
inline constexpr const char *KnownWorkerTable = "workers";
/// The estimates of interference between images that owners have made.
inline constexpr const char *ModelTable = "models";
inline constexpr const char *ModelKey = "interference";
/// The owner and the status of the cell, and the announcements of instances.
inline constexpr const char *CellTable = "cells";
inline constexpr const char *OwnerKey = "owner";
inline constexpr const char *StatusKey = "status";
/// The prefix of an announcement's key; the instance's name follows.
inline constexpr std::string_view InstancePrefix = "instance.";

/// The number of partitions over which the rows of jobs are distributed. The
/// store executes the transactions of one partition one after another. Even if
/// it is sixty times slower than usual, it executes two per second in each.
inline constexpr unsigned JobPartitionCount = 16;
/// Returns the name of job partition \p Number.
std::string jobPartition(unsigned Number);
/// Returns the partition of the rows of \p Job, also of its cancellations
/// within workspaces.
std::string partitionOfJob(std::string_view Job);
/// The partition of the rows that only the owner writes. They share it with the
/// owner's row, because each of the owner's transactions is conditional on the
/// version of that row.
inline constexpr const char *CellPartition = "cell";

/// Returns a row to be written.
scheduling::Row makeRow(scheduling::RowKey Key, std::string Value);

scheduling::RowKey jobKey(const std::string &Job);
scheduling::RowKey cancellationKey(const std::string &Job);
/// Returns the key of a cancellation that binds only submissions by
/// \p Workspace (empty: by callers without one). It is stored if the workspace
/// cancels a job that it does not have, and does not affect a job that another
/// workspace submits under the same id.
scheduling::RowKey cancellationKeyWithin(const std::string &Workspace,
                                         const std::string &Job);
scheduling::RowKey progressKey(const std::string &Job);
/// Keys of journal rows are in the order of their numbers.
scheduling::RowKey journalKey(std::uint64_t Number);
/// Returns the number of a journal row, or nothing if \p Key is not that of
/// one.
std::optional<std::uint64_t> journalNumberFromKey(std::string_view Key);
scheduling::RowKey knownWorkerKey(const std::string &Worker);
scheduling::RowKey ownerKey();
scheduling::RowKey statusKey();
scheduling::RowKey modelKey();
scheduling::RowKey instanceKey(const std::string &Instance);
/// Returns the job that is cancelled by the row with key \p Key, or nothing if
/// the row is not a cancellation. The name of a cancellation within a workspace
/// is not the id of a job: the id and the scope, joined by a dot.
std::optional<std::string> cancelledJobFromKey(std::string_view Key);

/// The data that an instance publishes for the other instances.
struct Announcement {
  /// The address, as "IP:PORT", at which other instances reach it.
  std::string PeerAddress_;
  std::string Zone_;
  /// The processor capacity of the instance, in reference cores.
  double CapacityCores_ = 0;
  friend bool operator==(const Announcement &, const Announcement &) = default;
};

std::string encodeAnnouncement(const Announcement &Announced);
/// Returns Errc::InvalidJson if the text does not have the expected form.
Result<Announcement> decodeAnnouncement(std::string_view Text);

/// The stored row of an accepted job.
struct StoredAcceptance {
  std::string Queue_;
  std::string Service_;
  std::int64_t AcceptedMs_ = 0;
  /// The body of the caller's request, unchanged.
  std::string Body_;
  /// The workspace whose key was used; empty if none was. Not stored if it is
  /// empty, as in rows of earlier versions.
  std::string Workspace_ = {};
};

std::string encodeAcceptance(const StoredAcceptance &Accepted);
/// Decodes an accepted job including its specification. Returns
/// Errc::InvalidJson if the text does not have the expected form, and
/// Errc::InvalidInput if no caller can submit the job, though an earlier
/// version may have accepted it.
Result<scheduling::AcceptedJob> decodeAcceptance(std::string_view Job,
                                                 std::string_view Text);
/// Decodes the acceptance of a job that no caller can submit. One task takes
/// the place of its steps, so that nothing of its specification takes effect.
/// Returns Errc::InvalidJson if the text does not have the expected form.
Result<scheduling::AcceptedJob> decodeUnusableAcceptance(std::string_view Job,
                                                         std::string_view Text);
/// Returns only the workspace of an accepted job, or Errc::InvalidJson.
Result<std::string> decodeAcceptedWorkspace(std::string_view Text);

/// The state of the cell that the owner publishes for all instances.
struct CellStatus {
  /// The tenure in which the jobs were counted.
  std::uint64_t Tenure_ = 0;
  /// The number of accepted jobs without a started task, by queue.
  std::map<std::string, std::uint64_t> Pending_;
};

std::string encodeStatus(const CellStatus &Status);
/// Returns Errc::InvalidJson if the text does not have the expected form.
Result<CellStatus> decodeStatus(std::string_view Text);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_ROWS_H
