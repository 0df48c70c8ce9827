#include "worker_capacity_index.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

bool mayUse(const JobRecord &Job, const Contract &Terms, const ZoneName &Zone) {
  bool JobAllows = Job.Zones_.empty() ||
                   std::ranges::find(Job.Zones_, Zone) != Job.Zones_.end();
  return JobAllows && Terms.allowsZone(Zone);
}

} // namespace

void WorkerCapacityIndex::update(const std::vector<ListedInstance> &Listed,
                                 TimePoint Now,
                                 const RejectionSettings &Settings) {
  for (const ListedInstance &Instance : Listed) {
    if (Instance.Role_ != InstanceRole::Worker)
      continue;
    ListedWorker &Entry = Workers_[WorkerName(Instance.Name_.str())];
    if (Entry.Capacity_ != Instance.Capacity_ || Entry.Zone_ != Instance.Zone_)
      ChangedAt_ = Now;
    Entry = {Instance.Zone_, Instance.Capacity_, Now};
  }
  std::erase_if(Workers_, [&](const auto &Item) {
    return Now - Item.second.ListedAt_ > Settings.WorkerRetention_;
  });
  if (!UpdatedAt_)
    ChangedAt_ = Now;
  UpdatedAt_ = Now;
  rebuildCapacities();
}

void WorkerCapacityIndex::rebuildCapacities() {
  CapacitiesByZone_.clear();
  for (const auto &[Name, Entry] : Workers_) {
    std::vector<Resources> &Capacities = CapacitiesByZone_[Entry.Zone_];
    if (std::ranges::find(Capacities, Entry.Capacity_) == Capacities.end())
      Capacities.push_back(Entry.Capacity_);
  }
}

std::optional<std::string> WorkerCapacityIndex::oversizeReason(
    const JobRecord &Job, const std::vector<ZoneName> &Zones, TimePoint Now,
    const RejectionSettings &Settings) const {
  bool Reliable = UpdatedAt_ &&
                  *UpdatedAt_ - ChangedAt_ >= Settings.ListStableTime_ &&
                  Now - *UpdatedAt_ <= Settings.MaxListAge_;
  if (!Reliable)
    return std::nullopt;
  for (const ZoneName &Zone : Zones) {
    auto ZoneCapacities = CapacitiesByZone_.find(Zone);
    // The list may be incomplete for a zone without any worker.
    if (ZoneCapacities == CapacitiesByZone_.end())
      return std::nullopt;
    for (const Resources &Capacity : ZoneCapacities->second)
      if (Job.Size_.fitsIn(Capacity))
        return std::nullopt;
  }
  return "larger than any worker of its zones";
}

std::optional<std::string>
impossibleReason(const JobRecord &Job, const TableView &Table,
                 const WorkerCapacityIndex &Capacities, TimePoint Now,
                 const RejectionSettings &Settings) {
  const auto *ContractRow = findRow(Table.Contracts_, Job.Contract_);
  if (ContractRow == nullptr)
    return std::nullopt;
  const Contract &Terms = ContractRow->Value_.Terms_;
  if (ContractRow->Value_.Removed_)
    return "its contract has ended";
  if (!Terms.Batch_ || Terms.findKind(Job.Kind_) == nullptr)
    return "its contract has no such kind of batch work";
  if (!Job.Size_.fitsIn(Terms.Batch_->Quota_))
    return "larger than the quota of its contract";
  if (!Table.ZonesComplete_)
    return std::nullopt;
  std::vector<ZoneName> Allowed;
  for (const auto &[Zone, Row] : Table.Zones_)
    if (mayUse(Job, Terms, Zone))
      Allowed.push_back(Zone);
  if (Allowed.empty())
    return "no availability zone that it may use exists";
  return Capacities.oversizeReason(Job, Allowed, Now, Settings);
}

} // namespace filbertspring::placement
