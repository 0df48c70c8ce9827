#include "place_waits.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

/// A rack that no step has named for this long is forgotten.
constexpr Duration RackRetention = std::chrono::seconds(60);
/// A step that has not been considered for this long has ended.
constexpr Duration StepRetention = std::chrono::seconds(10);
constexpr Duration CleanupInterval = std::chrono::seconds(1);
/// Two placement passes: jobs that are placed before the waiting ones avoid the
/// rack because of the pass before.
constexpr Duration WantedTime = std::chrono::milliseconds(200);

} // namespace

ProcessorUse &ProcessorUse::operator+=(const ProcessorUse &Other) {
  Total_ += Other.Total_;
  Ending_ += Other.Ending_;
  LongRunning_ += Other.LongRunning_;
  Fillers_ += Other.Fillers_;
  return *this;
}

ProcessorUse &ProcessorUse::operator-=(const ProcessorUse &Other) {
  Total_ -= Other.Total_;
  Ending_ -= Other.Ending_;
  LongRunning_ -= Other.LongRunning_;
  Fillers_ -= Other.Fillers_;
  return *this;
}

double ProcessorUse::fraction(bool IsFiller) const {
  double Used = Ending_ + LongRunning_ + (IsFiller ? Fillers_ : 0);
  return Total_ > 0 ? std::clamp(Used / Total_, 0.0, 1.0) : 1;
}

std::string rackName(std::span<const std::string> Labels) {
  std::string Name;
  for (const std::string &Label : Labels)
    Name += (Name.empty() ? "" : ",") + Label;
  return Name;
}

PlaceWaits::Rack *PlaceWaits::find(const RackKey &Key) {
  auto It = Racks_.find(Key);
  return It == Racks_.end() ? nullptr : &It->second;
}

const PlaceWaits::Rack *PlaceWaits::find(const RackKey &Key) const {
  auto It = Racks_.find(Key);
  return It == Racks_.end() ? nullptr : &It->second;
}

void PlaceWaits::beginPass(TimePoint Now) {
  PassAt_ = Now;
  Services_.clear();
  for (std::vector<bool> &Wanted : Wanted_)
    Wanted.clear();
  for (auto &[Key, Known] : Racks_) {
    Known.Workers_.clear();
    Known.Use_ = {};
    Known.Sources_ = {};
    Known.Ahead_ = 0;
  }
  if (Now < NextCleanupAt_)
    return;
  NextCleanupAt_ = Now + CleanupInterval;
  std::size_t Forgotten = std::erase_if(Racks_, [Now](const auto &Entry) {
    return Now - Entry.second.LastNamedAt_ > RackRetention;
  });
  if (Forgotten > 0)
    RacksOfWorkers_.clear();
  std::erase_if(Waiting_, [Now](const auto &Entry) {
    return Now - Entry.second.LastSeenAt_ > StepRetention;
  });
}

void PlaceWaits::addWorker(const std::string &Service,
                           std::span<const std::string> Labels,
                           std::size_t Position, const ProcessorUse &Use,
                           bool IsSource) {
  Services_[Service] += Use;
  for (const RackOfWorkers &Each : racksOf(Service, Labels)) {
    Each.Rack_->Workers_.push_back(Position);
    Each.Rack_->Use_ += Use;
    if (IsSource)
      Each.Rack_->Sources_ += Use;
  }
}

const std::vector<PlaceWaits::RackOfWorkers> &
PlaceWaits::racksOf(const std::string &Service,
                    std::span<const std::string> Labels) {
  std::string Name = rackName(Labels);
  auto [It, IsNew] = RacksOfWorkers_.try_emplace(Service + '\n' + Name);
  if (!IsNew)
    return It->second;
  for (bool IsFiller : {false, true}) {
    for (const std::string &Label : Labels)
      if (Rack *Known = find({Service, Label, IsFiller}))
        It->second.push_back({IsFiller, Known});
    Rack *Known = find({Service, Name, IsFiller});
    if (Known && Labels.size() > 1)
      It->second.push_back({IsFiller, Known});
  }
  return It->second;
}

void PlaceWaits::markWanted(const Rack &Wanted, bool IsFiller) {
  std::vector<bool> &Positions = Wanted_[IsFiller ? 1 : 0];
  for (std::size_t Position : Wanted.Workers_) {
    if (Position >= Positions.size())
      Positions.resize(Position + 1);
    Positions[Position] = true;
  }
}

