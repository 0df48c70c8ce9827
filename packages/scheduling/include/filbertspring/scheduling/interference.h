#ifndef FILBERTSPRING_SCHEDULING_INTERFERENCE_H
#define FILBERTSPRING_SCHEDULING_INTERFERENCE_H

/// \file
/// A model of how much filler tasks of one image lengthen the tail latencies
/// of serving tasks of another image, fitted to the reports of workers.
///
/// A filler task uses the processors that other tasks leave idle. A serving
/// task is a long-running task that answers user requests.

#include <cstdint>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring::scheduling {

/// The processor usage of one filler that runs beside a serving task.
struct FillerShare {
  std::string_view Image_;
  /// Fraction of the worker's processors that the filler uses or would use.
  double Share_ = 0;
};

/// An estimated value and its uncertainty.
struct Estimate {
  double Mean_ = 0;
  /// Standard deviation.
  double Deviation_ = 0;
};

/// The model's estimate for one pair of images, in a form that can be stored.
struct InterferenceEstimate {
  std::string ServingImage_;
  /// Empty for the baseline: the tail latency without fillers.
  std::string FillerImage_;
  Estimate Value_;
};

/// A log-linear model for each serving image.
///
/// The logarithm of the tail latency is the sum of a baseline (the value
/// without fillers) and, for each filler image, an effect multiplied by the
/// fraction of the worker's processors that the filler uses. The model is
/// fitted by recursive least squares with a forgetting factor; the residual of
/// a single report is bounded. Adding a report is quadratic in the number of
/// filler images observed beside the serving image.
class InterferenceModel {
public:
  /// Standard deviation of the logarithm of the tail latency in one report. A
  /// report covers only half a second and is therefore noisy.
  static constexpr double ReportDeviation = 0.3;

  InterferenceModel();
  ~InterferenceModel();
  InterferenceModel(InterferenceModel &&) noexcept;
  InterferenceModel &operator=(InterferenceModel &&) noexcept;

  /// Updates the model with a report: a task of image \p Serving had the tail
  /// latency \p TailLatencyMs beside \p Fillers.
  void observe(std::string_view Serving, double TailLatencyMs,
               std::span<const FillerShare> Fillers);
  /// Returns the natural logarithm of the baseline of \p Serving, its tail
  /// latency in milliseconds without fillers. For an unknown image the mean is
  /// 0 and the deviation is large.
  Estimate baselineLog(std::string_view Serving) const;
  /// Returns what \p Filler adds to the logarithm of the tail latency of
  /// \p Serving when it uses all processors of a worker. The mean is at least
  /// 0.
  Estimate effect(std::string_view Serving, std::string_view Filler) const;

  /// Returns the filler images that were observed beside any serving image.
  const std::set<std::string, std::less<>> &fillerImages() const;

  /// Returns all estimates, to be stored for the next owner of the cell.
  std::vector<InterferenceEstimate> estimates() const;
  /// Initializes the model from the estimates of the previous owner. Serving
  /// images that this model has already observed are not changed.
  void restore(std::span<const InterferenceEstimate> Pairs);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_INTERFERENCE_H
