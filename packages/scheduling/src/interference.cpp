#include "filbertspring/scheduling/interference.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace filbertspring::scheduling {
namespace {

/// Weight of the previous reports at each new one: about the last 2,000 reports
/// of an image count.
constexpr double ForgettingFactor = 0.9995;
constexpr double InverseForgettingFactor = 1 / ForgettingFactor;
constexpr double ReportDeviation = InterferenceModel::ReportDeviation;
/// Prior standard deviation of an effect. For scale: a filler that uses a tenth
/// of a worker and triples a tail latency has an effect of 11.
constexpr double PriorEffectDeviation = 6.0;
/// Prior standard deviation of a baseline. Covers tail latencies from some
/// tenths of a millisecond to some hundred milliseconds.
constexpr double PriorBaselineDeviation = 4.0;
/// Residuals are limited to this absolute value, since a stall of a worker is
/// not caused by its fillers.
constexpr double MaxResidual = 1.0;
/// Residuals are not limited for this number of reports, so that the baseline
/// can move from its prior.
constexpr int WarmupReports = 20;
/// Maximum number of filler images in the fit of a serving image.
constexpr std::size_t MaxFillerImages = 40;

double relativeVariance(double Deviation) {
  double Relative = Deviation / ReportDeviation;
  return Relative * Relative;
}

/// Hashes texts of any type. Effects are looked up for each pair of images on
/// each worker, so the lookups must not copy or compare many names.
struct TextHash {
  // The name that the standard library requires.
  using is_transparent = void; // NOLINT(readability-identifier-naming)
  std::size_t operator()(std::string_view Text) const {
    return std::hash<std::string_view>{}(Text);
  }
};
template <typename T>
using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

/// An input of a fit that is not 0.
struct Input {
  std::size_t Column_ = 0;
  double Value_ = 0;
};

/// Adds \p Value to the input \p Column of \p Inputs, which stay sorted.
void addInput(std::vector<Input> &Inputs, std::size_t Column, double Value) {
  auto It = std::lower_bound(Inputs.begin(), Inputs.end(), Column,
                             [](const Input &Each, std::size_t Wanted) {
                               return Each.Column_ < Wanted;
                             });
  if (It == Inputs.end() || It->Column_ != Column)
    It = Inputs.insert(It, {Column, 0.0});
  It->Value_ += Value;
}

/// The fit for one serving image. Coefficient 0 is the baseline. Variances are
/// relative to the variance of one report.
struct Fit {
  TextMap<std::size_t> Columns_;
  std::vector<double> Coefficients_{0.0};
  std::vector<std::vector<double>> Covariance_{
      {relativeVariance(PriorBaselineDeviation)}};
  int ReportCount_ = 0;

  /// Returns the column of \p Filler, which is added if necessary; 0 if there
  /// are too many columns.
  std::size_t column(std::string_view Filler) {
    auto It = Columns_.find(Filler);
    if (It != Columns_.end())
      return It->second;
    if (Columns_.size() >= MaxFillerImages)
      return 0;
    std::size_t NewColumn = Coefficients_.size();
    Columns_.emplace(Filler, NewColumn);
    Coefficients_.push_back(0.0);
    for (std::vector<double> &Row : Covariance_)
      Row.push_back(0.0);
    Covariance_.emplace_back(NewColumn + 1, 0.0);
    Covariance_.back().back() = relativeVariance(PriorEffectDeviation);
    return NewColumn;
  }

  Estimate estimate(std::size_t Column) const {
    return {Coefficients_[Column],
            std::sqrt(std::max(0.0, Covariance_[Column][Column])) *
                ReportDeviation};
  }

