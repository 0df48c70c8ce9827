#include "job_index.h"

#include <algorithm>
#include <utility>

namespace filbertspring::placement {
namespace {

QueueKey keyOf(const JobEntry &Entry) {
  return {Entry.Record_.SubmittedMs_, Entry.Record_.Id_};
}

} // namespace

JobEntry &JobIndex::upsert(const JobRecord &Record, RowVersion Version) {
  JobEntry &Entry = Jobs_[Record.Id_];
  dequeue(Entry);
  Entry.Record_ = Record;
  Entry.Version_ = Version;
  Entry.Stale_ = false;
  std::set<std::int32_t> WaitedBefore =
      std::exchange(Entry.WaitingTaskIndexes_, {});
  for (std::size_t Index = 0; Index < Record.Tasks_.size(); ++Index)
    if (Record.Tasks_[Index].State_ == TaskState::Waiting)
      Entry.WaitingTaskIndexes_.insert(static_cast<std::int32_t>(Index));
  if (!std::ranges::includes(Entry.WaitingTaskIndexes_, WaitedBefore))
    Entry.PassedOverSince_.reset();
  return Entry;
}

JobEntry *JobIndex::find(const JobId &Id) {
  auto Found = Jobs_.find(Id);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

const JobEntry *JobIndex::find(const JobId &Id) const {
  auto Found = Jobs_.find(Id);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

void JobIndex::erase(const JobId &Id) {
  JobEntry *Entry = find(Id);
  if (Entry == nullptr)
    return;
  dequeue(*Entry);
  Jobs_.erase(Id);
}

void JobIndex::updateQueue(JobEntry &Entry, TimePoint Now) {
  dequeue(Entry);
  bool Ready =
      !Entry.WaitingTaskIndexes_.empty() && !Entry.Locked_ && !Entry.Stale_;
  if (Ready && Entry.EligibleAt_ <= Now)
    enqueue(Entry);
}

JobIndex::Queue &JobIndex::queueOf(const JobEntry &Entry) {
  ContractQueues &Queues = Contracts_[Entry.Record_.Contract_];
  return Entry.Record_.Urgent_ ? Queues.Urgent_ : Queues.Normal_;
}

const JobIndex::Queue *JobIndex::findQueue(const ContractName &Contract,
                                           bool Urgent) const {
  auto Found = Contracts_.find(Contract);
  if (Found == Contracts_.end())
    return nullptr;
  return Urgent ? &Found->second.Urgent_ : &Found->second.Normal_;
}

void JobIndex::enqueue(JobEntry &Entry) {
  ContractQueues &Queues = Contracts_[Entry.Record_.Contract_];
  // A contract accumulates no credit while it has no queued jobs.
  if (Queues.Urgent_.Keys_.empty() && Queues.Normal_.Keys_.empty())
    Queues.AllocatedShare_ =
        std::max(Queues.AllocatedShare_, leastQueuedShare());
  queueOf(Entry).Keys_.insert(keyOf(Entry));
  Entry.Queued_ = true;
  ++QueuedCount_;
  ++Generation_;
}

void JobIndex::dequeue(JobEntry &Entry) {
  if (!Entry.Queued_)
    return;
  queueOf(Entry).Keys_.erase(keyOf(Entry));
  Entry.Queued_ = false;
  --QueuedCount_;
}

double JobIndex::leastQueuedShare() const {
  std::optional<double> Least;
  for (const auto &[Name, Queues] : Contracts_) {
    if (Queues.Urgent_.Keys_.empty() && Queues.Normal_.Keys_.empty())
      continue;
    Least = std::min(Least.value_or(Queues.AllocatedShare_),
                     Queues.AllocatedShare_);
  }
  return Least.value_or(0.0);
}

std::vector<ContractName> JobIndex::contractsByShare(bool Urgent) const {
  std::vector<ContractName> Names;
  for (const auto &[Name, Queues] : Contracts_)
    if (!findQueue(Name, Urgent)->Keys_.empty())
      Names.push_back(Name);
  std::ranges::stable_sort(
      Names, {}, [this](const ContractName &Name) { return shareOf(Name); });
  return Names;
}

std::vector<JobId> JobIndex::candidates(const ContractName &Contract,
                                        bool Urgent, std::size_t Count) const {
  std::vector<JobId> Chosen;
  const Queue *FoundQueue = findQueue(Contract, Urgent);
  if (FoundQueue == nullptr)
    return Chosen;
  auto Next = FoundQueue->Keys_.begin();
  for (; Next != FoundQueue->Keys_.end() && Chosen.size() < Count / 2; ++Next)
    Chosen.push_back(Next->Id_);
  if (Next == FoundQueue->Keys_.end())
    return Chosen;
  if (FoundQueue->Cursor_ && *Next < *FoundQueue->Cursor_)
    Next = FoundQueue->Keys_.upper_bound(*FoundQueue->Cursor_);
  for (; Next != FoundQueue->Keys_.end() && Chosen.size() < Count; ++Next)
    Chosen.push_back(Next->Id_);
  return Chosen;
}

void JobIndex::moveCursorBehind(const JobId &Last) {
  JobEntry *Entry = find(Last);
  if (Entry == nullptr)
    return;
  Queue &JobQueue = queueOf(*Entry);
  QueueKey Key = keyOf(*Entry);
  bool AtEnd = JobQueue.Keys_.upper_bound(Key) == JobQueue.Keys_.end();
  JobQueue.Cursor_ = AtEnd ? std::nullopt : std::optional(Key);
}

void JobIndex::addShare(const ContractName &Contract, double Share) {
  Contracts_[Contract].AllocatedShare_ += Share;
}

double JobIndex::shareOf(const ContractName &Contract) const {
  auto Found = Contracts_.find(Contract);
  return Found == Contracts_.end() ? 0.0 : Found->second.AllocatedShare_;
}

} // namespace filbertspring::placement
