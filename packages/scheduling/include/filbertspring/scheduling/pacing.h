#ifndef FILBERTSPRING_SCHEDULING_PACING_H
#define FILBERTSPRING_SCHEDULING_PACING_H

/// \file
/// How fast fillers may work beside tasks that serve users.

#include "filbertspring/scheduling/interference.h"

#include <span>
#include <string_view>
#include <vector>

namespace filbertspring::scheduling {

/// A serving task as its worker reported it.
struct ServingSample {
  std::string_view Image_;
  double TailLatencyMs_ = 0;
  double TargetMs_ = 0;
};

/// A filler on the same worker.
struct FillerSample {
  std::string_view Image_;
  /// Part of the worker's processors that it takes at full speed.
  double FullShare_ = 0;
  /// Its present pace.
  int Percent_ = 100;
};

/// Returns the pace of each filler, 0 to 100, in the order of \p Fillers.
///
/// Fillers that are known to lengthen a tail are slowed down as far as the
/// model asks; while a tail is over its limit, so are those that are not known
/// to be harmless. Fillers without a part in a tail work at full speed.
std::vector<int> choosePaces(const InterferenceModel &Model,
                             std::span<const ServingSample> Serving,
                             std::span<const FillerSample> Fillers);

/// Returns the part of the worker's processors that one more filler of
/// \p Image may take at full speed without harm, as far as the model knows.
double fillerHeadroom(const InterferenceModel &Model,
                      std::span<const ServingSample> Serving,
                      std::span<const FillerSample> Fillers,
                      std::string_view Image);

/// Returns the part of all filler images that would do no harm beside
/// \p ServingImages, from 0 to 1; 1 if no filler image is known.
double fillerFlexibility(const InterferenceModel &Model,
                         std::span<const std::string_view> ServingImages);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_PACING_H
