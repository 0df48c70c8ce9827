#ifndef FILBERTSPRING_PLACEMENT_COLOCATION_H
#define FILBERTSPRING_PLACEMENT_COLOCATION_H

/// \file
/// Admission, throttling and eviction of batch tasks on workers that also run
/// services with a latency target.

#include "filbertspring/domain/worker_protocol.h"
#include "filbertspring/placement/interference.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace filbertspring::placement {

/// A batch task on a worker.
struct ColocatedTask {
  AttemptRef Attempt_;
  BatchKindName Kind_;
  /// CPU size of the task, as a fraction of the worker's CPU.
  double Fraction_ = 0.0;
  /// CPU time that an eviction would lose.
  Duration WorkAtRisk_{};
};

/// The services and batch tasks in one report of a worker.
struct ColocationReport {
  WorkerName Worker_;
  std::vector<ServiceReport> Services_;
  /// The batch tasks that are running.
  std::vector<ColocatedTask> Tasks_;
  /// The worker's clock when it made the report.
  WorkerTime Clock_ = 0;
};

/// Limits an attempt to a fraction of its CPU; a fraction of 1 ends the limit.
struct ThrottleTask {
  AttemptRef Attempt_;
  double Fraction_ = 1.0;
};

/// Stops an attempt after it has written a checkpoint.
struct EvictTask {
  AttemptRef Attempt_;
};

using ColocationAction = std::variant<ThrottleTask, EvictTask>;

/// Parameters of ColocationPolicy. A ratio is a tail latency divided by the
/// latency target of its service.
struct ColocationSettings {
  InterferenceSettings Interference_;
  /// A task is admitted when the predicted ratio of each service on the worker
  /// is at most this.
  double MaxPlacementRatio_ = 1.0;
  /// Standard deviations added to a prediction before it is compared with
  /// MaxPlacementRatio_. One measurement in a thousand exceeds 3.09 of them: a
  /// tenth of the error budget of an objective of 0.99.
  double SafetyDeviations_ = 3.09;
  /// Part of the peak load of a service that decays with each report.
  double PeakLoadDecay_ = 0.0005;
  /// The throttle of a task is lifted when all ratios are below this.
  double UnthrottleBelowRatio_ = 0.7;
  /// A task is evicted rather than throttled when a ratio is above this.
  double EvictAboveRatio_ = 1.5;
  /// The fraction of its CPU that a throttled task keeps.
  double ThrottledFraction_ = 0.5;
  /// How long the batch mixes of a worker are kept. A measurement arrives late
  /// and is matched with the mix at its time.
  Duration HistoryLength_ = std::chrono::minutes(3);
};

/// The colocation policy for the workers of one scheduler. It acts on a worker
/// only if the measurement is newer than its last action on that worker, so
/// that it does not react to one latency spike more than once. Not
/// thread-safe.
class ColocationPolicy {
public:
  explicit ColocationPolicy(ColocationSettings Settings = {})
      : Settings_(Settings), Model_(Settings.Interference_) {}

  /// Sets the latency targets of all services.
  void setLatencyTargets(std::map<ServiceName, Duration> Targets);

  /// Processes \p Report and returns the actions for its worker: at most one
  /// throttle, end of a throttle or eviction. Linear in the tasks and in the
  /// kept history of the worker.
  std::vector<ColocationAction> observe(const ColocationReport &Report);

  /// Returns true when a task of \p Kind that uses \p Fraction of the CPU of
  /// \p Worker may run beside its services.
  bool admits(const WorkerName &Worker, const BatchKindName &Kind,
              double Fraction) const;

  /// Returns true when such a task may run there if no other batch task does.
  bool admitsAlone(const WorkerName &Worker, const BatchKindName &Kind,
                   double Fraction) const;

  /// Adds a task to the batch mix of \p Worker. The next report of the worker
  /// replaces the mix.
  void addPlacement(const WorkerName &Worker, const BatchKindName &Kind,
                    double Fraction);

  const InterferenceModel &model() const { return Model_; }

private:
  /// The batch work of a worker from a point in time on.
  struct TimedMix {
    WorkerTime Since_ = 0;
    BatchMix Mix_;
  };
  struct WorkerView {
    std::vector<ServiceReport> Services_;
    std::vector<TimedMix> History_;
    BatchMix CurrentMix_;
    std::map<AttemptRef, double> ThrottledFractions_;
    WorkerTime LastAction_ = 0;
    /// The measurement of each service that the model has seen last.
    std::map<ServiceName, WorkerTime> LastMeasuredAt_;
    /// Exponentially decaying maximum of the load of each service.
    std::map<ServiceName, double> PeakLoad_;
  };

  bool admitsMix(const WorkerView &View, const BatchMix &Mix) const;
  void updateModel(WorkerView &View, const ColocationReport &Report);
  void updateView(WorkerView &View, const ColocationReport &Report) const;
  std::optional<ServiceReport> worstService(const WorkerView &View) const;
  double latencyRatio(const ServiceReport &Service) const;
  std::vector<ColocationAction> chooseActions(WorkerView &View,
                                              const ColocationReport &Report);
  std::optional<ColocationAction>
  throttleOrEvict(WorkerView &View, const ColocationReport &Report,
                  const ServiceReport &Worst) const;

  ColocationSettings Settings_;
  InterferenceModel Model_;
  std::map<ServiceName, Duration> Targets_;
  std::map<WorkerName, WorkerView> Workers_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_COLOCATION_H
