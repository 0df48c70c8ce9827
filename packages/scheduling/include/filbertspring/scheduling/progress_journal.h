#ifndef FILBERTSPRING_SCHEDULING_PROGRESS_JOURNAL_H
#define FILBERTSPRING_SCHEDULING_PROGRESS_JOURNAL_H

/// \file
/// The journal of progress: rows that each hold the changes of many jobs.
///
/// Under load, hundreds of jobs change between two transactions, which hold a
/// hundred rows each. A transaction therefore writes the changes of all jobs to
/// one row of the journal, and the complete progress of a job (its snapshot)
/// only when its state has changed or when the journal has become long.

#include "filbertspring/scheduling/job.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace filbertspring::scheduling {

/// The changes of several jobs; each JobProgress holds the present state of the
/// job and the present progress of the tasks that have changed.
using JournalEntries = std::vector<std::pair<std::string, JobProgress>>;

/// One row of the journal.
struct JournalRow {
  std::uint64_t Number_ = 0;
  JournalEntries Entries_;
};

/// Applies \p Row to the snapshots in \p Progress. Rows must be applied in the
/// order of their numbers. Changes that a snapshot includes are ignored.
void applyJournalRow(const JournalRow &Row,
                     std::map<std::string, JobProgress> &Progress);

/// Keeps track of the rows of the journal that are still needed.
class ProgressJournal {
public:
  /// \p FirstNumber must be higher than the numbers of all earlier tenures.
  explicit ProgressJournal(std::uint64_t FirstNumber)
      : LastNumber_(FirstNumber) {}

  /// Notes a row of an earlier tenure.
  void restore(const JournalRow &Row);
  /// Returns a new number.
  std::uint64_t nextNumber() { return ++LastNumber_; }
  /// Notes that a row is to be written. It counts as existing even if its
  /// transaction fails, since it may still have been written.
  void addRow(std::uint64_t Number) { Rows_.insert(Number); }
  /// Notes that the row \p Number holds changes of \p Job.
  void pin(const std::string &Job, std::uint64_t Number);
  /// Notes that a snapshot of \p Job is stored that includes all its changes,
  /// or that the job is not needed any more.
  void unpin(const std::string &Job);

  /// Returns up to \p MaxJobs jobs of which snapshots are needed to shorten the
  /// journal, those with the oldest changes first.
  std::vector<std::string> jobsToSnapshot(std::size_t MaxJobs) const;
  /// Returns up to \p MaxRows rows that hold no changes that are needed.
  std::vector<std::uint64_t> unneededRows(std::size_t MaxRows) const;
  void rowsRemoved(const std::vector<std::uint64_t> &Numbers);
  /// Returns whether the row \p Number may be stored.
  bool mayHoldRow(std::uint64_t Number) const { return Rows_.contains(Number); }

private:
  std::uint64_t LastNumber_;
  std::set<std::uint64_t> Rows_;
  /// The first row with changes of each job.
  std::map<std::string, std::uint64_t> Pins_;
  std::set<std::pair<std::uint64_t, std::string>> OrderedPins_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_PROGRESS_JOURNAL_H
