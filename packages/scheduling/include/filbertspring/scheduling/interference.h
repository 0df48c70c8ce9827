#ifndef FILBERTSPRING_SCHEDULING_INTERFERENCE_H
#define FILBERTSPRING_SCHEDULING_INTERFERENCE_H

/// \file
/// How much fillers of one image lengthen the tails of serving tasks of
/// another, learned from workers' reports.

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace filbertspring::scheduling {

/// The work of one filler beside a serving task.
struct FillerShare {
  std::string_view Image_;
  /// Part of the worker's processors that it uses or would use.
  double Share_ = 0;
};

/// A linear model for each serving image: its tail alone, and the
/// milliseconds that each filler image adds when it takes the whole worker.
/// Fitted by recursive least squares with forgetting. Adding a report is
/// quadratic in the filler images seen beside the serving image.
class InterferenceModel {
public:
  InterferenceModel();
  ~InterferenceModel();
  InterferenceModel(InterferenceModel &&) noexcept;
  InterferenceModel &operator=(InterferenceModel &&) noexcept;

  /// Learns that a task of \p Serving had a tail of \p TailMs beside
  /// \p Fillers.
  void observe(std::string_view Serving, double TailMs,
               std::span<const FillerShare> Fillers);
  /// Returns the tail of \p Serving alone, in milliseconds; 0 if unknown.
  double baseTailMs(std::string_view Serving) const;
  /// Returns the milliseconds that \p Filler adds to \p Serving when it takes
  /// a whole worker, at least 0; 0 if unknown.
  double slope(std::string_view Serving, std::string_view Filler) const;
  /// Returns whether enough was seen of the pair to trust slope().
  bool isKnown(std::string_view Serving, std::string_view Filler) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_INTERFERENCE_H