void PlaceWaits::endSampling(TimePoint Now) {
  for (auto &[Key, Known] : Racks_) {
    Known.Activity_.noteOccupied(
        Key.IsFiller_ ? Known.Sources_.Fillers_ : Known.Sources_.Ending_, Now);
    if (Known.WantedUntil_ > Now)
      markWanted(Known, Key.IsFiller_);
  }
}

std::span<const std::size_t> PlaceWaits::workersOf(const RackKey &Key) const {
  const Rack *Known = find(Key);
  return Known ? std::span<const std::size_t>(Known->Workers_)
               : std::span<const std::size_t>();
}

void PlaceWaits::track(const RackKey &Key, TimePoint Now) {
  auto [It, IsNew] = Racks_.try_emplace(Key, Rack{RackActivity(Now)});
  It->second.LastNamedAt_ = Now;
  if (IsNew)
    RacksOfWorkers_.clear();
}

void PlaceWaits::noteRelease(const std::string &Service,
                             std::span<const std::string> Labels, bool IsFiller,
                             double MilliCpu, TimePoint Now) {
  for (const RackOfWorkers &Each : racksOf(Service, Labels))
    if (Each.IsFiller_ == IsFiller)
      Each.Rack_->Activity_.noteRelease(MilliCpu, Now);
}

void PlaceWaits::describe(const RackKey &Key, double MilliCpu,
                          std::size_t Tasks, PlaceWaitInput &Input,
                          TimePoint Now) const {
  const Rack *Known = find(Key);
  if (!Known)
    return;
  double Needed = std::max(1.0, MilliCpu);
  Input.Places_ = Known->Ahead_ / Needed + static_cast<double>(Tasks);
  Input.ReleaseRate_ = Known->Activity_.releaseRate(Now) / Needed;
  Input.DemandRate_ = Known->Activity_.demandRate(Now) / Needed;
  Input.SuccessRate_ = Known->Activity_.successRate(Now);
  auto Service = Services_.find(Key.Service_);
  if (Service == Services_.end())
    return;
  ProcessorUse Elsewhere = Service->second;
  Elsewhere -= Known->Use_;
  Input.FarUse_ = Elsewhere.fraction(Key.IsFiller_);
}

bool PlaceWaits::noteWait(const StepKey &Step, const RackKey &Key,
                          double MilliCpu, std::size_t Tasks, TimePoint Now) {
  if (Rack *Known = find(Key)) {
    Known->Ahead_ += MilliCpu * static_cast<double>(Tasks);
    if (Known->WantedUntil_ <= PassAt_)
      markWanted(*Known, Key.IsFiller_);
    Known->WantedUntil_ = Now + WantedTime;
    Known->LastNamedAt_ = Now;
  }
  auto [It, IsNew] = Waiting_.try_emplace(Step, WaitingStep{Now, Now});
  It->second.LastSeenAt_ = Now;
  return IsNew;
}

bool PlaceWaits::isWaiting(const StepKey &Step) const {
  auto It = Waiting_.find(Step);
  return It != Waiting_.end() && It->second.LastSeenAt_ == PassAt_;
}

std::optional<EndedPlaceWait>
PlaceWaits::notePlaced(const StepKey &Step, const RackKey &Key, double MilliCpu,
                       bool IsNear, bool IsLast, TimePoint Now) {
  Rack *Known = find(Key);
  if (Known) {
    Known->Activity_.noteDemand(MilliCpu, Now);
    Known->LastNamedAt_ = Now;
  }
  auto It = Waiting_.find(Step);
  if (It == Waiting_.end()) {
    Counts_.NotWorth_ += IsNear ? 0 : 1;
    return std::nullopt;
  }
  if (IsNear && !IsLast)
    return std::nullopt;
  EndedPlaceWait Ended{IsNear, Now - It->second.Since_};
  Waiting_.erase(It);
  ++(IsNear ? Counts_.EndedNear_ : Counts_.GaveUp_);
  Counts_.Waited_ += Ended.Waited_;
  if (Known)
    Known->Activity_.noteOutcome(IsNear, Now);
  return Ended;
}

} // namespace filbertspring::scheduling
