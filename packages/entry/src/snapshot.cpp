#include "snapshot.h"

#include <algorithm>

namespace filbertspring {

const Contract *EntrySnapshot::findContract(const ContractName &Name) const {
  auto Found = std::ranges::find(Contracts_, Name, &Contract::Name_);
  return Found == Contracts_.end() ? nullptr : &*Found;
}

std::shared_ptr<const EntrySnapshot> SnapshotPublisher::current() const {
  std::scoped_lock Lock(Mutex_);
  return Current_;
}

void SnapshotPublisher::publish(EntrySnapshot Snapshot) {
  auto Published = std::make_shared<const EntrySnapshot>(std::move(Snapshot));
  std::scoped_lock Lock(Mutex_);
  Current_.swap(Published);
}

} // namespace filbertspring
