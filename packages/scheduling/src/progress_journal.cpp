#include "filbertspring/scheduling/progress_journal.h"

namespace filbertspring::scheduling {
namespace {

/// The number of rows that a new owner has to read, beyond which jobs are
/// written as snapshots. About three seconds of transactions under load.
constexpr std::uint64_t MaxJournalRows = 64;

} // namespace

void applyJournalRow(const JournalRow &Row,
                     std::map<std::string, JobProgress> &Progress) {
  for (const auto &[Job, Changes] : Row.Entries_) {
    JobProgress &Known = Progress[Job];
    if (Row.Number_ <= Known.IncludedJournal_)
      continue;
    Known.State_ = Changes.State_;
    Known.Cause_ = Changes.Cause_;
    for (const auto &[Name, Task] : Changes.Tasks_)
      Known.Tasks_[Name] = Task;
  }
}

void ProgressJournal::restore(const JournalRow &Row) {
  Rows_.insert(Row.Number_);
  for (const auto &[Job, Changes] : Row.Entries_)
    pin(Job, Row.Number_);
}

void ProgressJournal::pin(const std::string &Job, std::uint64_t Number) {
  if (Pins_.try_emplace(Job, Number).second)
    OrderedPins_.emplace(Number, Job);
}

void ProgressJournal::unpin(const std::string &Job) {
  auto It = Pins_.find(Job);
  if (It == Pins_.end())
    return;
  OrderedPins_.erase({It->second, Job});
  Pins_.erase(It);
}

std::vector<std::string>
ProgressJournal::jobsToSnapshot(std::size_t MaxJobs) const {
  std::vector<std::string> Jobs;
  for (const auto &[Number, Job] : OrderedPins_) {
    if (Jobs.size() == MaxJobs || Number + MaxJournalRows > LastNumber_)
      break;
    Jobs.push_back(Job);
  }
  return Jobs;
}

std::vector<std::uint64_t>
ProgressJournal::unneededRows(std::size_t MaxRows) const {
  std::uint64_t FirstNeeded =
      OrderedPins_.empty() ? LastNumber_ : OrderedPins_.begin()->first;
  std::vector<std::uint64_t> Numbers;
  for (std::uint64_t Number : Rows_) {
    if (Numbers.size() == MaxRows || Number >= FirstNeeded)
      break;
    Numbers.push_back(Number);
  }
  return Numbers;
}

void ProgressJournal::rowsRemoved(const std::vector<std::uint64_t> &Numbers) {
  for (std::uint64_t Number : Numbers)
    Rows_.erase(Number);
}

} // namespace filbertspring::scheduling
