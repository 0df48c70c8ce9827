#ifndef FILBERTSPRING_SCHEDULING_PACING_H
#define FILBERTSPRING_SCHEDULING_PACING_H

/// \file
/// Limits the speed of fillers so that the serving tasks on the same worker
/// keep their tail latency targets.

#include "filbertspring/scheduling/interference.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring::scheduling {

/// The last reported tail latency of a serving task, and its target.
struct ServingSample {
  std::string_view Image_;
  double TailLatencyMs_ = 0;
  double TargetMs_ = 0;
};

/// A filler on the same worker.
struct FillerSample {
  std::string_view Image_;
  /// Fraction of the worker's processors that the filler uses at full speed.
  double FullShare_ = 0;
  /// The present pace, as a percentage of full speed.
  int Percent_ = 100;
};

/// Returns the pace of each filler as a percentage of full speed, in the order
/// of \p Fillers.
///
/// Fillers that are known to lengthen a tail latency are slowed down until the
/// model predicts that the target is met. While a tail latency is close to or
/// over its target, fillers that are not known to be harmless are slowed down
/// as well. Fillers without an effect run at full speed.
std::vector<int> choosePaces(const InterferenceModel &Model,
                             std::span<const ServingSample> Serving,
                             std::span<const FillerSample> Fillers);

/// How much the serving tasks of one image on a worker can still be disturbed.
struct TailRoom {
  std::string Image_;
  /// How far the logarithm of the predicted tail latency is below its limit.
  double Room_ = 0;
};

/// Returns the lowest room of each serving image with a target.
std::vector<TailRoom> tailRooms(const InterferenceModel &Model,
                                std::span<const ServingSample> Serving,
                                std::span<const FillerSample> Fillers);

/// Returns the fraction of the worker's processors that one more filler of
/// \p Image may use at full speed while the model predicts that all tail
/// latency targets are met.
double fillerHeadroom(const InterferenceModel &Model,
                      std::span<const TailRoom> Rooms, std::string_view Image);

/// Returns the fraction of the known filler images that have no harmful effect
/// on any of \p ServingImages; 1 if no filler image is known.
double fillerFlexibility(const InterferenceModel &Model,
                         std::span<const std::string_view> ServingImages);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_PACING_H
