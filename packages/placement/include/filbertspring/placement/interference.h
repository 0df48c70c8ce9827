#ifndef FILBERTSPRING_PLACEMENT_INTERFERENCE_H
#define FILBERTSPRING_PLACEMENT_INTERFERENCE_H

/// \file
/// Estimates how much batch work slows the services beside it, from lagging
/// measurements.

#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace filbertspring::placement {

/// The batch work of one kind on a worker.
struct KindUse {
  BatchKindName Kind_;
  /// Processors that it may use, as a fraction of the worker's.
  double Fraction_ = 0.0;
};

/// All batch work on a worker, by kind.
using BatchMix = std::vector<KindUse>;

/// A measurement of one service on one worker.
struct TailSample {
  ServiceName Service_;
  Duration P99_{};
  /// Requests per second.
  double Load_ = 0.0;
  /// The batch work beside it when it was measured.
  BatchMix Mix_;
};

/// A predicted tail latency.
struct TailPrediction {
  Duration Expected_{};
  /// One standard deviation of the logarithm of a measurement: what the
  /// estimates leave open, and how far measurements scatter around them.
  double Deviation_ = 0.0;
};

/// Settings of the estimates.
struct InterferenceSettings {
  /// What is assumed of a pair that was never seen: the logarithm of the
  /// slowdown when the kind fills the worker, and its deviation.
  double PriorSlowdown_ = 0.3;
  double PriorDeviation_ = 1.0;
  /// Deviation of the logarithm of one measurement.
  double MeasurementDeviation_ = 0.25;
  /// Growth of an estimate's variance with each measurement, so that it can
  /// follow a change.
  double Drift_ = 0.0005;
};

/// For each pair of a service and a kind of batch work, the logarithm of the
/// slowdown per fraction of the worker that the kind uses, with its variance.
/// A Kalman filter with independent coefficients. Not thread-safe.
class InterferenceModel {
public:
  explicit InterferenceModel(InterferenceSettings Settings = {})
      : Settings_(Settings) {}

  /// Takes in a measurement. Linear in the kinds of its mix.
  void observe(const TailSample &Sample);

  /// Predicts the tail of \p Service at \p Load beside \p Mix; nothing before
  /// the service was measured.
  std::optional<TailPrediction> predict(const ServiceName &Service, double Load,
                                        const BatchMix &Mix) const;

  /// Returns the expected logarithm of the slowdown of \p Service when \p Kind
  /// fills a worker.
  double slowdown(const ServiceName &Service, const BatchKindName &Kind) const;

private:
  struct Coefficient {
    double Mean_ = 0.0;
    double Variance_ = 0.0;
  };
  using Pair = std::pair<ServiceName, BatchKindName>;

  Coefficient coefficientOf(const ServiceName &Service,
                            const BatchKindName &Kind) const;
  std::optional<double> baseline(const ServiceName &Service, double Load) const;
  double residual(const ServiceName &Service) const;
  void learnResidual(const ServiceName &Service, double Surprise);
  void learnBaseline(const TailSample &Sample, double Explained);

  /// Baselines are kept by powers of two of the load.
  static constexpr std::size_t LoadBands = 24;
  /// The logarithm of the latency in microseconds, when there is one.
  using Baseline = std::array<std::optional<double>, LoadBands>;
  static std::size_t bandOf(double Load);

  InterferenceSettings Settings_;
  std::map<Pair, Coefficient> Coefficients_;
  std::map<ServiceName, Baseline> Baselines_;
  /// Variance of what the estimates do not explain.
  std::map<ServiceName, double> Residuals_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_INTERFERENCE_H
