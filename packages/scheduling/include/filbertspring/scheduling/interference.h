#ifndef FILBERTSPRING_SCHEDULING_INTERFERENCE_H
#define FILBERTSPRING_SCHEDULING_INTERFERENCE_H

/// \file
/// Which fillers lengthen the tails of which serving tasks, learned from
/// workers' reports.

#include <memory>
#include <span>
#include <string_view>

namespace filbertspring::scheduling {

/// The work of one filler beside a serving task.
struct FillerShare {
  std::string_view Image_;
  /// Part of the worker's processors that it uses.
  double Share_ = 0;
};

/// What is known of a serving image beside a filler image.
enum class Effect { Unknown, Harmless, Harmful };

/// Sorts pairs of a serving and a filler image by elimination. Reports show
/// that most pairs have no effect at any share, and that a few lengthen tails
/// severalfold beyond a small share. So a filler is harmless once tails stayed
/// short beside it for a while, and harmful if a tail was long while all other
/// fillers beside it were known to be harmless. A caller that keeps at most
/// one unknown image on a worker learns from each report. Adding a report is
/// linear in the fillers.
class InterferenceModel {
public:
  InterferenceModel();
  ~InterferenceModel();
  InterferenceModel(InterferenceModel &&) noexcept;
  InterferenceModel &operator=(InterferenceModel &&) noexcept;

  /// Learns that a task of \p Serving had a tail of \p TailFraction of its
  /// target beside \p Fillers.
  void observe(std::string_view Serving, double TailFraction,
               std::span<const FillerShare> Fillers);
  Effect effect(std::string_view Serving, std::string_view Filler) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_INTERFERENCE_H
