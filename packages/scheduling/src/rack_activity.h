#ifndef FILBERTSPRING_SCHEDULING_RACK_ACTIVITY_H
#define FILBERTSPRING_SCHEDULING_RACK_ACTIVITY_H

/// \file
/// What is learned about the racks that steps name: how fast their places
/// become free, how many tasks want them, and how long tasks run.

#include "filbertspring/base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace filbertspring::scheduling {

/// A sum whose entries lose their weight exponentially.
class DecayingSum {
public:
  explicit DecayingSum(Duration TimeConstant) : TimeConstant_(TimeConstant) {}

  void add(double Amount, TimePoint Now);
  double at(TimePoint Now) const;

private:
  Duration TimeConstant_;
  double Sum_ = 0;
  TimePoint UpdatedAt_{};
};

/// The rates of one rack, in thousandths of a processor per second.
class RackActivity {
public:
  explicit RackActivity(TimePoint Now);

  /// A run that held \p MilliCpu ended.
  void noteRelease(double MilliCpu, TimePoint Now);
  /// The runs that will end hold \p MilliCpu from now on.
  void noteOccupied(double MilliCpu, TimePoint Now);
  /// A task that prefers the rack was placed, here or elsewhere.
  void noteDemand(double MilliCpu, TimePoint Now);
  /// A wait for the rack has ended.
  void noteOutcome(bool IsNear, TimePoint Now);

  /// Returns the expected rate at which runs release processors: the fraction
  /// of them that ended in a second lately, of those that are held now. Runs
  /// that hang lower it. 0 until enough is known.
  double releaseRate(TimePoint Now) const;
  double demandRate(TimePoint Now) const;
  /// Returns the fraction of the recent waits that ended near the data; 1
  /// without any.
  double successRate(TimePoint Now) const;

private:
  TimePoint Since_;
  TimePoint SampledAt_;
  double Occupied_ = 0;
  DecayingSum Released_;
  DecayingSum Held_;
  DecayingSum Demand_;
  DecayingSum Waits_;
  DecayingSum NearWaits_;
};

/// The run times of tasks near their data, by kind of task. Estimates of
/// callers may be off by most of their value, so that the usual run time of the
/// kind can be a better guess, unless its tasks differ more than that.
class RunTimes {
public:
  /// \p Estimate: of the caller.
  void note(const std::string &Kind, Duration Estimate, Duration Actual);
  /// Returns the expected run time of a task of \p Kind.
  Duration expected(const std::string &Kind, Duration Estimate) const;

private:
  /// Means of logarithms, so that factors in both directions weigh the same.
  struct Entry {
    std::uint32_t Count_ = 0;
    double MeanLog_ = 0;
    double EstimateError_ = 0;
    double MeanError_ = 0;
  };
  std::map<std::string, Entry> Entries_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_RACK_ACTIVITY_H
