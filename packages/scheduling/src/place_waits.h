#ifndef FILBERTSPRING_SCHEDULING_PLACE_WAITS_H
#define FILBERTSPRING_SCHEDULING_PLACE_WAITS_H

/// \file
/// The racks that steps name, the steps that wait for them, and the processors
/// that those want.

#include "filbertspring/scheduling/scheduler.h"
#include "place_wait.h"
#include "rack_activity.h"

#include <array>
#include <compare>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace filbertspring::scheduling {

/// The places on one rack for one kind of work: fillers use other processors
/// than the rest.
struct RackKey {
  std::string Service_;
  std::string Rack_;
  bool IsFiller_ = false;

  friend auto operator<=>(const RackKey &, const RackKey &) = default;
};

/// Returns the name of the rack of workers with \p Labels if it is not known
/// which of these is the rack: workers that share all of them share it, too.
std::string rackName(std::span<const std::string> Labels);

/// A step of a job whose tasks wait.
struct StepKey {
  std::string Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;

  friend auto operator<=>(const StepKey &, const StepKey &) = default;
};

/// Processors of some workers and what is used of them, in thousandths.
struct ProcessorUse {
  double Total_ = 0;
  /// Held by runs that end, without fillers, and by long-running ones.
  double Ending_ = 0;
  double LongRunning_ = 0;
  /// Requested by fillers.
  double Fillers_ = 0;

  ProcessorUse &operator+=(const ProcessorUse &Other);
  ProcessorUse &operator-=(const ProcessorUse &Other);
  /// Returns the fraction that is in use for work of the kind.
  double fraction(bool IsFiller) const;
};

/// The end of a wait.
struct EndedPlaceWait {
  bool IsNear_ = false;
  Duration Waited_{};
};

class PlaceWaits {
public:
  /// Returns whether any step has named a rack lately. All other functions may
  /// be skipped otherwise.
  bool isActive() const { return !Racks_.empty(); }

  /// Begins a placement pass; addWorker() follows for each worker that gets
  /// tasks, then endSampling().
  void beginPass(TimePoint Now);
  /// \p Position: of the worker among those of the pass. \p IsSource: it gets
  /// tasks as soon as its runs end.
  void addWorker(const std::string &Service,
                 std::span<const std::string> Labels, std::size_t Position,
                 const ProcessorUse &Use, bool IsSource);
  void endSampling(TimePoint Now);

  /// Starts to learn about \p Key.
  void track(const RackKey &Key, TimePoint Now);
  bool isTracked(const RackKey &Key) const { return Racks_.contains(Key); }
  /// Returns the positions of the workers of \p Key in this pass.
  std::span<const std::size_t> workersOf(const RackKey &Key) const;
  /// A run that held \p MilliCpu ended on a worker with \p Labels.
  void noteRelease(const std::string &Service,
                   std::span<const std::string> Labels, bool IsFiller,
                   double MilliCpu, TimePoint Now);

  /// Sets what is known of the rack \p Key in \p Input, for \p Tasks tasks that
  /// need \p MilliCpu each.
  void describe(const RackKey &Key, double MilliCpu, std::size_t Tasks,
                PlaceWaitInput &Input, TimePoint Now) const;
  /// The \p Tasks tasks of \p Step wait in this pass. Returns whether they did
  /// not before.
  bool noteWait(const StepKey &Step, const RackKey &Key, double MilliCpu,
                std::size_t Tasks, TimePoint Now);
  /// Returns whether \p Step waits or waited in an earlier pass.
  bool hasWaited(const StepKey &Step) const { return Waiting_.contains(Step); }
  /// Returns whether \p Step waits in this pass.
  bool isWaiting(const StepKey &Step) const;
  /// A task that names \p Key is placed, the last of those of \p Step that are
  /// waiting if \p IsLast. Returns the wait that ends with it.
  std::optional<EndedPlaceWait> notePlaced(const StepKey &Step,
                                           const RackKey &Key, double MilliCpu,
                                           bool IsNear, bool IsLast,
                                           TimePoint Now);
  /// Returns whether tasks wait for the worker at \p Position in this pass.
  /// Others should use different ones.
  bool isWanted(std::size_t Position, bool IsFiller) const {
    const std::vector<bool> &Wanted = Wanted_[IsFiller ? 1 : 0];
    return Position < Wanted.size() && Wanted[Position];
  }

  RunTimes &runTimes() { return RunTimes_; }
  const RunTimes &runTimes() const { return RunTimes_; }
  const PlaceWaitCounts &counts() const { return Counts_; }

private:
  struct Rack {
    RackActivity Activity_;
    /// Of its workers that get tasks, and of those among them that get tasks as
    /// soon as their runs end, in this pass.
    ProcessorUse Use_{};
    ProcessorUse Sources_{};
    std::vector<std::size_t> Workers_{};
    /// What tasks that wait in this pass want.
    double Ahead_ = 0;
    /// Until when other tasks avoid it.
    TimePoint WantedUntil_{};
    TimePoint LastNamedAt_{};
  };
  struct WaitingStep {
    TimePoint Since_;
    TimePoint LastSeenAt_;
  };

  struct RackOfWorkers {
    bool IsFiller_ = false;
    Rack *Rack_ = nullptr;
  };

  /// Returns the known racks of the workers with \p Labels.
  const std::vector<RackOfWorkers> &
  racksOf(const std::string &Service, std::span<const std::string> Labels);
  void markWanted(const Rack &Wanted, bool IsFiller);
  Rack *find(const RackKey &Key);
  const Rack *find(const RackKey &Key) const;

  std::map<RackKey, Rack> Racks_;
  std::map<std::string, ProcessorUse> Services_;
  std::map<StepKey, WaitingStep> Waiting_;
  PlaceWaitCounts Counts_;
  RunTimes RunTimes_;
  TimePoint PassAt_{};
  TimePoint NextCleanupAt_{};
  /// By the service and the labels; cleared when Racks_ gets or loses one.
  std::unordered_map<std::string, std::vector<RackOfWorkers>> RacksOfWorkers_;
  /// The workers that tasks wait for, those for other work and for fillers, by
  /// their positions in the pass; empty if there is none.
  std::array<std::vector<bool>, 2> Wanted_;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_PLACE_WAITS_H
