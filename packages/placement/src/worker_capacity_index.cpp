#include "worker_capacity_index.h"

#include <algorithm>

namespace filbertspring::placement {
namespace {

bool mayUse(const JobRecord &Job, const Contract &Terms, const ZoneName &Zone) {
  bool Chosen = Job.Zones_.empty() ||
                std::ranges::find(Job.Zones_, Zone) != Job.Zones_.end();
  return Chosen && Terms.allowsZone(Zone);
}

} // namespace

void WorkerCapacityIndex::note(const std::vector<ListedInstance> &Listed,
                               TimePoint Now,
                               const RejectionSettings &Settings) {
  for (const ListedInstance &Each : Listed) {
    if (Each.Role_ != InstanceRole::Worker)
      continue;
    Seen &Entry = Seen_[WorkerName(Each.Name_.str())];
    if (Entry.Capacity_ != Each.Capacity_ || Entry.Zone_ != Each.Zone_)
      GrewAt_ = Now;
    Entry = {Each.Zone_, Each.Capacity_, Now};
  }
  std::erase_if(Seen_, [&](const auto &Item) {
    return Now - Item.second.At_ > Settings.WorkerRetention_;
  });
  if (!ListedAt_)
    GrewAt_ = Now;
  ListedAt_ = Now;
  rebuild();
}

void WorkerCapacityIndex::rebuild() {
  Shapes_.clear();
  for (const auto &[Name, Entry] : Seen_) {
    std::vector<Resources> &Shapes = Shapes_[Entry.Zone_];
    if (std::ranges::find(Shapes, Entry.Capacity_) == Shapes.end())
      Shapes.push_back(Entry.Capacity_);
  }
}

std::optional<std::string>
WorkerCapacityIndex::tooLarge(const JobRecord &Job,
                              const std::vector<ZoneName> &Zones, TimePoint Now,
                              const RejectionSettings &Settings) const {
  bool Settled = ListedAt_ &&
                 *ListedAt_ - GrewAt_ >= Settings.ListStableTime_ &&
                 Now - *ListedAt_ <= Settings.MaxListAge_;
  if (!Settled)
    return std::nullopt;
  for (const ZoneName &Zone : Zones) {
    auto Found = Shapes_.find(Zone);
    // A zone without any worker in the list is one that the list misses.
    if (Found == Shapes_.end())
      return std::nullopt;
    for (const Resources &Capacity : Found->second)
      if (Job.Size_.fitsIn(Capacity))
        return std::nullopt;
  }
  return "larger than any worker of its zones";
}

std::optional<std::string> impossibleReason(const JobRecord &Job,
                                            const TableView &Table,
                                            const WorkerCapacityIndex &Census,
                                            TimePoint Now,
                                            const RejectionSettings &Settings) {
  const auto *Found = findRow(Table.Contracts_, Job.Contract_);
  if (Found == nullptr)
    return std::nullopt;
  const Contract &Terms = Found->Value_.Terms_;
  if (Found->Value_.Removed_)
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
  return Census.tooLarge(Job, Allowed, Now, Settings);
}

} // namespace filbertspring::placement
