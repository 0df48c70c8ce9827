#ifndef FILBERTSPRING_SCHEDULING_PROGRESS_CODEC_H
#define FILBERTSPRING_SCHEDULING_PROGRESS_CODEC_H

/// \file
/// Encodes the progress of jobs, the workers used by an owner and interference
/// estimates as text for the store.

#include "filbertspring/base/result.h"
#include "filbertspring/scheduling/interference.h"
#include "filbertspring/scheduling/job.h"
#include "filbertspring/scheduling/progress_journal.h"
#include "filbertspring/scheduling/worker.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring::scheduling {

/// Returns the stored text of \p Progress.
std::string encodeProgress(const JobProgress &Progress);
/// Reads what encodeProgress() returns; Errc::InvalidJson otherwise.
Result<JobProgress> decodeProgress(std::string_view Text);

/// Maximum size of one row of the store. A row holds 64 KiB, of which the
/// encoding of binary values takes a quarter.
inline constexpr std::size_t MaxRowBytes = 48U << 10U;
/// Returns an upper bound of the bytes that the changes of \p TheJob take in a
/// row of the journal, without those of its tasks.
std::size_t maxEncodedBytes(const Job &TheJob);
/// Returns an upper bound of the bytes that \p Progress takes in the text of
/// its job.
std::size_t maxEncodedBytes(const TaskName &Name, const TaskProgress &Progress);

/// Returns an upper bound of the size of the text of \p Progress.
std::size_t maxEncodedBytes(const JobProgress &Progress);
/// Splits the tasks of a snapshot such that the text of each part fits into a
/// row. All parts have the state of the job. Checkpoints are left out if there
/// would be too many parts for one transaction.
std::vector<JobProgress> splitSnapshot(JobProgress Snapshot);

/// Returns the stored text of one row of the journal.
std::string encodeJournal(const JournalEntries &Entries);
/// Reads what encodeJournal() returns; Errc::InvalidJson otherwise.
Result<JournalEntries> decodeJournal(std::string_view Text);

/// Returns the stored text of the fields of \p Entry that a new owner needs to
/// reach the worker.
std::string encodeStoredWorker(const WorkerEntry &Entry);
/// Reads what encodeStoredWorker() returns; Errc::InvalidJson otherwise.
Result<WorkerEntry> decodeStoredWorker(std::string_view Text);

/// Returns the stored text of \p Pairs. If a row cannot hold all of them, those
/// with the largest deviations are left out.
std::string encodeInterference(std::span<const InterferenceEstimate> Pairs);
/// Reads what encodeInterference() returns; Errc::InvalidJson otherwise.
Result<std::vector<InterferenceEstimate>>
decodeInterference(std::string_view Text);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_PROGRESS_CODEC_H
