#ifndef FILBERTSPRING_NODE_JOB_ROWS_H
#define FILBERTSPRING_NODE_JOB_ROWS_H

/// \file
/// What the cell's owner knows of the stored rows of jobs, and how it removes
/// them.

#include "filbertspring/scheduling/row_store.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertspring::node {

/// A row of a job as last known.
struct JobRowState {
  /// The version of its last change; 0 if none is known.
  std::uint64_t Version_ = 0;
  bool IsStored_ = false;
  friend bool operator==(const JobRowState &, const JobRowState &) = default;
};

/// The rows of a job: its acceptance and its cancellation.
struct JobRowStates {
  JobRowState Acceptance_;
  JobRowState Cancellation_;
  friend bool operator==(const JobRowStates &, const JobRowStates &) = default;
};

/// A job whose rows are removed, with the rows as they were known.
struct JobRemoval {
  std::string Job_;
  JobRowStates Rows_;
};

/// The rows of all jobs of a cell.
///
/// An acceptance is stored only if neither the job nor its cancellation is, and
/// a cancellation only if the job is unchanged. So an acceptance with a later
/// version than another row of the job is that of a new job under the same id,
/// and a cancellation with an earlier version than the acceptance is that of a
/// job that was removed before.
class JobRows {
public:
  /// How a row relates to what was known before.
  enum class News {
    /// It was known, or replaced since.
    Old,
    New,
    /// It accepts a new job. Rows of an earlier job with the same id are no
    /// longer stored.
    NewJob,
  };

  /// Notes a row that was read, or an entry of a change feed. Rows of unknown
  /// version count as new and are not noted.
  News note(const scheduling::Row &StoredRow);
  /// Notes that the row \p Key is not stored.
  void noteAbsent(const scheduling::RowKey &Key);
  /// Notes that \p Removal was carried out. Returns false, and keeps the rows,
  /// if one of them was stored again since.
  bool noteRemoved(const JobRemoval &Removal);

  /// Returns whether the cancellation of \p Job is stored.
  bool isCancelled(const std::string &Job) const;
  /// Returns the removals of \p Jobs, grouped into transactions of the size
  /// that the store takes.
  std::vector<std::vector<JobRemoval>>
  removals(const std::vector<std::string> &Jobs) const;

private:
  JobRowState &rowOf(const std::string &Job, bool IsCancellation);

  std::unordered_map<std::string, JobRowStates> Rows_;
};

/// Returns the transaction that removes the rows of \p Jobs, on the condition
/// that they are as they were known. Empty if none of them is stored.
scheduling::RowTransaction makeRemoval(const std::vector<JobRemoval> &Jobs);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_JOB_ROWS_H
