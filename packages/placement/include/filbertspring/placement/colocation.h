#ifndef FILBERTSPRING_PLACEMENT_COLOCATION_H
#define FILBERTSPRING_PLACEMENT_COLOCATION_H

/// \file
/// Decides which batch work may run beside which services, and what to do
/// when a service grows slow.

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
  /// Processors, as a fraction of the worker's.
  double Fraction_ = 0.0;
  /// Processor time that an eviction would lose.
  Duration WorkAtRisk_{};
};

/// A worker as one of its reports shows it.
struct ColocationReport {
  WorkerName Worker_;
  std::vector<ServiceReport> Services_;
  /// The batch tasks that run now.
  std::vector<ColocatedTask> Tasks_;
  /// The worker's clock now.
  WorkerTime Clock_ = 0;
};

/// Limits an attempt to a fraction of its processors.
struct ThrottleTask {
  AttemptRef Attempt_;
  double Fraction_ = 1.0;
};

/// Evicts an attempt with a checkpoint.
struct EvictTask {
  AttemptRef Attempt_;
};

using ColocationAction = std::variant<ThrottleTask, EvictTask>;

/// Settings of the policy.
struct ColocationSettings {
  InterferenceSettings Interference_;
  /// A task is placed when the predicted tail stays below this part of the
  /// service's latency target.
  double PlaceBelow_ = 1.0;
  /// Deviations added to a prediction before a task is placed: 3.09 of them
  /// are exceeded once in a thousand measurements, a tenth of the error budget
  /// of an objective of 0.99.
  double Caution_ = 3.09;
  /// How much of a worker's peak load is forgotten with each report.
  double PeakDecay_ = 0.0005;
  /// Throttled tasks get their processors back below this part.
  double RelaxBelow_ = 0.7;
  /// Above this part of the target a task is evicted rather than throttled.
  double EvictAbove_ = 1.5;
  /// The fraction to which tasks are throttled.
  double Throttled_ = 0.5;
  /// How far back the batch work of a worker is remembered.
  Duration History_ = std::chrono::minutes(3);
};

/// The policy for the workers of one scheduler. It acts on a worker only by a
/// measurement that is newer than its last action there, so that one slow
/// moment is not answered many times. Not thread-safe.
class ColocationPolicy {
public:
  explicit ColocationPolicy(ColocationSettings Settings = {})
      : Settings_(Settings), Model_(Settings.Interference_) {}

  /// Sets the latency targets of all services.
  void setLatencyTargets(std::map<ServiceName, Duration> Targets);

  /// Takes in a report and returns what to do on that worker: at most one
  /// throttle or eviction. Linear in its tasks and the remembered history.
  std::vector<ColocationAction> observe(const ColocationReport &Report);

  /// Returns true when a task of \p Kind that uses \p Fraction of the
  /// processors of \p Worker may run beside its services.
  bool admits(const WorkerName &Worker, const BatchKindName &Kind,
              double Fraction) const;

  /// Counts a task that was placed, until the next report shows it.
  void addPlacement(const WorkerName &Worker, const BatchKindName &Kind,
                    double Fraction);

  const InterferenceModel &model() const { return Model_; }

private:
  /// The batch work of a worker from a time on.
  struct MixSince {
    WorkerTime From_ = 0;
    BatchMix Mix_;
  };
  struct WorkerView {
    std::vector<ServiceReport> Services_;
    std::vector<MixSince> History_;
    BatchMix Now_;
    std::map<AttemptRef, double> Throttled_;
    WorkerTime LastAction_ = 0;
    std::map<ServiceName, WorkerTime> Learned_;
    /// The highest load seen, slowly forgotten.
    std::map<ServiceName, double> PeakLoad_;
  };

  void learn(WorkerView &View, const ColocationReport &Report);
  void remember(WorkerView &View, const ColocationReport &Report) const;
  std::optional<ServiceReport> worstService(const WorkerView &View) const;
  double excess(const ServiceReport &Service) const;
  std::vector<ColocationAction> react(WorkerView &View,
                                      const ColocationReport &Report);
  std::optional<ColocationAction> relieve(WorkerView &View,
                                          const ColocationReport &Report,
                                          const ServiceReport &Worst) const;

  ColocationSettings Settings_;
  InterferenceModel Model_;
  std::map<ServiceName, Duration> Targets_;
  std::map<WorkerName, WorkerView> Workers_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_COLOCATION_H
