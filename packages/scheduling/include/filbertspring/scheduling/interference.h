#ifndef FILBERTSPRING_SCHEDULING_INTERFERENCE_H
#define FILBERTSPRING_SCHEDULING_INTERFERENCE_H

/// \file
/// How much fillers of one image lengthen the tails of serving tasks of
/// another, learned from workers' reports.

#include <cstdint>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring::scheduling {

/// The work of one filler beside a serving task.
struct FillerShare {
  std::string_view Image_;
  /// Part of the worker's processors that it uses or would use.
  double Share_ = 0;
};

/// An estimate and how far it may be off.
struct Estimate {
  double Mean_ = 0;
  /// Standard deviation.
  double Deviation_ = 0;
};

/// What a model knows of one pair of images, in a form that can be stored.
struct InterferenceEstimate {
  std::string ServingImage_;
  /// Empty for the tail of the serving image alone.
  std::string FillerImage_;
  Estimate Value_;
};

/// A log-linear model for each serving image: the logarithm of its tail is
/// that of its tail alone, plus an effect for each filler image times the part
/// of the worker that it uses. Fitted by recursive least squares with
/// forgetting; single reports far off the prediction count only so much.
/// Adding a report is quadratic in the filler images seen beside the image.
class InterferenceModel {
public:
  /// Standard deviation of the logarithm of one report's tail: reports are
  /// rough figures of half a second.
  static constexpr double ReportDeviation = 0.3;

  InterferenceModel();
  ~InterferenceModel();
  InterferenceModel(InterferenceModel &&) noexcept;
  InterferenceModel &operator=(InterferenceModel &&) noexcept;

  /// Learns that a task of \p Serving had a tail of \p TailLatencyMs beside
  /// \p Fillers.
  void observe(std::string_view Serving, double TailLatencyMs,
               std::span<const FillerShare> Fillers);
  /// Returns the natural logarithm of the tail of \p Serving alone, in
  /// milliseconds; nothing known is 0 with a large deviation.
  Estimate baselineLog(std::string_view Serving) const;
  /// Returns what \p Filler adds to the logarithm of the tail of \p Serving
  /// when it takes a whole worker; the mean is at least 0.
  Estimate effect(std::string_view Serving, std::string_view Filler) const;

  /// Returns the filler images that were seen beside any serving image.
  const std::set<std::string, std::less<>> &fillerImages() const;

  /// Returns all that was learned, for a successor.
  std::vector<InterferenceEstimate> estimates() const;
  /// Starts from what a predecessor learned; effective for pairs of which
  /// nothing was observed here.
  void restore(std::span<const InterferenceEstimate> Pairs);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_INTERFERENCE_H
