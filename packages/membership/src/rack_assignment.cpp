#include "filbertspring/membership/rack_assignment.h"

#include "rendezvous.h"

#include <algorithm>
#include <map>

namespace filbertspring::membership {

namespace {

constexpr std::uint64_t MicrosPerSecond = 1'000'000;

std::optional<InstanceName> highest(const RackName &Rack,
                                    const std::vector<InstancePlace> &Live,
                                    const ZoneName *Zone) {
  const InstancePlace *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const InstancePlace &Each : Live) {
    if (Zone && Each.Zone_ != *Zone)
      continue;
    const std::uint64_t Score = rendezvousScore(Rack.str(), Each.Name_.str());
    const bool Better = !Best || Score > BestScore ||
                        (Score == BestScore && Each.Name_ < Best->Name_);
    if (!Better)
      continue;
    Best = &Each;
    BestScore = Score;
  }
  return Best ? std::optional(Best->Name_) : std::nullopt;
}

} // namespace

std::optional<InstanceName>
schedulerOf(const RackName &Rack, const ZoneName &Zone,
            const std::vector<InstancePlace> &Live) {
  if (auto Near = highest(Rack, Live, &Zone))
    return Near;
  return highest(Rack, Live, nullptr);
}

struct TakeoverPacer::Impl {
  TakeoverSettings Settings_;
  std::uint64_t Seed_ = 0;
  std::uint64_t Draws_ = 0;
  std::map<RackName, TimePoint> DueAt_;
  /// The earliest time of the next takeover of any rack.
  TimePoint NextAt_ = TimePoint::min();

  Duration jitter(const RackName &Rack);
};

Duration TakeoverPacer::Impl::jitter(const RackName &Rack) {
  const std::string Draw =
      std::to_string(Seed_) + "/" + std::to_string(++Draws_);
  const auto Span = static_cast<std::uint64_t>(Settings_.Jitter_.count()) + 1;
  const std::uint64_t Score = rendezvousScore(Rack.str(), Draw);
  return Duration(static_cast<Duration::rep>(Score % Span));
}

TakeoverPacer::TakeoverPacer(TakeoverSettings Settings, std::uint64_t Seed)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Settings_ = Settings;
  Impl_->Seed_ = Seed;
}
TakeoverPacer::~TakeoverPacer() = default;
TakeoverPacer::TakeoverPacer(TakeoverPacer &&) noexcept = default;
TakeoverPacer &TakeoverPacer::operator=(TakeoverPacer &&) noexcept = default;

std::vector<RackName> TakeoverPacer::due(const std::set<RackName> &Wanted,
                                         TimePoint Now) {
  auto &DueAt = Impl_->DueAt_;
  std::erase_if(DueAt,
                [&](const auto &Each) { return !Wanted.contains(Each.first); });
  for (const RackName &Rack : Wanted)
    if (!DueAt.contains(Rack))
      DueAt.emplace(Rack, Now + Impl_->jitter(Rack));

  std::vector<std::pair<TimePoint, RackName>> Ready;
  for (const auto &[Rack, At] : DueAt)
    if (At <= Now)
      Ready.emplace_back(At, Rack);
  std::ranges::sort(Ready);

  const Duration Gap(MicrosPerSecond / Impl_->Settings_.MaxPerSecond_);
  std::vector<RackName> Taken;
  for (const auto &[At, Rack] : Ready) {
    if (Impl_->NextAt_ > Now)
      break;
    Impl_->NextAt_ = Now + Gap;
    DueAt[Rack] = Now + Impl_->Settings_.Jitter_ + Impl_->jitter(Rack);
    Taken.push_back(Rack);
  }
  return Taken;
}

} // namespace filbertspring::membership
