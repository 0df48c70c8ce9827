#include "filbertspring/transport/client_budget.h"

#include <algorithm>
#include <utility>

namespace filbertspring {

ClientBudget::ClientBudget(std::size_t Capacity) : Capacity_(Capacity) {}

void ClientBudget::add(Entry &Connection) {
  Connection.Since_ = Now_;
  Used_ += Connection.Bytes_;
  Entries_.insert(&Connection);
}

void ClientBudget::remove(Entry &Connection) {
  charge(Connection, 0);
  Entries_.erase(&Connection);
  stopWaiting(Connection);
}

void ClientBudget::charge(Entry &Connection, std::size_t Bytes) {
  Used_ = Used_ - Connection.Bytes_ + Bytes;
  Connection.Bytes_ = Bytes;
}

void ClientBudget::enterPhase(Entry &Connection, ConnectionPhase Phase) {
  Connection.Phase_ = Phase;
  Connection.Since_ = Now_;
}

bool ClientBudget::admits(const Entry &Connection, std::size_t More) const {
  if (Used_ <= Connection.Bytes_)
    return true;
  // A quarter is reserved for small requests.
  bool IsSmall = Connection.Bytes_ + More <= SmallRequestBytes;
  std::size_t Limit = IsSmall ? Capacity_ : Capacity_ - Capacity_ / 4;
  return Used_ <= Limit && More <= Limit - Used_;
}

void ClientBudget::wait(Entry &Connection) {
  if (std::exchange(Connection.IsWaiting_, true))
    return;
  Waiting_.push_back(&Connection);
}

void ClientBudget::stopWaiting(Entry &Connection) {
  if (std::exchange(Connection.IsWaiting_, false))
    std::erase(Waiting_, &Connection);
}

void ClientBudget::resumeWaiting() {
  // A connection that still finds no memory waits again, at the end.
  for (std::size_t Left = Waiting_.size(); Left > 0 && !Waiting_.empty();
       --Left) {
    if (Used_ > Capacity_ - Capacity_ / 4)
      return;
    Entry *First = Waiting_.front();
    Waiting_.pop_front();
    First->IsWaiting_ = false;
    First->Resume_();
  }
}

void ClientBudget::check(TimePoint Now) {
  if (CheckedAt_ != TimePoint{})
    Now_ += std::clamp(Now - CheckedAt_, Duration::zero(), 2 * CheckInterval);
  CheckedAt_ = Now;
  // Connections that wait need the memory of those that make no progress. Half
  // of the capacity is freed at once, since a choice looks at all connections.
  std::size_t Target = Capacity_ / 2;
  if (Used_ > Target && (!Waiting_.empty() || Used_ > Capacity_))
    shed(Used_ - Target);
  resumeWaiting();
}

void ClientBudget::shed(std::size_t BytesToFree) {
  std::vector<Entry *> Candidates(Entries_.begin(), Entries_.end());
  std::vector<ConnectionLoad> Loads;
  Loads.reserve(Candidates.size());
  for (const Entry *Each : Candidates)
    Loads.push_back({Each->Phase_, Each->Bytes_, age(*Each)});
  // Shedding one connection destroys no other.
  for (std::size_t Index : chooseForMemory(Loads, BytesToFree))
    Candidates[Index]->Shed_();
}

} // namespace filbertspring
