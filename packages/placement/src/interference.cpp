#include "filbertspring/placement/interference.h"

#include <algorithm>
#include <cmath>

namespace filbertspring::placement {
namespace {

/// Smoothing weights of a measurement in the baseline. The weight is lower
/// beside batch work, where the share of the batch work is only an estimate.
constexpr double AloneWeight = 0.2;
constexpr double SharedWeight = 0.02;
/// Smoothing weight of a measurement in the residual variance of its service.
constexpr double ResidualWeight = 0.005;

double logOf(Duration Value) {
  return std::log(std::max(1.0, static_cast<double>(Value.count())));
}

} // namespace

std::size_t InterferenceModel::loadBand(double Load) {
  double Band = Load < 1.0 ? 0.0 : std::floor(std::log2(Load)) + 1.0;
  return std::min(static_cast<std::size_t>(Band), LoadBands - 1);
}

InterferenceModel::Coefficient
InterferenceModel::coefficientOf(const ServiceName &Service,
                                 const BatchKindName &Kind) const {
  auto Found = Coefficients_.find({Service, Kind});
  if (Found != Coefficients_.end())
    return Found->second;
  return {Settings_.PriorSlowdown_,
          Settings_.PriorDeviation_ * Settings_.PriorDeviation_};
}

/// Returns the baseline of the band of \p Load, or of the nearest band that has
/// one.
std::optional<double> InterferenceModel::baselineAt(const ServiceName &Service,
                                                    double Load) const {
  auto Found = Baselines_.find(Service);
  if (Found == Baselines_.end())
    return std::nullopt;
  std::size_t Band = loadBand(Load);
  for (std::size_t Distance = 0; Distance < LoadBands; ++Distance) {
    if (Band >= Distance && Found->second[Band - Distance])
      return Found->second[Band - Distance];
    if (Band + Distance < LoadBands && Found->second[Band + Distance])
      return Found->second[Band + Distance];
  }
  return std::nullopt;
}

void InterferenceModel::updateBaseline(const TailSample &Sample,
                                       double Explained) {
  std::optional<double> &Entry =
      Baselines_[Sample.Service_][loadBand(Sample.Load_)];
  double Alone = logOf(Sample.P99_) - Explained;
  double Weight = Sample.Mix_.empty() ? AloneWeight : SharedWeight;
  Entry = Entry ? *Entry + Weight * (Alone - *Entry) : Alone;
}

double InterferenceModel::residualVariance(const ServiceName &Service) const {
  auto Found = ResidualVariances_.find(Service);
  if (Found != ResidualVariances_.end())
    return Found->second;
  return Settings_.MeasurementDeviation_ * Settings_.MeasurementDeviation_;
}

void InterferenceModel::updateResidual(const ServiceName &Service,
                                       double Innovation) {
  double Before = residualVariance(Service);
  ResidualVariances_[Service] =
      Before + ResidualWeight * (Innovation * Innovation - Before);
}

void InterferenceModel::observe(const TailSample &Sample) {
  double Explained = 0.0;
  double Total = residualVariance(Sample.Service_);
  for (const KindUse &Use : Sample.Mix_) {
    Coefficient Entry = coefficientOf(Sample.Service_, Use.Kind_);
    Explained += Use.Fraction_ * Entry.Mean_;
    Total += Use.Fraction_ * Use.Fraction_ * Entry.Variance_;
  }
  std::optional<double> Base = baselineAt(Sample.Service_, Sample.Load_);
  updateBaseline(Sample, Explained);
  if (!Base)
    return;
  double Innovation = logOf(Sample.P99_) - *Base - Explained;
  updateResidual(Sample.Service_, Innovation);
  for (const KindUse &Use : Sample.Mix_) {
    Coefficient Entry = coefficientOf(Sample.Service_, Use.Kind_);
    double Gain = Entry.Variance_ * Use.Fraction_ / Total;
    Entry.Mean_ = std::max(0.0, Entry.Mean_ + Gain * Innovation);
    Entry.Variance_ *= 1.0 - Gain * Use.Fraction_;
    Entry.Variance_ += Settings_.ProcessNoise_;
    Coefficients_[{Sample.Service_, Use.Kind_}] = Entry;
  }
}

std::optional<TailPrediction>
InterferenceModel::predict(const ServiceName &Service, double Load,
                           const BatchMix &Mix) const {
  std::optional<double> Base = baselineAt(Service, Load);
  if (!Base)
    return std::nullopt;
  double Mean = *Base;
  double Variance = residualVariance(Service);
  for (const KindUse &Use : Mix) {
    Coefficient Entry = coefficientOf(Service, Use.Kind_);
    Mean += Use.Fraction_ * Entry.Mean_;
    Variance += Use.Fraction_ * Use.Fraction_ * Entry.Variance_;
  }
  return TailPrediction{Duration(static_cast<Duration::rep>(std::exp(Mean))),
                        std::sqrt(Variance)};
}

double InterferenceModel::slowdown(const ServiceName &Service,
                                   const BatchKindName &Kind) const {
  return coefficientOf(Service, Kind).Mean_;
}

} // namespace filbertspring::placement
