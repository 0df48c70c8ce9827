#ifndef FILBERTSPRING_PLACEMENT_INTERFERENCE_H
#define FILBERTSPRING_PLACEMENT_INTERFERENCE_H

/// \file
/// Estimates how much colocated batch work raises the tail latency of services,
/// from delayed measurements.

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
  /// The CPU that it may use, as a fraction of the worker's CPU.
  double Fraction_ = 0.0;
};

/// All batch work on a worker, with one entry per kind.
using BatchMix = std::vector<KindUse>;

/// A measurement of one service on one worker.
struct TailSample {
  ServiceName Service_;
  Duration P99_{};
  /// Requests per second.
  double Load_ = 0.0;
  /// The batch work on the worker at the time of the measurement.
  BatchMix Mix_;
};

/// A predicted tail latency.
struct TailPrediction {
  Duration Expected_{};
  /// Standard deviation of the logarithm of a future measurement. It combines
  /// the uncertainty of the estimates and the noise of measurements.
  double Deviation_ = 0.0;
};

/// Parameters of InterferenceModel.
struct InterferenceSettings {
  /// Prior for a pair of service and kind without measurements: mean and
  /// standard deviation of the logarithm of the slowdown when the kind uses the
  /// whole worker.
  double PriorSlowdown_ = 0.3;
  double PriorDeviation_ = 1.0;
  /// Initial standard deviation of the logarithm of one measurement.
  double MeasurementDeviation_ = 0.25;
  /// Variance added to an estimate with each measurement, so that the estimate
  /// can follow a change.
  double ProcessNoise_ = 0.0005;
};

/// Estimates, for each pair of a service and a kind of batch work, a linear
/// coefficient and its variance: the logarithm of the slowdown per fraction of
/// the worker that the kind uses. The estimator is a Kalman filter with
/// independent coefficients. Not thread-safe.
class InterferenceModel {
public:
  explicit InterferenceModel(InterferenceSettings Settings = {})
      : Settings_(Settings) {}

  /// Updates the estimates with \p Sample. Linear in the kinds of its mix.
  void observe(const TailSample &Sample);

  /// Predicts the 99th percentile latency of \p Service at \p Load beside
  /// \p Mix. Returns std::nullopt for a service without measurements.
  std::optional<TailPrediction> predict(const ServiceName &Service, double Load,
                                        const BatchMix &Mix) const;

  /// Returns the expected logarithm of the slowdown of \p Service when \p Kind
  /// uses a whole worker.
  double slowdown(const ServiceName &Service, const BatchKindName &Kind) const;

private:
  struct Coefficient {
    double Mean_ = 0.0;
    double Variance_ = 0.0;
  };
  using ServiceKind = std::pair<ServiceName, BatchKindName>;

  Coefficient coefficientOf(const ServiceName &Service,
                            const BatchKindName &Kind) const;
  std::optional<double> baselineAt(const ServiceName &Service,
                                   double Load) const;
  double residualVariance(const ServiceName &Service) const;
  void updateResidual(const ServiceName &Service, double Innovation);
  void updateBaseline(const TailSample &Sample, double Explained);

  /// Number of load bands of a baseline. Each band spans a factor of two.
  static constexpr std::size_t LoadBands = 24;
  /// Logarithm of the latency in microseconds without batch work, by load band;
  /// empty for bands without measurements.
  using Baseline = std::array<std::optional<double>, LoadBands>;
  static std::size_t loadBand(double Load);

  InterferenceSettings Settings_;
  std::map<ServiceKind, Coefficient> Coefficients_;
  std::map<ServiceName, Baseline> Baselines_;
  /// Variance of the logarithm of measurements around the estimates.
  std::map<ServiceName, double> ResidualVariances_;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_INTERFERENCE_H
