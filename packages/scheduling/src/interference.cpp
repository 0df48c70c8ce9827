#include "filbertspring/scheduling/interference.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace filbertspring::scheduling {
namespace {

/// Weight of what was known before one more report: about the last 2,000
/// reports of an image count.
constexpr double Forgetting = 0.9995;
constexpr double ReportDeviation = InterferenceModel::ReportDeviation;
/// Prior standard deviation of an effect: a filler on a tenth of a worker that
/// triples a tail has an effect of 11.
constexpr double EffectDeviation = 6.0;
/// Prior standard deviation of the logarithm of a tail alone: tails from some
/// tenths of a millisecond to some hundred milliseconds.
constexpr double AloneDeviation = 4.0;
/// A report further off the prediction counts as this far off: a stall of a
/// worker says nothing about its fillers.
constexpr double LargestSurprise = 1.0;
/// The reports after which single ones no longer move the tail alone much.
constexpr int SettlingReports = 20;
/// The most filler images kept for a serving image.
constexpr std::size_t MaxFillerImages = 40;

double varianceOf(double Deviation) {
  double Relative = Deviation / ReportDeviation;
  return Relative * Relative;
}

/// The fit for one serving image. Coefficient 0 is the logarithm of its tail
/// alone. Variances are in units of that of one report.
struct Fit {
  std::map<std::string, std::size_t, std::less<>> Columns_;
  std::vector<double> Coefficients_{0.0};
  std::vector<std::vector<double>> Covariance_{{varianceOf(AloneDeviation)}};
  int Reports_ = 0;

  /// Returns the column of \p Filler; 0 if there are too many.
  std::size_t column(std::string_view Filler) {
    auto Found = Columns_.find(Filler);
    if (Found != Columns_.end())
      return Found->second;
    if (Columns_.size() >= MaxFillerImages)
      return 0;
    std::size_t Added = Coefficients_.size();
    Columns_.emplace(Filler, Added);
    Coefficients_.push_back(0.0);
    for (std::vector<double> &Row : Covariance_)
      Row.push_back(0.0);
    Covariance_.emplace_back(Added + 1, 0.0);
    Covariance_.back().back() = varianceOf(EffectDeviation);
    return Added;
  }

  Estimate estimate(std::size_t Column) const {
    return {Coefficients_[Column],
            std::sqrt(std::max(0.0, Covariance_[Column][Column])) *
                ReportDeviation};
  }

  void update(const std::vector<double> &Input, double Observed) {
    std::size_t Size = Input.size();
    std::vector<double> Gain(Size, 0.0);
    double Scale = Forgetting;
    double Error = Observed;
    for (std::size_t Row = 0; Row < Size; ++Row) {
      for (std::size_t Column = 0; Column < Size; ++Column)
        Gain[Row] += Covariance_[Row][Column] * Input[Column];
      Scale += Input[Row] * Gain[Row];
      Error -= Input[Row] * Coefficients_[Row];
    }
    if (++Reports_ > SettlingReports)
      Error = std::clamp(Error, -LargestSurprise, LargestSurprise);
    for (std::size_t Row = 0; Row < Size; ++Row)
      Coefficients_[Row] += Gain[Row] * Error / Scale;
    for (std::size_t Row = 0; Row < Size; ++Row)
      for (std::size_t Column = 0; Column < Size; ++Column) {
        double &Cell = Covariance_[Row][Column];
        Cell = (Cell - Gain[Row] * Gain[Column] / Scale) / Forgetting;
        // Directions without news must not grow without bound.
        if (Row == Column)
          Cell = std::min(Cell, varianceOf(EffectDeviation));
      }
  }
};

} // namespace

struct InterferenceModel::Impl {
  std::map<std::string, Fit, std::less<>> Fits_;
  std::set<std::string, std::less<>> FillerImages_;

  /// Returns the column of \p Filler in \p Of.
  std::size_t column(Fit &Of, std::string_view Filler) {
    if (!FillerImages_.contains(Filler))
      FillerImages_.emplace(Filler);
    return Of.column(Filler);
  }

  const Fit *find(std::string_view Serving) const {
    auto Found = Fits_.find(Serving);
    return Found == Fits_.end() ? nullptr : &Found->second;
  }
};

InterferenceModel::InterferenceModel() : Impl_(std::make_unique<Impl>()) {}
InterferenceModel::~InterferenceModel() = default;
InterferenceModel::InterferenceModel(InterferenceModel &&) noexcept = default;
InterferenceModel &
InterferenceModel::operator=(InterferenceModel &&) noexcept = default;

void InterferenceModel::observe(std::string_view Serving, double TailLatencyMs,
                                std::span<const FillerShare> Fillers) {
  if (TailLatencyMs <= 0)
    return;
  Fit &Of = Impl_->Fits_[std::string(Serving)];
  for (const FillerShare &Filler : Fillers)
    Impl_->column(Of, Filler.Image_);
  std::vector<double> Input(Of.Coefficients_.size(), 0.0);
  Input[0] = 1.0;
  for (const FillerShare &Filler : Fillers) {
    std::size_t Column = Of.column(Filler.Image_);
    if (Column != 0)
      Input[Column] += Filler.Share_;
  }
  Of.update(Input, std::log(TailLatencyMs));
}

Estimate InterferenceModel::baselineLog(std::string_view Serving) const {
  const Fit *Of = Impl_->find(Serving);
  return Of ? Of->estimate(0) : Estimate{0.0, AloneDeviation};
}

Estimate InterferenceModel::effect(std::string_view Serving,
                                   std::string_view Filler) const {
  const Fit *Of = Impl_->find(Serving);
  if (!Of)
    return {0.0, EffectDeviation};
  auto Column = Of->Columns_.find(Filler);
  if (Column == Of->Columns_.end())
    return {0.0, EffectDeviation};
  Estimate Found = Of->estimate(Column->second);
  Found.Mean_ = std::max(0.0, Found.Mean_);
  return Found;
}

const std::set<std::string, std::less<>> &
InterferenceModel::fillerImages() const {
  return Impl_->FillerImages_;
}

std::vector<InterferenceEstimate> InterferenceModel::estimates() const {
  std::vector<InterferenceEstimate> Pairs;
  for (const auto &[Serving, Of] : Impl_->Fits_) {
    Pairs.push_back({Serving, "", Of.estimate(0)});
    for (const auto &[Filler, Column] : Of.Columns_)
      Pairs.push_back({Serving, Filler, Of.estimate(Column)});
  }
  return Pairs;
}

void InterferenceModel::restore(std::span<const InterferenceEstimate> Pairs) {
  for (const InterferenceEstimate &Pair : Pairs) {
    Fit &Of = Impl_->Fits_[Pair.ServingImage_];
    bool IsAlone = Pair.FillerImage_.empty();
    std::size_t Column = IsAlone ? 0 : Impl_->column(Of, Pair.FillerImage_);
    if (Of.Reports_ != 0 || (!IsAlone && Column == 0))
      continue;
    Of.Coefficients_[Column] = Pair.Value_.Mean_;
    Of.Covariance_[Column][Column] = std::min(
        varianceOf(Pair.Value_.Deviation_), varianceOf(EffectDeviation));
  }
}

} // namespace filbertspring::scheduling
