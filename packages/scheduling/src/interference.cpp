#include "filbertspring/scheduling/interference.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace filbertspring::scheduling {
namespace {

/// Fillers below this part of a worker may have caused nothing.
constexpr double LeastBlamedShare = 0.03;
/// Fillers below this part of a worker prove nothing by short tails: effects
/// begin between it and the share above.
constexpr double LeastProvingShare = 0.06;
/// A share that counts as one full observation: a filler of 5 of 64 cores.
constexpr double FullShare = 0.08;
/// The most that one observation counts, in such shares.
constexpr double MostShares = 1.5;
/// A tail below this part of its target shows no effect.
constexpr double ShortTail = 0.9;
/// A tail above this part of its target does not come from load alone.
constexpr double LongTail = 1.3;
/// A tail above this part of its target needs no second report.
constexpr double VeryLongTail = 2.0;
/// Short tails, in full observations, that prove a pair harmless.
constexpr double ProvenShort = 2.5;
/// Long tails that prove a pair harmful.
constexpr double ProvenLong = 2.0;

/// What was seen of a pair of images.
struct Evidence {
  double Short_ = 0;
  double Long_ = 0;

  Effect effect() const {
    if (Long_ >= ProvenLong)
      return Effect::Harmful;
    return Short_ >= ProvenShort ? Effect::Harmless : Effect::Unknown;
  }
};

} // namespace

struct InterferenceModel::Impl {
  using Pairs = std::map<std::string, Evidence, std::less<>>;
  std::map<std::string, Pairs, std::less<>> Serving_;
};

InterferenceModel::InterferenceModel() : Impl_(std::make_unique<Impl>()) {}
InterferenceModel::~InterferenceModel() = default;
InterferenceModel::InterferenceModel(InterferenceModel &&) noexcept = default;
InterferenceModel &
InterferenceModel::operator=(InterferenceModel &&) noexcept = default;

void InterferenceModel::observe(std::string_view Serving, double TailFraction,
                                std::span<const FillerShare> Fillers) {
  bool IsShort = TailFraction < ShortTail;
  bool IsLong = TailFraction > LongTail;
  if (!IsShort && !IsLong)
    return;
  // Fillers of one image act together.
  std::map<std::string_view, double> Shares;
  for (const FillerShare &Filler : Fillers)
    Shares[Filler.Image_] += Filler.Share_;
  Impl::Pairs &Of = Impl_->Serving_[std::string(Serving)];
  if (IsShort) {
    for (const auto &[Image, Share] : Shares)
      if (Share >= LeastProvingShare)
        Of[std::string(Image)].Short_ +=
            std::min(Share / FullShare, MostShares);
    return;
  }
  std::vector<Evidence *> Suspects;
  std::vector<Evidence *> Cleared;
  for (const auto &[Image, Share] : Shares) {
    if (Share < LeastBlamedShare)
      continue;
    Evidence &Seen = Of[std::string(Image)];
    (Seen.effect() == Effect::Harmless ? Cleared : Suspects).push_back(&Seen);
  }
  if (Suspects.size() == 1) {
    Suspects.front()->Long_ += TailFraction > VeryLongTail ? ProvenLong : 1.0;
    Suspects.front()->Short_ = 0;
  }
  // One of them was cleared wrongly; all have to prove themselves again.
  if (Suspects.empty())
    for (Evidence *Seen : Cleared)
      Seen->Short_ = 0;
}

Effect InterferenceModel::effect(std::string_view Serving,
                                 std::string_view Filler) const {
  auto Of = Impl_->Serving_.find(Serving);
  if (Of == Impl_->Serving_.end())
    return Effect::Unknown;
  auto Found = Of->second.find(Filler);
  return Found == Of->second.end() ? Effect::Unknown : Found->second.effect();
}

} // namespace filbertspring::scheduling
