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
  /// Its tail as a part of its target.
  double TailFraction_ = 0;
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
/// Fillers that harm a serving task share a small part of the worker. While a
/// tail is too long, those that are not known to be harmless slow down, and
/// where there are none, all do. All others work at full speed.
std::vector<int> choosePaces(const InterferenceModel &Model,
                             std::span<const ServingSample> Serving,
                             std::span<const FillerSample> Fillers);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_PACING_H
