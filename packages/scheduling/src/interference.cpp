#include "filbertspring/scheduling/interference.h"

#include <algorithm>
#include <vector>

namespace filbertspring::scheduling {
namespace {

/// Weight of what was known before one more report: about the last 500
/// reports of an image count.
constexpr double Forgetting = 0.998;
/// Prior variance of a slope, in milliseconds squared: slopes up to some
/// hundred are possible.
constexpr double PriorVariance = 1e4;
/// The most filler images kept for a serving image.
constexpr std::size_t MaxFillerImages = 40;
/// The sum of shares after which a pair counts as known: a filler of a tenth
/// of a worker, six times.
constexpr double KnownShare = 0.6;
/// Tails beyond this many milliseconds are cut off, so that one stall does
/// not dominate the fit.
constexpr double MaxTailMs = 200;

/// The fit for one serving image. Coefficient 0 is its tail alone.
struct Fit {
  std::map<std::string, std::size_t, std::less<>> Columns_;
  std::vector<double> Coefficients_{0.0};
  std::vector<double> SeenShare_{0.0};
  std::vector<std::vector<double>> Covariance_{{PriorVariance}};

  std::size_t column(std::string_view Filler) {
    auto Found = Columns_.find(Filler);
    if (Found != Columns_.end())
      return Found->second;
    if (Columns_.size() >= MaxFillerImages)
      return 0;
    std::size_t Added = Coefficients_.size();
    Columns_.emplace(Filler, Added);
    Coefficients_.push_back(0.0);
    SeenShare_.push_back(0.0);
    for (std::vector<double> &Row : Covariance_)
      Row.push_back(0.0);
    Covariance_.emplace_back(Added + 1, 0.0);
    Covariance_.back().back() = PriorVariance;
    return Added;
  }

  void update(const std::vector<double> &Input, double Observed) {
    std::size_t Size = Input.size();
    std::vector<double> Gain(Size, 0.0);
    for (std::size_t Row = 0; Row < Size; ++Row)
      for (std::size_t Column = 0; Column < Size; ++Column)
        Gain[Row] += Covariance_[Row][Column] * Input[Column];
    double Scale = Forgetting;
    double Error = Observed;
    for (std::size_t Row = 0; Row < Size; ++Row) {
      Scale += Input[Row] * Gain[Row];
      Error -= Input[Row] * Coefficients_[Row];
    }
    for (std::size_t Row = 0; Row < Size; ++Row)
      Coefficients_[Row] += Gain[Row] * Error / Scale;
    for (std::size_t Row = 0; Row < Size; ++Row)
      for (std::size_t Column = 0; Column < Size; ++Column) {
        double &Cell = Covariance_[Row][Column];
        Cell = (Cell - Gain[Row] * Gain[Column] / Scale) / Forgetting;
        // Directions without news must not grow without bound.
        if (Row == Column)
          Cell = std::min(Cell, PriorVariance);
      }
  }
};

} // namespace

struct InterferenceModel::Impl {
  std::map<std::string, Fit, std::less<>> Fits_;

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

void InterferenceModel::observe(std::string_view Serving, double TailMs,
                                std::span<const FillerShare> Fillers) {
  Fit &Of = Impl_->Fits_[std::string(Serving)];
  for (const FillerShare &Filler : Fillers)
    Of.column(Filler.Image_);
  std::vector<double> Input(Of.Coefficients_.size(), 0.0);
  Input[0] = 1.0;
  for (const FillerShare &Filler : Fillers) {
    std::size_t Column = Of.column(Filler.Image_);
    if (Column == 0)
      continue;
    Input[Column] += Filler.Share_;
    Of.SeenShare_[Column] += Filler.Share_;
  }
  Of.update(Input, std::min(TailMs, MaxTailMs));
}

double InterferenceModel::baseTailMs(std::string_view Serving) const {
  const Fit *Of = Impl_->find(Serving);
  return Of ? std::max(0.0, Of->Coefficients_[0]) : 0.0;
}

double InterferenceModel::slope(std::string_view Serving,
                                std::string_view Filler) const {
  const Fit *Of = Impl_->find(Serving);
  if (!Of)
    return 0.0;
  auto Column = Of->Columns_.find(Filler);
  if (Column == Of->Columns_.end())
    return 0.0;
  return std::max(0.0, Of->Coefficients_[Column->second]);
}

bool InterferenceModel::isKnown(std::string_view Serving,
                                std::string_view Filler) const {
  const Fit *Of = Impl_->find(Serving);
  if (!Of)
    return false;
  auto Column = Of->Columns_.find(Filler);
  return Column != Of->Columns_.end() &&
         Of->SeenShare_[Column->second] >= KnownShare;
}

} // namespace filbertspring::scheduling
