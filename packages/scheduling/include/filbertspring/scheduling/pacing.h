#ifndef FILBERTSPRING_SCHEDULING_PACING_H
#define FILBERTSPRING_SCHEDULING_PACING_H

/// \file
/// How fast fillers may work beside tasks that serve users.

namespace filbertspring::scheduling {

/// The share of their speed at which the fillers of one worker may work,
/// steered by the tail latency of the serving tasks beside them: cut at once
/// when a tail nears its target, raised slowly when all tails are well below.
class FillPace {
public:
  /// Takes the highest tail on the worker as a fraction of its target.
  void observe(double TailFraction);
  /// No serving task is left on the worker.
  void clear() { Percent_ = 100; }
  /// 0 to 100.
  int percent() const { return Percent_; }

private:
  int Percent_ = 100;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_PACING_H