  /// Adds a report. \p Inputs are sorted by their columns.
  void update(std::span<const Input> Inputs, double Observed) {
    std::size_t Size = Coefficients_.size();
    std::vector<double> Gain(Size, 0.0);
    for (std::size_t Row = 0; Row < Size; ++Row)
      for (const Input &Each : Inputs)
        Gain[Row] += Covariance_[Row][Each.Column_] * Each.Value_;
    double Scale = ForgettingFactor;
    double Residual = Observed;
    for (const Input &Each : Inputs) {
      Scale += Each.Value_ * Gain[Each.Column_];
      Residual -= Each.Value_ * Coefficients_[Each.Column_];
    }
    if (++ReportCount_ > WarmupReports)
      Residual = std::clamp(Residual, -MaxResidual, MaxResidual);
    for (std::size_t Row = 0; Row < Size; ++Row)
      Coefficients_[Row] += Gain[Row] * Residual / Scale;
    for (std::size_t Row = 0; Row < Size; ++Row) {
      std::vector<double> &Cells = Covariance_[Row];
      double Factor = Gain[Row] / Scale;
      for (std::size_t Column = 0; Column < Size; ++Column)
        Cells[Column] =
            (Cells[Column] - Factor * Gain[Column]) * InverseForgettingFactor;
    }
    for (std::size_t Column = 0; Column < Size; ++Column)
      limitVariance(Column);
  }

private:
  /// Limits the variance of a coefficient to that of its prior. Without new
  /// data, the forgetting factor would let it grow without bound.
  void limitVariance(std::size_t Column) {
    double Limit = relativeVariance(PriorEffectDeviation);
    double Variance = Covariance_[Column][Column];
    if (Variance <= Limit)
      return;
    // The covariances shrink with it. Otherwise the matrix would no longer be
    // positive definite, and the fit would diverge.
    double Factor = std::sqrt(Limit / Variance);
    for (std::vector<double> &Row : Covariance_)
      Row[Column] *= Factor;
    for (double &Cell : Covariance_[Column])
      Cell *= Factor;
  }
};

} // namespace

struct InterferenceModel::Impl {
  TextMap<Fit> Fits_;
  std::set<std::string, std::less<>> FillerImages_;

  /// Returns the column of \p Filler in \p Of.
  std::size_t column(Fit &ImageFit, std::string_view Filler) {
    if (!FillerImages_.contains(Filler))
      FillerImages_.emplace(Filler);
    return ImageFit.column(Filler);
  }

  const Fit *find(std::string_view Serving) const {
    auto It = Fits_.find(Serving);
    return It == Fits_.end() ? nullptr : &It->second;
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
  Fit &ImageFit = Impl_->Fits_[std::string(Serving)];
  std::vector<Input> Inputs{{0, 1.0}};
  for (const FillerShare &Filler : Fillers)
    if (std::size_t Column = Impl_->column(ImageFit, Filler.Image_))
      addInput(Inputs, Column, Filler.Share_);
  ImageFit.update(Inputs, std::log(TailLatencyMs));
}

Estimate InterferenceModel::baselineLog(std::string_view Serving) const {
  const Fit *ImageFit = Impl_->find(Serving);
  return ImageFit ? ImageFit->estimate(0)
                  : Estimate{0.0, PriorBaselineDeviation};
}

Estimate InterferenceModel::effect(std::string_view Serving,
                                   std::string_view Filler) const {
  const Fit *ImageFit = Impl_->find(Serving);
  if (!ImageFit)
    return {0.0, PriorEffectDeviation};
  auto Column = ImageFit->Columns_.find(Filler);
  if (Column == ImageFit->Columns_.end())
    return {0.0, PriorEffectDeviation};
  Estimate Result = ImageFit->estimate(Column->second);
  Result.Mean_ = std::max(0.0, Result.Mean_);
  return Result;
}

const std::set<std::string, std::less<>> &
InterferenceModel::fillerImages() const {
  return Impl_->FillerImages_;
}

std::vector<InterferenceEstimate> InterferenceModel::estimates() const {
  std::vector<InterferenceEstimate> Pairs;
  for (const auto &[Serving, ImageFit] : Impl_->Fits_) {
    Pairs.push_back({Serving, "", ImageFit.estimate(0)});
    for (const auto &[Filler, Column] : ImageFit.Columns_)
      Pairs.push_back({Serving, Filler, ImageFit.estimate(Column)});
  }
  // A fixed order, so that an unchanged model has the same text.
  std::sort(
      Pairs.begin(), Pairs.end(),
      [](const InterferenceEstimate &Left, const InterferenceEstimate &Right) {
        return std::tie(Left.ServingImage_, Left.FillerImage_) <
               std::tie(Right.ServingImage_, Right.FillerImage_);
      });
  return Pairs;
}

void InterferenceModel::restore(std::span<const InterferenceEstimate> Pairs) {
  for (const InterferenceEstimate &Pair : Pairs) {
    Fit &ImageFit = Impl_->Fits_[Pair.ServingImage_];
    bool IsBaseline = Pair.FillerImage_.empty();
    std::size_t Column =
        IsBaseline ? 0 : Impl_->column(ImageFit, Pair.FillerImage_);
    if (ImageFit.ReportCount_ != 0 || (!IsBaseline && Column == 0))
      continue;
    ImageFit.Coefficients_[Column] = Pair.Value_.Mean_;
    ImageFit.Covariance_[Column][Column] =
        std::min(relativeVariance(Pair.Value_.Deviation_),
                 relativeVariance(PriorEffectDeviation));
  }
}

} // namespace filbertspring::scheduling
