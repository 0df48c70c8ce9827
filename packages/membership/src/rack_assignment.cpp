#include "filbertspring/membership/rack_assignment.h"

#include "rendezvous.h"

#include <algorithm>
#include <map>

namespace filbertspring::membership {

namespace {

constexpr std::uint64_t MicrosPerSecond = 1'000'000;

std::optional<InstanceName>
findHighestScore(const RackName &Rack, const std::vector<InstancePlace> &Live,
                 const ZoneName *Zone) {
  const InstancePlace *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const InstancePlace &Instance : Live) {
    if (Zone && Instance.Zone_ != *Zone)
      continue;
    const std::uint64_t Score =
        rendezvousScore(Rack.str(), Instance.Name_.str());
    const bool IsBetter = !Best || Score > BestScore ||
                          (Score == BestScore && Instance.Name_ < Best->Name_);
    if (!IsBetter)
      continue;
    Best = &Instance;
    BestScore = Score;
  }
  return Best ? std::optional(Best->Name_) : std::nullopt;
}

} // namespace

std::optional<InstanceName>
schedulerOf(const RackName &Rack, const ZoneName &Zone,
            const std::vector<InstancePlace> &Live) {
  if (auto InZone = findHighestScore(Rack, Live, &Zone))
    return InZone;
  return findHighestScore(Rack, Live, nullptr);
}

struct TakeoverPacer::Impl {
  TakeoverSettings Settings_;
  std::uint64_t Seed_ = 0;
  std::uint64_t JitterDraws_ = 0;
  std::map<RackName, TimePoint> DueTimes_;
  /// The earliest time of the next takeover of any rack.
  TimePoint NextAt_ = TimePoint::min();

  Duration jitter(const RackName &Rack);
};

Duration TakeoverPacer::Impl::jitter(const RackName &Rack) {
  const std::string HashInput =
      std::to_string(Seed_) + "/" + std::to_string(++JitterDraws_);
  const auto Span = static_cast<std::uint64_t>(Settings_.Jitter_.count()) + 1;
  const std::uint64_t Score = rendezvousScore(Rack.str(), HashInput);
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
  auto &DueTimes = Impl_->DueTimes_;
  std::erase_if(DueTimes,
                [&](const auto &Item) { return !Wanted.contains(Item.first); });
  for (const RackName &Rack : Wanted)
    if (!DueTimes.contains(Rack))
      DueTimes.emplace(Rack, Now + Impl_->jitter(Rack));

  std::vector<std::pair<TimePoint, RackName>> Ready;
  for (const auto &[Rack, At] : DueTimes)
    if (At <= Now)
      Ready.emplace_back(At, Rack);
  std::ranges::sort(Ready);

  const Duration MinInterval(MicrosPerSecond / Impl_->Settings_.MaxPerSecond_);
  std::vector<RackName> Selected;
  for (const auto &[At, Rack] : Ready) {
    if (Impl_->NextAt_ > Now)
      break;
    Impl_->NextAt_ = Now + MinInterval;
    DueTimes[Rack] = Now + Impl_->Settings_.Jitter_ + Impl_->jitter(Rack);
    Selected.push_back(Rack);
  }
  return Selected;
}

} // namespace filbertspring::membership
