#include "endpoint_table.h"

#include <algorithm>
#include <utility>

namespace filbertspring::routing {
namespace {

/// Weight of the latest attempt in Endpoint::OverdueFraction_.
constexpr double OverdueWeight = 0.1;
/// Above this fraction of overdue attempts, idle connections to the endpoint
/// are assumed to be dead.
constexpr double MaxOverdueFraction = 0.25;

} // namespace

EndpointTable::EndpointTable(const RouterConfig &Config, TimerQueue &Timers)
    : Config_(Config),
      UsesLoadReports_(std::holds_alternative<SampledPolicy>(Config.Policy_)),
      Timers_(Timers) {}

void EndpointTable::applyList(const std::vector<ListedInstance> &Instances,
                              TimePoint Now) {
  std::set<EndpointName> ListedNames;
  for (const ListedInstance &Instance : Instances) {
    if (Instance.Role_ != InstanceRole::Executor || Instance.Slots_ <= 0)
      continue;
    ListedNames.emplace(Instance.Name_.str());
    applyListEntry(Instance, Now);
  }
  unlistMissing(ListedNames, Now);
}

void EndpointTable::applyListEntry(const ListedInstance &Instance,
                                   TimePoint Now) {
  EndpointName Name(Instance.Name_.str());
  auto Existing = ByName_.find(Name);
  if (Existing != ByName_.end()) {
    const Endpoint &Old = at(Existing->second);
    bool Unchanged = Old.Address_ == Instance.Http_ &&
                     Old.Service_ == Instance.Service_ &&
                     Old.Zone_ == Instance.Zone_;
    if (Unchanged) {
      update(Existing->second, Now, [&](Endpoint &Target) {
        Target.Listed_ = true;
        Target.Leaving_ =
            Target.Leaving_ || Instance.State_ == InstanceState::Leaving;
      });
      return;
    }
    update(Existing->second, Now,
           [&](Endpoint &Target) { Target.Listed_ = false; });
  }
  auto Target = std::make_unique<Endpoint>();
  Target->Name_ = Name;
  Target->Address_ = Instance.Http_;
  Target->Zone_ = Instance.Zone_;
  Target->Service_ = Instance.Service_;
  Target->Slots_ = Instance.Slots_;
  Target->Listed_ = false;
  Target->Leaving_ = Instance.State_ == InstanceState::Leaving;
  EndpointId Id = Endpoints_.size();
  Endpoints_.push_back(std::move(Target));
  ByName_[Name] = Id;
  update(Id, Now, [](Endpoint &New) { New.Listed_ = true; });
}

void EndpointTable::unlistMissing(const std::set<EndpointName> &ListedNames,
                                  TimePoint Now) {
  std::vector<EndpointName> Expired;
  for (const auto &[Name, Id] : ByName_) {
    if (ListedNames.contains(Name))
      continue;
    if (at(Id).Listed_) {
      update(Id, Now, [&](Endpoint &Target) {
        Target.Listed_ = false;
        Target.UnlistedAt_ = Now;
      });
    }
    Duration Unlisted = Now - at(Id).UnlistedAt_;
    if (at(Id).OwnInFlight_ == 0 &&
        Unlisted > Config_.Health_.UnlistedRetention_)
      Expired.push_back(Name);
  }
  for (const EndpointName &Name : Expired)
    ByName_.erase(Name);
}

void EndpointTable::setZone(const ZoneName &Zone, bool InService,
                            TimePoint Now) {
  std::vector<EndpointId> Members;
  for (const auto &[Name, Id] : ByName_)
    if (at(Id).Zone_ == Zone)
      Members.push_back(Id);
  // update() maintains the counts of available endpoints and reads ZonesOut_.
  // Each endpoint is unlisted under the old zone state and listed again under
  // the new one, so that both counts are adjusted.
  std::vector<bool> Listed;
  for (EndpointId Id : Members) {
    Listed.push_back(at(Id).Listed_);
    update(Id, Now, [](Endpoint &Target) { Target.Listed_ = false; });
  }
  if (InService)
    ZonesOut_.erase(Zone);
  else
    ZonesOut_.insert(Zone);
  for (std::size_t Index = 0; Index < Members.size(); ++Index)
    update(Members[Index], Now,
           [&](Endpoint &Target) { Target.Listed_ = Listed[Index]; });
}

void EndpointTable::applyPeerReport(const PeerEndpointReport &Report,
                                    TimePoint Now) {
  auto Existing = ByName_.find(Report.Endpoint_);
  if (Existing == ByName_.end())
    return;
  update(Existing->second, Now, [&](Endpoint &Target) {
    Target.Leaving_ = Target.Leaving_ || Report.Leaving_;
    TimePoint SeenAt = Now - Report.Age_;
    if (SeenAt <= Target.OthersReportedAt_)
      return;
    Target.OthersReportedAt_ = SeenAt;
    Target.OthersInFlight_ =
        std::max<std::int64_t>(Report.InFlight_ - Target.OwnInFlight_, 0);
  });
  scheduleCapacityCheck(Existing->second, Now);
}

void EndpointTable::attemptSent(EndpointId Id, TimePoint Now) {
  update(Id, Now, [](Endpoint &Target) {
    ++Target.OwnInFlight_;
    if (Target.Health_ == Health::Probation)
      Target.Health_ = Health::Probing;
  });
  scheduleCapacityCheck(Id, Now);
}

bool EndpointTable::attemptEnded(EndpointId Id,
                                 const EndpointObservation &Observation,
                                 TimePoint Now) {
  bool DropIdle = Observation.Result_ == AttemptResult::TimedOut;
  update(Id, Now, [&](Endpoint &Target) {
    --Target.OwnInFlight_;
    if (Observation.Load_)
      applyLoad(Target, *Observation.Load_, Now);
    switch (Observation.Result_) {
    case AttemptResult::Completed:
      Target.LastAnswerAt_ = Now;
      Target.OverdueFraction_ -= OverdueWeight * Target.OverdueFraction_;
      recordLatency(Target, Observation.Elapsed_);
      markSuccess(Target);
      break;
    case AttemptResult::RefusedBusy:
      Target.LastAnswerAt_ = Now;
      markSuccess(Target);
      Target.RefusesWhenFull_ = true;
      Target.OthersInFlight_ =
          std::max(Target.OthersInFlight_, Target.Slots_ - Target.OwnInFlight_);
      Target.BusyUntil_ = Now + Config_.Health_.BusyBackoff_;
      break;
    case AttemptResult::RefusedLeaving:
      Target.LastAnswerAt_ = Now;
      Target.Leaving_ = true;
      break;
    case AttemptResult::Cancelled:
      recordLatency(Target, Observation.Elapsed_);
      if (Target.Health_ == Health::Probing)
        markSuspect(Id, Target, Now);
      break;
    case AttemptResult::TimedOut:
      // A reused connection may be dead while new connections work.
      if (Observation.FreshConnection_)
        markFailure(Id, Target, Now);
      else if (Target.Health_ == Health::Healthy)
        Target.Health_ = Health::Probation;
      break;
    case AttemptResult::ConnectFailed:
      markSuspect(Id, Target, Now);
      break;
    case AttemptResult::ConnectionLost:
    case AttemptResult::RequestIdMismatch:
    case AttemptResult::Truncated:
      markFailure(Id, Target, Now);
      break;
    }
  });
  scheduleCapacityCheck(Id, Now);
  return DropIdle;
}

bool EndpointTable::attemptOverdue(EndpointId Id, TimePoint SentAt,
                                   TimePoint Now) {
  bool DropIdle = false;
  update(Id, Now, [&](Endpoint &Target) {
    bool UnansweredSinceSent =
        !Target.LastAnswerAt_ || *Target.LastAnswerAt_ < SentAt;
    if (UnansweredSinceSent && Target.Health_ == Health::Healthy)
      Target.Health_ = Health::Probation;
    Target.OverdueFraction_ += OverdueWeight * (1.0 - Target.OverdueFraction_);
    DropIdle =
        UnansweredSinceSent || Target.OverdueFraction_ > MaxOverdueFraction;
    if (DropIdle)
      Target.OverdueFraction_ = 0.0;
  });
  return DropIdle;
}

void EndpointTable::handleTimer(const Timer &Due, TimePoint Now) {
  auto Id = static_cast<EndpointId>(Due.Id_);
  update(Id, Now, [&](Endpoint &Target) {
    if (Due.Kind_ == TimerKind::Probation) {
      if (Target.Health_ == Health::Suspect && Now >= Target.SuspectUntil_)
        Target.Health_ = Health::Probation;
      return;
    }
    // Without a newer load report, assume that one slot has become free.
    bool ReportedFull =
        Target.RefusesWhenFull_ && Target.load() >= Target.Slots_;
    if (ReportedFull && Now >= Target.BusyUntil_ &&
        Target.OwnInFlight_ < Target.Slots_)
      Target.OthersInFlight_ = Target.Slots_ - Target.OwnInFlight_ - 1;
  });
}

std::vector<PeerEndpointReport> EndpointTable::reports(TimePoint Now,
                                                       Duration MaxAge) const {
  std::vector<PeerEndpointReport> Reports;
  for (const auto &[Name, Id] : ByName_) {
    const Endpoint &Target = at(Id);
    bool RecentlyReported =
        Target.LoadReceivedAt_ && Now - *Target.LoadReceivedAt_ <= MaxAge;
    if (!Target.Listed_ || (!Target.Leaving_ && !RecentlyReported))
      continue;
    Duration Age =
        Target.LoadReceivedAt_ ? Now - *Target.LoadReceivedAt_ : Duration();
    Reports.push_back({Name, Target.load(), Target.Leaving_, Age});
  }
  return Reports;
}

const ServicePool *EndpointTable::findPool(const ServiceName &Service) const {
  auto It = Pools_.find(Service);
  return It == Pools_.end() ? nullptr : &It->second;
}

bool EndpointTable::anyAvailable(const Contract &Terms,
                                 const ServiceName &Service) const {
  const ServicePool *Pool = findPool(Service);
  if (!Pool)
    return false;
  return std::ranges::any_of(Pool->AvailableByZone_, [&](const auto &Entry) {
    return Entry.second > 0 && Terms.allowsZone(Entry.first);
  });
}

bool EndpointTable::needsFreshConnection(EndpointId Id, TimePoint Now) const {
  const Endpoint &Target = at(Id);
  if (Target.Health_ != Health::Healthy || !Target.LastAnswerAt_)
    return true;
  return Now - *Target.LastAnswerAt_ > Config_.Health_.MaxIdleTime_;
}

bool EndpointTable::isAvailable(const Endpoint &Target) const {
  return Target.Listed_ && !Target.Leaving_ &&
         !ZonesOut_.contains(Target.Zone_);
}

bool EndpointTable::isUsable(const Endpoint &Target, TimePoint Now) const {
  if (!isAvailable(Target) || Target.Health_ != Health::Healthy)
    return false;
  if (Now < Target.BusyUntil_)
    return false;
  const auto *RoundRobin = std::get_if<RoundRobinPolicy>(&Config_.Policy_);
  if (RoundRobin && !RoundRobin->BoundedBySlots_)
    return true;
  if (Target.OwnInFlight_ >= Target.Slots_)
    return false;
  bool LimitByReports = UsesLoadReports_ && Target.RefusesWhenFull_;
  return !LimitByReports || Target.load() < Target.Slots_;
}

template <typename Function>
void EndpointTable::update(EndpointId Id, TimePoint Now, Function Update) {
  Endpoint &Target = *Endpoints_[Id];
  ServicePool &Pool = Pools_[Target.Service_];
  bool Before = isAvailable(Target);
  bool HealthyBefore = Before && Target.Health_ == Health::Healthy;
  if (HealthyBefore) {
    --Pool.HealthyCount_;
    Pool.Load_ -= Target.load();
    Pool.Slots_ -= Target.Slots_;
  }
  Update(Target);
  bool After = isAvailable(Target);
  bool HealthyAfter = After && Target.Health_ == Health::Healthy;
  std::size_t &Available = Pool.AvailableByZone_[Target.Zone_];
  if (Before && !After)
    --Available;
  if (!Before && After)
    ++Available;
  if (HealthyAfter) {
    ++Pool.HealthyCount_;
    Pool.Load_ += Target.load();
    Pool.Slots_ += Target.Slots_;
  }
  setUsable(Id, isUsable(Target, Now));
  if (After && Target.Health_ == Health::Probation)
    Pool.OnProbation_.insert(Id);
  else
    Pool.OnProbation_.erase(Id);
}

void EndpointTable::setUsable(EndpointId Id, bool Usable) {
  Endpoint &Target = *Endpoints_[Id];
  if (Usable == Target.UsableIndex_.has_value())
    return;
  std::vector<EndpointId> &List =
      Pools_[Target.Service_].UsableByZone_[Target.Zone_];
  if (Usable) {
    Target.UsableIndex_ = List.size();
    List.push_back(Id);
    ++UsableCount_;
    return;
  }
  // Move the last entry into the gap, so that removal takes constant time.
  EndpointId Moved = List.back();
  List[*Target.UsableIndex_] = Moved;
  Endpoints_[Moved]->UsableIndex_ = Target.UsableIndex_;
  Target.UsableIndex_.reset();
  List.pop_back();
  --UsableCount_;
}

void EndpointTable::scheduleCapacityCheck(EndpointId Id, TimePoint Now) {
  const Endpoint &Target = at(Id);
  if (Target.UsableIndex_ || !isAvailable(Target) ||
      Target.Health_ != Health::Healthy)
    return;
  // When attempts of this router fill all slots, the end of one of them updates
  // the state without a timer.
  if (Target.OwnInFlight_ >= Target.Slots_)
    return;
  Duration MeanLatency = Pools_[Target.Service_].Latency_.duration();
  TimePoint Due = Now + std::max(Config_.Health_.BusyBackoff_, MeanLatency);
  Timers_.add(
      {std::max(Due, Target.BusyUntil_), TimerKind::CapacityCheck, Id, 0});
}

void EndpointTable::applyLoad(Endpoint &Target, const ObservedLoad &Load,
                              TimePoint Now) {
  Target.Leaving_ = Target.Leaving_ || Load.Leaving_;
  if (Load.Slots_ > 0)
    Target.Slots_ = Load.Slots_;
  Target.OthersInFlight_ =
      std::max<std::int64_t>(Load.InFlight_ - Target.OwnInFlight_, 0);
  Target.OthersReportedAt_ = Now;
  Target.LoadReceivedAt_ = Now;
}

void EndpointTable::markSuccess(Endpoint &Target) {
  Target.ConsecutiveFailures_ = 0;
  Target.SuspectTime_ = Duration::zero();
  Target.Health_ = Health::Healthy;
}

void EndpointTable::markFailure(EndpointId Id, Endpoint &Target,
                                TimePoint Now) {
  ++Target.ConsecutiveFailures_;
  bool Unhealthy = Target.Health_ != Health::Healthy;
  if (Unhealthy ||
      Target.ConsecutiveFailures_ >= Config_.Health_.SuspectAfterFailures_)
    markSuspect(Id, Target, Now);
}

void EndpointTable::markSuspect(EndpointId Id, Endpoint &Target,
                                TimePoint Now) {
  // Failures of attempts sent before the endpoint became suspect don't extend
  // the suspect time.
  if (Target.Health_ == Health::Suspect)
    return;
  const HealthConfig &Settings = Config_.Health_;
  Duration Backoff = std::max(Settings.SuspectTime_, Target.SuspectTime_ * 2);
  Target.SuspectTime_ = std::min(Backoff, Settings.MaxSuspectTime_);
  Target.SuspectUntil_ = Now + Target.SuspectTime_;
  Target.Health_ = Health::Suspect;
  Timers_.add({Target.SuspectUntil_, TimerKind::Probation, Id, 0});
}

void EndpointTable::recordLatency(Endpoint &Target, Duration Elapsed) {
  Target.Latency_.add(Elapsed);
  bool Remote = Target.Zone_ != Config_.Zone_;
  Duration ZoneDelay = Remote ? Config_.InterZoneRoundTrip_ : Duration::zero();
  Pools_[Target.Service_].Latency_.add(
      std::max(Elapsed - ZoneDelay, Duration(1)));
}

} // namespace filbertspring::routing
