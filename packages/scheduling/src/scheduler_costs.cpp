/// \file
/// The part of the scheduler that compares the workers that can take a task.

#include "scheduler_impl.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// Cost of each other serving image on a worker, in units of a fully used
/// worker. Concentrates the tasks of one image, which leaves workers without
/// that image to the fillers that interfere with it.
constexpr double MixedImageCost = 2.0;
/// Cost for a filler of a worker on which every filler image is harmless, in
/// units of a fully used worker. Leaves such workers to the filler images that
/// are harmful elsewhere.
constexpr double FlexibilityCost = 1.0;
/// Cost of a worker on a rack that does not hold the data, in units of a fully
/// used worker.
constexpr double RemoteDataCost = 2.0;

/// Returns the number of serving images on \p Worker other than \p Image.
std::size_t countOtherImages(const WorkerState &Worker,
                             const std::string &Image) {
  return Worker.ServingImages_.size() - Worker.ServingImages_.count(Image);
}

} // namespace

double Scheduler::Impl::headroom(WorkerState &Worker,
                                 const std::string &Image) const {
  if (!Worker.TailRooms_)
    Worker.TailRooms_ =
        tailRooms(Model_, Worker.servingSamples(), Worker.fillerSamples());
  return fillerHeadroom(Model_, *Worker.TailRooms_, Image);
}

double Scheduler::Impl::flexibility(WorkerState &Worker) const {
  if (!Worker.Flexibility_) {
    std::vector<std::string_view> Images;
    for (const auto &[Image, Tasks] : Worker.ServingImages_)
      Images.push_back(Image);
    Worker.Flexibility_ = fillerFlexibility(Model_, Images);
  }
  return *Worker.Flexibility_;
}

std::optional<Obstacle>
Scheduler::Impl::findFillerObstacle(WorkerState &Worker,
                                    const StepSpec &Step) const {
  if (!Step.IsFiller_)
    return std::nullopt;
  if (Worker.utilizationWithFiller(Step.Request_.MilliCpu_) >
      MaxFillerUtilization)
    return Obstacle::Utilization;
  auto Requested = static_cast<double>(Step.Request_.MilliCpu_);
  if (Requested / Worker.milliCpu() > headroom(Worker, Step.Image_))
    return Obstacle::Interference;
  return std::nullopt;
}

/// Returns the cost of placing a task of \p Step on \p Worker; lower is better.
/// Returns nothing for a filler that would violate a tail latency target or the
/// maximum utilization of the worker.
std::optional<double>
Scheduler::Impl::placementCost(WorkerState &Worker,
                               const StepSpec &Step) const {
  if (findFillerObstacle(Worker, Step))
    return std::nullopt;
  double Capacity = Worker.milliCpu();
  auto Requested = static_cast<double>(Step.Request_.MilliCpu_);
  double Cost = 0;
  if (Step.IsFiller_) {
    Cost = Worker.utilizationWithFiller(Step.Request_.MilliCpu_) +
           FlexibilityCost * flexibility(Worker);
  } else {
    // Best fit: prefers workers with little free capacity, which leaves room
    // for large tasks and for steps with many tasks.
    Cost = 1 -
           (static_cast<double>(Worker.Used_.MilliCpu_) + Requested) / Capacity;
    if (Step.IsLongRunning_)
      Cost += MixedImageCost * countOtherImages(Worker, Step.Image_);
  }
  return Cost + remoteDataCost(Worker, Step) + wantedRackCost(Worker, Step);
}

double Scheduler::Impl::remoteDataCost(const WorkerState &Worker,
                                       const StepSpec &Step) {
  const std::vector<std::string> &Labels = Worker.Entry_.Labels_;
  bool IsRemote =
      !Step.DataRack_.empty() &&
      std::find(Labels.begin(), Labels.end(), Step.DataRack_) == Labels.end();
  return IsRemote ? RemoteDataCost : 0.0;
}

} // namespace filbertspring::scheduling
