/// \file
/// The part of the simulated cell that stores what its owners write and log.

#include "simulated_cell.h"

#include "filbertspring/scheduling/progress_codec.h"

#include <fmt/format.h>

namespace filbertspring::scheduling::test {

void SimulatedCell::noteObstacles(const LogRecord &Record) {
  if (Record.Event_ != LogEvent::TaskWaits)
    return;
  std::string Text;
  for (const auto &[Field, Value] : Record.Fields_)
    Text += fmt::format("{}{}={}", Text.empty() ? "" : " ", Field, Value);
  Obstacles_[Record.Fields_.front().second] = Text;
  LastWait_ = Text;
}

void SimulatedCell::explainViolations() {
  const std::vector<Violation> &Found = Oracle_.violations();
  while (Explanations_.size() < Found.size()) {
    auto It = Obstacles_.find(Found[Explanations_.size()].Detail_);
    Explanations_.push_back(It == Obstacles_.end() ? LastWait_ : It->second);
  }
}

std::map<std::string, JobProgress> SimulatedCell::storedProgress() const {
  std::map<std::string, JobProgress> Progress;
  for (const auto &[Id, Text] : Progress_)
    Progress[Id] = *decodeProgress(Text);
  for (const auto &[Number, Text] : Journal_)
    applyJournalRow({Number, *decodeJournal(Text)}, Progress);
  return Progress;
}

void SimulatedCell::apply(const PendingWrites &Writes) {
  if (!Writes.Journal_.Entries_.empty())
    Journal_[Writes.Journal_.Number_] = encodeJournal(Writes.Journal_.Entries_);
  for (const JournalRow &Rest : Writes.SnapshotRests_)
    Journal_[Rest.Number_] = encodeJournal(Rest.Entries_);
  for (std::uint64_t Number : Writes.RemovedJournalRows_)
    Journal_.erase(Number);
  for (const auto &[Id, Changes] : Writes.Journal_.Entries_)
    Oracle_.stored(Id, Changes, Now_);
  for (const auto &[Id, Progress] : Writes.Progress_) {
    Oracle_.stored(Id, Progress, Now_);
    Progress_[Id] = encodeProgress(Progress);
  }
  for (const WorkerEntry &Entry : Writes.StoredWorkers_)
    StoredWorkers_[Entry.Id_] = Entry;
  for (const std::string &Id : Writes.RemovedWorkers_)
    StoredWorkers_.erase(Id);
}

std::string SimulatedCell::storedCause(const std::string &Job) const {
  auto It = Progress_.find(Job);
  return It == Progress_.end() ? "" : decodeProgress(It->second)->Cause_;
}

std::optional<JobState>
SimulatedCell::storedState(const std::string &Job) const {
  auto It = Progress_.find(Job);
  if (It != Progress_.end())
    return decodeProgress(It->second)->State_;
  return Jobs_.contains(Job) ? std::optional(JobState::Queued) : std::nullopt;
}

} // namespace filbertspring::scheduling::test
