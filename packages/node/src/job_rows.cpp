#include "job_rows.h"

#include "platform/store_codec.h"
#include "rows.h"

#include <map>

namespace filbertspring::node {
namespace {

using scheduling::Row;
using scheduling::RowKey;
using scheduling::RowTransaction;

/// Two rows of a job, with a condition and a removal each.
constexpr std::size_t MaxEntriesOfJob = 4;
constexpr std::size_t MaxJobsOfTransaction =
    platform::MaxTransactionRows / MaxEntriesOfJob;

void addRemoval(RowTransaction &Removal, const RowKey &Key,
                const JobRowState &State) {
  if (!State.IsStored_)
    return;
  Removal.Conditions_.push_back({Key, State.Version_});
  Removal.Removals_.push_back(Key);
}

/// Returns whether \p Current was stored after \p Removed was known.
bool isStoredAgain(const JobRowState &Current, const JobRowState &Removed) {
  return Current.IsStored_ && Current != Removed;
}

} // namespace

JobRowState &JobRows::rowOf(const std::string &Job, bool IsCancellation) {
  JobRowStates &Rows = Rows_[Job];
  return IsCancellation ? Rows.Cancellation_ : Rows.Acceptance_;
}

JobRows::News JobRows::note(const Row &StoredRow) {
  if (StoredRow.Version_ == 0)
    return News::New;
  std::optional<std::string> Cancelled =
      cancelledJobFromKey(StoredRow.Key_.Key_);
  std::string Job = Cancelled.value_or(StoredRow.Key_.Key_);
  // The change feed also brings the own removals.
  if (StoredRow.IsRemoved_ && !Rows_.contains(Job))
    return News::Old;
  JobRowStates Before = Rows_[Job];
  JobRowState &Noted = rowOf(Job, Cancelled.has_value());
  bool IsOutdated = StoredRow.Version_ <= Noted.Version_ ||
                    (Cancelled && !StoredRow.IsRemoved_ &&
                     StoredRow.Version_ < Before.Acceptance_.Version_);
  if (IsOutdated)
    return News::Old;
  Noted = {StoredRow.Version_, !StoredRow.IsRemoved_};
  if (Cancelled || StoredRow.IsRemoved_)
    return News::New;
  bool HadEarlierJob = Before.Acceptance_.Version_ != 0 ||
                       (Before.Cancellation_.Version_ != 0 &&
                        Before.Cancellation_.Version_ < StoredRow.Version_);
  if (!HadEarlierJob)
    return News::New;
  if (Before.Cancellation_.Version_ < StoredRow.Version_)
    Rows_[Job].Cancellation_.IsStored_ = false;
  return News::NewJob;
}

void JobRows::noteAbsent(const RowKey &Key) {
  std::optional<std::string> Cancelled = cancelledJobFromKey(Key.Key_);
  rowOf(Cancelled.value_or(Key.Key_), Cancelled.has_value()).IsStored_ = false;
}

bool JobRows::isCancelled(const std::string &Job) const {
  auto Found = Rows_.find(Job);
  return Found != Rows_.end() && Found->second.Cancellation_.IsStored_;
}

bool JobRows::noteRemoved(const JobRemoval &Removal) {
  auto Found = Rows_.find(Removal.Job_);
  if (Found == Rows_.end())
    return true;
  const JobRowStates &Current = Found->second;
  if (isStoredAgain(Current.Acceptance_, Removal.Rows_.Acceptance_) ||
      isStoredAgain(Current.Cancellation_, Removal.Rows_.Cancellation_))
    return false;
  Rows_.erase(Found);
  return true;
}

std::vector<std::vector<JobRemoval>>
JobRows::removals(const std::vector<std::string> &Jobs) const {
  // All rows of a transaction must be in one partition.
  std::map<std::string, std::vector<std::vector<JobRemoval>>> ByPartition;
  for (const std::string &Job : Jobs) {
    std::vector<std::vector<JobRemoval>> &Groups =
        ByPartition[partitionOfJob(Job)];
    if (Groups.empty() || Groups.back().size() == MaxJobsOfTransaction)
      Groups.emplace_back();
    auto Found = Rows_.find(Job);
    Groups.back().push_back(
        {Job, Found == Rows_.end() ? JobRowStates() : Found->second});
  }
  std::vector<std::vector<JobRemoval>> Removals;
  for (auto &[Partition, Groups] : ByPartition)
    for (std::vector<JobRemoval> &Group : Groups)
      Removals.push_back(std::move(Group));
  return Removals;
}

RowTransaction makeRemoval(const std::vector<JobRemoval> &Jobs) {
  RowTransaction Removal;
  for (const JobRemoval &Each : Jobs) {
    addRemoval(Removal, jobKey(Each.Job_), Each.Rows_.Acceptance_);
    addRemoval(Removal, cancellationKey(Each.Job_), Each.Rows_.Cancellation_);
  }
  return Removal;
}

} // namespace filbertspring::node
