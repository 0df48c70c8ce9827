#include "job_index.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

WaitingKey keyOf(const JobEntry &Entry) {
  return {Entry.Record_.SubmittedMs_, Entry.Record_.Id_};
}

} // namespace

JobEntry &JobIndex::upsert(const JobRecord &Record, RowVersion Version) {
  JobEntry &Entry = Jobs_[Record.Id_];
  dequeue(Entry);
  Entry.Record_ = Record;
  Entry.Version_ = Version;
  Entry.Stale_ = false;
  Entry.WaitingTaskIndexes_.clear();
  for (std::size_t Index = 0; Index < Record.Tasks_.size(); ++Index)
    if (Record.Tasks_[Index].State_ == TaskState::Waiting)
      Entry.WaitingTaskIndexes_.insert(static_cast<std::int32_t>(Index));
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
  Share &Owner = Shares_[Entry.Record_.Contract_];
  return Entry.Record_.Urgent_ ? Owner.Urgent_ : Owner.Normal_;
}

const JobIndex::Queue *JobIndex::findQueue(const ContractName &Contract,
                                           bool Urgent) const {
  auto Found = Shares_.find(Contract);
  if (Found == Shares_.end())
    return nullptr;
  return Urgent ? &Found->second.Urgent_ : &Found->second.Normal_;
}

void JobIndex::enqueue(JobEntry &Entry) {
  Share &Owner = Shares_[Entry.Record_.Contract_];
  // A contract that had nothing to do has no claim on the time it missed.
  if (Owner.Urgent_.Keys_.empty() && Owner.Normal_.Keys_.empty())
    Owner.Served_ = std::max(Owner.Served_, leastServed());
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

double JobIndex::leastServed() const {
  std::optional<double> Least;
  for (const auto &[Name, Owner] : Shares_) {
    if (Owner.Urgent_.Keys_.empty() && Owner.Normal_.Keys_.empty())
      continue;
    Least = std::min(Least.value_or(Owner.Served_), Owner.Served_);
  }
  return Least.value_or(0.0);
}

std::vector<ContractName> JobIndex::turn(bool Urgent) const {
  std::vector<ContractName> Names;
  for (const auto &[Name, Owner] : Shares_)
    if (!findQueue(Name, Urgent)->Keys_.empty())
      Names.push_back(Name);
  std::ranges::stable_sort(
      Names, {}, [this](const ContractName &Name) { return servedOf(Name); });
  return Names;
}

std::vector<JobId> JobIndex::candidates(const ContractName &Contract,
                                        bool Urgent, std::size_t Count) const {
  std::vector<JobId> Chosen;
  const Queue *Source = findQueue(Contract, Urgent);
  if (Source == nullptr)
    return Chosen;
  auto Next = Source->Keys_.begin();
  for (; Next != Source->Keys_.end() && Chosen.size() < Count / 2; ++Next)
    Chosen.push_back(Next->Id_);
  if (Next == Source->Keys_.end())
    return Chosen;
  if (Source->Resume_ && *Next < *Source->Resume_)
    Next = Source->Keys_.upper_bound(*Source->Resume_);
  for (; Next != Source->Keys_.end() && Chosen.size() < Count; ++Next)
    Chosen.push_back(Next->Id_);
  return Chosen;
}

void JobIndex::passOver(const JobId &Last) {
  JobEntry *Entry = find(Last);
  if (Entry == nullptr)
    return;
  Queue &Source = queueOf(*Entry);
  WaitingKey Key = keyOf(*Entry);
  bool AtEnd = Source.Keys_.upper_bound(Key) == Source.Keys_.end();
  Source.Resume_ = AtEnd ? std::nullopt : std::optional(Key);
}

void JobIndex::serve(const ContractName &Contract, double Share) {
  Shares_[Contract].Served_ += Share;
}

double JobIndex::servedOf(const ContractName &Contract) const {
  auto Found = Shares_.find(Contract);
  return Found == Shares_.end() ? 0.0 : Found->second.Served_;
}

} // namespace filbertspring::placement
