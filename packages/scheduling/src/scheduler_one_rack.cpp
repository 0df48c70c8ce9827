/// \file
/// The part of the scheduler that keeps the tasks of a step on one rack.

#include "scheduler_impl.h"

#include <algorithm>
#include <limits>

namespace filbertspring::scheduling {
namespace {

/// Returns how many times \p Needed fits into \p Free.
std::size_t countFits(const Resources &Free, const Resources &Needed) {
  auto Fits = [](std::int64_t Available, std::int64_t Wanted) {
    return Wanted <= 0 ? std::numeric_limits<std::int64_t>::max()
                       : std::max<std::int64_t>(0, Available) / Wanted;
  };
  return static_cast<std::size_t>(
      std::min({Fits(Free.MilliCpu_, Needed.MilliCpu_),
                Fits(Free.MemoryMb_, Needed.MemoryMb_),
                Fits(Free.Accelerators_, Needed.Accelerators_)}));
}

RackKey rackOfLabels(const PlacementRequest &Request,
                     const std::vector<std::string> &Labels) {
  return {Request.Service_, rackName(Labels), false};
}

/// Returns the rack with the least room among those that take \p Tasks, which
/// leaves the others to larger steps; null if there is none.
const RackRoom *findSmallest(const std::vector<RackRoom> &Rooms,
                             std::size_t Tasks) {
  const RackRoom *Best = nullptr;
  for (const RackRoom &Room : Rooms)
    if (Room.Now_ >= Tasks && (!Best || Room.Now_ < Best->Now_))
      Best = &Room;
  return Best;
}

} // namespace

void Scheduler::Impl::groupByLabels() {
  if (!GroupOfUsable_.empty())
    return;
  GroupLabels_.clear();
  std::unordered_map<std::string, std::size_t> Groups;
  for (const UsableWorker &Usable : UsableWorkers_) {
    const std::vector<std::string> &Labels = Usable.Worker_->Entry_.Labels_;
    auto [It, IsNew] =
        Groups.try_emplace(rackName(Labels), GroupLabels_.size());
    if (IsNew)
      GroupLabels_.push_back(&Labels);
    GroupOfUsable_.push_back(It->second);
  }
}

std::vector<RackRoom>
Scheduler::Impl::findRackRooms(const PlacementRequest &Request, TimePoint Now) {
  groupByLabels();
  // Enough for any step, and small enough to be added up.
  constexpr std::size_t MaxRoom = 1'000'000;
  std::vector<RackRoom> Rooms(GroupLabels_.size());
  for (std::size_t Position = 0; Position < UsableWorkers_.size(); ++Position) {
    const UsableWorker &Usable = UsableWorkers_[Position];
    const WorkerState &Worker = *Usable.Worker_;
    if (Worker.Entry_.Service_ != Request.Service_ ||
        Worker.Entry_.Labels_.empty())
      continue;
    // A limit counts tasks that the worker has already; one more is certain.
    std::size_t Limit = Request.Step_.MaxPerWorker_ == 0 ? MaxRoom : 1;
    Resources Empty = Worker.Entry_.Capacity_;
    Empty.MilliCpu_ -= Worker.LongRunningMilliCpu_;
    std::size_t Group = GroupOfUsable_[Position];
    RackRoom &Room = Rooms[Group];
    Room.Labels_ = GroupLabels_[Group];
    Room.Empty_ += std::min(Limit, countFits(Empty, Request.Needed_));
    std::size_t Fits = countFits(Usable.Free_, Request.Needed_);
    if (Fits > 0 && isEligible(Worker, Request, Now))
      Room.Now_ += std::min(Limit, Fits);
  }
  std::erase_if(Rooms, [](const RackRoom &Room) { return !Room.Labels_; });
  std::sort(Rooms.begin(), Rooms.end(),
            [](const RackRoom &Left, const RackRoom &Right) {
              return *Left.Labels_ < *Right.Labels_;
            });
  return Rooms;
}

std::set<std::vector<std::string>>
Scheduler::Impl::racksOfStep(const Job &TheJob, std::uint32_t Slot) const {
  std::set<std::vector<std::string>> Racks;
  TaskName Name = TheJob.nameOf(Slot);
  std::uint32_t First = Slot - Name.Index_;
  std::uint32_t Count = TheJob.step(Name).Count_;
  for (std::uint32_t Each = First; Each < First + Count; ++Each) {
    if (TheJob.at(Each).Phase_ != TaskPhase::Placed)
      continue;
    auto It = Workers_.find(TheJob.at(Each).Progress_.Worker_);
    if (It != Workers_.end())
      Racks.insert(It->second.Entry_.Labels_);
  }
  return Racks;
}

RackChoice Scheduler::Impl::chooseRack(const Job &TheJob,
                                       const PlacementRequest &Request,
                                       std::span<const std::uint32_t> Slots,
                                       TimePoint Now) {
  const StepSpec &Step = Request.Step_;
  if (goesOnWaiting(TheJob, Request, Slots, Now))
    return {true, std::nullopt};
  // A step that names a rack has its own rule, and the room for fillers depends
  // on what runs beside them.
  if (!Step.PrefersOneRack_ || Step.Count_ < 2 || !Step.DataRack_.empty() ||
      Step.IsFiller_ || Step.IsLongRunning_ || Settings_.FarFactor_ <= 1 ||
      Request.Isolation_ != Isolation::None ||
      std::holds_alternative<NoPlaceWait>(Settings_.PlaceWait_))
    return {};
  std::set<std::vector<std::string>> Present =
      racksOfStep(TheJob, Slots.front());
  if (Present.size() > 1)
    return {};
  std::vector<RackRoom> Rooms = findRackRooms(Request, Now);
  ConsideredWorkers_ += UsableWorkers_.size();
  if (std::all_of(Rooms.begin(), Rooms.end(),
                  [](const RackRoom &Room) { return Room.Now_ == 0; }))
    return {};
  // Others would be slow beside those that run.
  if (!Present.empty())
    std::erase_if(Rooms, [&](const RackRoom &Room) {
      return !Present.contains(*Room.Labels_);
    });
  auto MilliCpu = static_cast<double>(Step.Request_.MilliCpu_);
  StepKey Key{Request.Name_.Job_, Request.Name_.Occurrence_,
              Request.Name_.Step_};
  if (const RackRoom *Room = findSmallest(Rooms, Slots.size())) {
    PlaceWaits_.notePlaced(Key, rackOfLabels(Request, *Room->Labels_),
                           MilliCpu * static_cast<double>(Slots.size()), true,
                           true, Now);
    return {false, *Room->Labels_};
  }
  // The first pass that finds no room begins to learn.
  for (const RackRoom &Room : Rooms)
    PlaceWaits_.track(rackOfLabels(Request, *Room.Labels_), Now);
  if (TheJob.at(Slots.front()).Progress_.LastRun_ != 0)
    return {};
  std::optional<PlaceWaitDecision> Best;
  RackKey BestRack;
  std::size_t BestTasks = Slots.size();
  for (const RackRoom &Room : Rooms) {
    if (Room.Empty_ < Slots.size())
      continue;
    RackKey Rack = rackOfLabels(Request, *Room.Labels_);
    std::size_t Missing = Slots.size() - Room.Now_;
    PlaceWaitDecision Decision =
        decideWait(TheJob, Request, Rack, Slots.front(), Missing, Now);
    if (Best &&
        (Best->waits() > Decision.waits() ||
         (Best->waits() == Decision.waits() && Best->Cost_ <= Decision.Cost_)))
      continue;
    Best = Decision;
    BestRack = Rack;
    BestTasks = Missing;
  }
  if (!Best)
    return {};
  if (!Best->waits()) {
    recordPlaceWait(Request, BestRack, *Best, Slots.size(), Now);
    PlaceWaits_.notePlaced(Key, BestRack, MilliCpu, false, true, Now);
    return {};
  }
  if (PlaceWaits_.noteWait(Key, BestRack, MilliCpu, BestTasks, Now))
    recordPlaceWait(Request, BestRack, *Best, Slots.size(), Now);
  NextPlacementAt_ = std::min(NextPlacementAt_, Now + Best->Allowance_);
  return {true, std::nullopt};
}

} // namespace filbertspring::scheduling
