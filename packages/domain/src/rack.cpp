#include "filbertspring/domain/rack.h"

#include <algorithm>
#include <set>

namespace filbertspring {
namespace {

auto isOfTask(const TaskRef &Task) {
  return
      [&Task](const Assignment &Entry) { return Entry.Attempt_.Task_ == Task; };
}

} // namespace

Resources RackWorker::committed() const {
  Resources Sum = Reserved_;
  for (const Assignment &Entry : Assignments_)
    Sum += Entry.Size_;
  return Sum;
}

Result<Rack> Rack::restore(RackRecord Record) {
  std::set<WorkerName> Names;
  std::set<TaskRef> Tasks;
  for (const RackWorker &Worker : Record.Workers_) {
    if (!Names.insert(Worker.Name_).second)
      return filbertspring::fail(Errc::InvalidInput);
    for (const Assignment &Entry : Worker.Assignments_)
      if (!Tasks.insert(Entry.Attempt_.Task_).second)
        return filbertspring::fail(Errc::InvalidInput);
  }
  return Rack(std::move(Record));
}

const RackWorker *Rack::findWorker(const WorkerName &Name) const {
  auto It = std::ranges::find(Record_.Workers_, Name, &RackWorker::Name_);
  return It == Record_.Workers_.end() ? nullptr : &*It;
}

RackWorker *Rack::findMutableWorker(const WorkerName &Name) {
  auto It = std::ranges::find(Record_.Workers_, Name, &RackWorker::Name_);
  return It == Record_.Workers_.end() ? nullptr : &*It;
}

Resources Rack::usedBy(const ContractName &Contract) const {
  Resources Sum;
  for (const RackWorker &Worker : Record_.Workers_)
    for (const Assignment &Entry : Worker.Assignments_)
      if (Entry.Contract_ == Contract)
        Sum += Entry.Size_;
  return Sum;
}

Resources Rack::grantOf(const ContractName &Contract) const {
  auto It =
      std::ranges::find(Record_.Grants_, Contract, &QuotaGrant::Contract_);
  return It == Record_.Grants_.end() ? Resources{} : It->Amount_;
}

Status Rack::claim(const WorkerName &Worker, const Assignment &Claim) {
  RackWorker *Target = findMutableWorker(Worker);
  if (Target == nullptr)
    return filbertspring::fail(Errc::UnknownWorker);
  if (!Claim.Size_.isNonNegative())
    return filbertspring::fail(Errc::InvalidInput);
  for (const RackWorker &Other : Record_.Workers_)
    if (std::ranges::any_of(Other.Assignments_, isOfTask(Claim.Attempt_.Task_)))
      return filbertspring::fail(Errc::Duplicate);
  if (!Claim.Size_.fitsIn(Target->free()))
    return filbertspring::fail(Errc::CapacityExceeded);
  Resources Used = usedBy(Claim.Contract_) + Claim.Size_;
  if (!Used.fitsIn(grantOf(Claim.Contract_)))
    return filbertspring::fail(Errc::QuotaExceeded);
  Target->Assignments_.push_back(Claim);
  return {};
}

Status Rack::release(const AttemptRef &Attempt) {
  for (RackWorker &Worker : Record_.Workers_) {
    auto It =
        std::ranges::find_if(Worker.Assignments_, isOfTask(Attempt.Task_));
    if (It == Worker.Assignments_.end())
      continue;
    if (It->Attempt_ != Attempt)
      return filbertspring::fail(Errc::StaleAttempt);
    Worker.Assignments_.erase(It);
    return {};
  }
  return filbertspring::fail(Errc::UnknownTask);
}

Status Rack::setGrant(const ContractName &Contract, const Resources &Amount) {
  if (!Amount.isNonNegative())
    return filbertspring::fail(Errc::InvalidInput);
  if (!usedBy(Contract).fitsIn(Amount))
    return filbertspring::fail(Errc::QuotaExceeded);
  auto It =
      std::ranges::find(Record_.Grants_, Contract, &QuotaGrant::Contract_);
  if (It != Record_.Grants_.end())
    It->Amount_ = Amount;
  else
    Record_.Grants_.push_back({Contract, Amount});
  std::erase_if(Record_.Grants_, [](const QuotaGrant &Grant) {
    return Grant.Amount_ == Resources{};
  });
  return {};
}

std::int64_t Rack::takeOver(const InstanceName &Owner) {
  Record_.Owner_ = Owner;
  return ++Record_.Epoch_;
}

void Rack::upsertWorker(const WorkerName &Worker, const Resources &Capacity,
                        const Resources &Reserved) {
  RackWorker *Existing = findMutableWorker(Worker);
  if (Existing == nullptr) {
    Record_.Workers_.push_back({Worker, Capacity, Reserved, {}});
    return;
  }
  Existing->Capacity_ = Capacity;
  Existing->Reserved_ = Reserved;
}

Status Rack::removeWorker(const WorkerName &Worker) {
  const RackWorker *Existing = findWorker(Worker);
  if (Existing == nullptr)
    return filbertspring::fail(Errc::UnknownWorker);
  if (!Existing->Assignments_.empty())
    return filbertspring::fail(Errc::InvalidTransition);
  std::erase_if(Record_.Workers_, [&Worker](const RackWorker &Other) {
    return Other.Name_ == Worker;
  });
  return {};
}

} // namespace filbertspring
