#include "endpoint_table.h"

#include <algorithm>
#include <utility>

namespace filbertspring::routing {
namespace {

/// Weight of the latest attempt in the share of overdue ones.
constexpr double OverdueWeight = 0.1;
/// Above this share, idle connections are taken to be silent.
constexpr double MaxOverdueShare = 0.25;

} // namespace

EndpointTable::EndpointTable(const RouterConfig &Config, TimerQueue &Timers)
    : Config_(Config),
      UsesReports_(std::holds_alternative<SampledPolicy>(Config.Policy_)),
      Timers_(Timers) {}

void EndpointTable::list(const std::vector<ListedInstance> &Instances,
                         TimePoint Now) {
  std::set<EndpointName> Names;
  for (const ListedInstance &Instance : Instances) {
    if (Instance.Role_ != InstanceRole::Executor || Instance.Slots_ <= 0)
      continue;
    Names.emplace(Instance.Name_.str());
    listOne(Instance, Now);
  }
  unlistMissing(Names, Now);
}

void EndpointTable::listOne(const ListedInstance &Instance, TimePoint Now) {
  EndpointName Name(Instance.Name_.str());
  auto Known = ByName_.find(Name);
  if (Known != ByName_.end()) {
    const Endpoint &Old = at(Known->second);
    bool Same = Old.Address_ == Instance.Http_ &&
                Old.Service_ == Instance.Service_ &&
                Old.Zone_ == Instance.Zone_;
    if (Same) {
      update(Known->second, Now, [&](Endpoint &Node) {
        Node.Listed_ = true;
        Node.Leaving_ =
            Node.Leaving_ || Instance.State_ == InstanceState::Leaving;
      });
      return;
    }
    update(Known->second, Now, [&](Endpoint &Node) { Node.Listed_ = false; });
  }
  auto Node = std::make_unique<Endpoint>();
  Node->Name_ = Name;
  Node->Address_ = Instance.Http_;
  Node->Zone_ = Instance.Zone_;
  Node->Service_ = Instance.Service_;
  Node->Slots_ = Instance.Slots_;
  Node->Listed_ = false;
  Node->Leaving_ = Instance.State_ == InstanceState::Leaving;
  EndpointId Id = Endpoints_.size();
  Endpoints_.push_back(std::move(Node));
  ByName_[Name] = Id;
  update(Id, Now, [](Endpoint &New) { New.Listed_ = true; });
}

void EndpointTable::unlistMissing(const std::set<EndpointName> &Names,
                                  TimePoint Now) {
  std::vector<EndpointName> Forgotten;
  for (const auto &[Name, Id] : ByName_) {
    if (Names.contains(Name))
      continue;
    if (at(Id).Listed_) {
      update(Id, Now, [&](Endpoint &Node) {
        Node.Listed_ = false;
        Node.UnlistedAt_ = Now;
      });
    }
    Duration Unlisted = Now - at(Id).UnlistedAt_;
    if (at(Id).Own_ == 0 && Unlisted > Config_.Health_.UnlistedRetention_)
      Forgotten.push_back(Name);
  }
  for (const EndpointName &Name : Forgotten)
    ByName_.erase(Name);
}

void EndpointTable::setZone(const ZoneName &Zone, bool InService,
                            TimePoint Now) {
  std::vector<EndpointId> Members;
  for (const auto &[Name, Id] : ByName_)
    if (at(Id).Zone_ == Zone)
      Members.push_back(Id);
  // Availability is counted in update(), so each member leaves the counts
  // under the old state and joins them under the new one.
  std::vector<bool> Listed;
  for (EndpointId Id : Members) {
    Listed.push_back(at(Id).Listed_);
    update(Id, Now, [](Endpoint &Node) { Node.Listed_ = false; });
  }
  if (InService)
    ZonesOut_.erase(Zone);
  else
    ZonesOut_.insert(Zone);
  for (std::size_t Index = 0; Index < Members.size(); ++Index)
    update(Members[Index], Now,
           [&](Endpoint &Node) { Node.Listed_ = Listed[Index]; });
}

void EndpointTable::peerReport(const PeerEndpointReport &Report,
                               TimePoint Now) {
  auto Known = ByName_.find(Report.Endpoint_);
  if (Known == ByName_.end())
    return;
  update(Known->second, Now, [&](Endpoint &Node) {
    Node.Leaving_ = Node.Leaving_ || Report.Leaving_;
    TimePoint SeenAt = Now - Report.Age_;
    if (SeenAt <= Node.ReportedAt_)
      return;
    Node.ReportedAt_ = SeenAt;
    Node.Others_ = std::max<std::int64_t>(Report.InFlight_ - Node.Own_, 0);
  });
  watchRoom(Known->second, Now);
}

void EndpointTable::attemptSent(EndpointId Id, TimePoint Now) {
  update(Id, Now, [](Endpoint &Node) {
    ++Node.Own_;
    if (Node.Health_ == Health::Probation)
      Node.Health_ = Health::Probing;
  });
  watchRoom(Id, Now);
}

bool EndpointTable::attemptEnded(EndpointId Id, const EndpointObservation &Seen,
                                 TimePoint Now) {
  bool Drop = Seen.Result_ == AttemptResult::TimedOut;
  update(Id, Now, [&](Endpoint &Node) {
    --Node.Own_;
    if (Seen.Load_)
      applyLoad(Node, *Seen.Load_, Now);
    switch (Seen.Result_) {
    case AttemptResult::Completed:
      Node.AnsweredAt_ = Now;
      Node.OverdueShare_ -= OverdueWeight * Node.OverdueShare_;
      addLatency(Node, Seen.Elapsed_);
      markSuccess(Node);
      break;
    case AttemptResult::RefusedBusy:
      Node.AnsweredAt_ = Now;
      markSuccess(Node);
      Node.Refuses_ = true;
      Node.Others_ = std::max(Node.Others_, Node.Slots_ - Node.Own_);
      Node.BusyUntil_ = Now + Config_.Health_.BusyBackoff_;
      break;
    case AttemptResult::RefusedLeaving:
      Node.AnsweredAt_ = Now;
      Node.Leaving_ = true;
      break;
    case AttemptResult::Cancelled:
      addLatency(Node, Seen.Elapsed_);
      if (Node.Health_ == Health::Probing)
        suspect(Id, Node, Now);
      break;
    case AttemptResult::TimedOut:
      // An old connection may be dead while new ones work.
      if (Seen.FreshConnection_)
        markFailure(Id, Node, Now);
      else if (Node.Health_ == Health::Healthy)
        Node.Health_ = Health::Probation;
      break;
    case AttemptResult::ConnectFailed:
      suspect(Id, Node, Now);
      break;
    case AttemptResult::ConnectionLost:
    case AttemptResult::RequestIdMismatch:
    case AttemptResult::Truncated:
      markFailure(Id, Node, Now);
      break;
    }
  });
  watchRoom(Id, Now);
  return Drop;
}

bool EndpointTable::attemptOverdue(EndpointId Id, TimePoint SentAt,
                                   TimePoint Now) {
  bool Drop = false;
  update(Id, Now, [&](Endpoint &Node) {
    bool Quiet = !Node.AnsweredAt_ || *Node.AnsweredAt_ < SentAt;
    if (Quiet && Node.Health_ == Health::Healthy)
      Node.Health_ = Health::Probation;
    Node.OverdueShare_ += OverdueWeight * (1.0 - Node.OverdueShare_);
    Drop = Quiet || Node.OverdueShare_ > MaxOverdueShare;
    if (Drop)
      Node.OverdueShare_ = 0.0;
  });
  return Drop;
}

void EndpointTable::timerDue(const Timer &Due, TimePoint Now) {
  auto Id = static_cast<EndpointId>(Due.Id_);
  update(Id, Now, [&](Endpoint &Node) {
    if (Due.Kind_ == TimerKind::Probation) {
      if (Node.Health_ == Health::Suspect && Now >= Node.SuspectUntil_)
        Node.Health_ = Health::Probation;
      return;
    }
    // Without news for a while, one slot is taken to be free.
    bool Full = Node.Refuses_ && Node.load() >= Node.Slots_;
    if (Full && Now >= Node.BusyUntil_ && Node.Own_ < Node.Slots_)
      Node.Others_ = Node.Slots_ - Node.Own_ - 1;
  });
}

std::vector<PeerEndpointReport> EndpointTable::reports(TimePoint Now,
                                                       Duration MaxAge) const {
  std::vector<PeerEndpointReport> Found;
  for (const auto &[Name, Id] : ByName_) {
    const Endpoint &Node = at(Id);
    bool Fresh = Node.ToldLoadAt_ && Now - *Node.ToldLoadAt_ <= MaxAge;
    if (!Node.Listed_ || (!Node.Leaving_ && !Fresh))
      continue;
    Duration Age = Node.ToldLoadAt_ ? Now - *Node.ToldLoadAt_ : Duration();
    Found.push_back({Name, Node.load(), Node.Leaving_, Age});
  }
  return Found;
}

const ServicePool *EndpointTable::findPool(const ServiceName &Service) const {
  auto Found = Pools_.find(Service);
  return Found == Pools_.end() ? nullptr : &Found->second;
}

bool EndpointTable::anyAvailable(const Contract &Terms,
                                 const ServiceName &Service) const {
  const ServicePool *Pool = findPool(Service);
  if (!Pool)
    return false;
  return std::ranges::any_of(Pool->Available_, [&](const auto &Entry) {
    return Entry.second > 0 && Terms.allowsZone(Entry.first);
  });
}

bool EndpointTable::needsFreshConnection(EndpointId Id, TimePoint Now) const {
  const Endpoint &Node = at(Id);
  if (Node.Health_ != Health::Healthy || !Node.AnsweredAt_)
    return true;
  return Now - *Node.AnsweredAt_ > Config_.Health_.MaxIdleTime_;
}

bool EndpointTable::available(const Endpoint &Node) const {
  return Node.Listed_ && !Node.Leaving_ && !ZonesOut_.contains(Node.Zone_);
}

bool EndpointTable::open(const Endpoint &Node, TimePoint Now) const {
  if (!available(Node) || Node.Health_ != Health::Healthy)
    return false;
  if (Now < Node.BusyUntil_)
    return false;
  const auto *InTurn = std::get_if<RoundRobinPolicy>(&Config_.Policy_);
  if (InTurn && !InTurn->BoundedBySlots_)
    return true;
  if (Node.Own_ >= Node.Slots_)
    return false;
  bool Bounded = UsesReports_ && Node.Refuses_;
  return !Bounded || Node.load() < Node.Slots_;
}

template <typename Function>
void EndpointTable::update(EndpointId Id, TimePoint Now, Function Update) {
  Endpoint &Node = *Endpoints_[Id];
  ServicePool &Pool = Pools_[Node.Service_];
  bool Before = available(Node);
  bool HealthyBefore = Before && Node.Health_ == Health::Healthy;
  if (HealthyBefore) {
    --Pool.Healthy_;
    Pool.Load_ -= Node.load();
    Pool.Slots_ -= Node.Slots_;
  }
  Update(Node);
  bool After = available(Node);
  bool HealthyAfter = After && Node.Health_ == Health::Healthy;
  std::size_t &Available = Pool.Available_[Node.Zone_];
  if (Before && !After)
    --Available;
  if (!Before && After)
    ++Available;
  if (HealthyAfter) {
    ++Pool.Healthy_;
    Pool.Load_ += Node.load();
    Pool.Slots_ += Node.Slots_;
  }
  setOpen(Id, open(Node, Now));
  if (After && Node.Health_ == Health::Probation)
    Pool.OnProbation_.insert(Id);
  else
    Pool.OnProbation_.erase(Id);
}

void EndpointTable::setOpen(EndpointId Id, bool Open) {
  Endpoint &Node = *Endpoints_[Id];
  if (Open == Node.OpenAt_.has_value())
    return;
  std::vector<EndpointId> &List = Pools_[Node.Service_].Open_[Node.Zone_];
  if (Open) {
    Node.OpenAt_ = List.size();
    List.push_back(Id);
    ++OpenCount_;
    return;
  }
  // The last one takes its place, so that removal does not shift the others.
  EndpointId Moved = List.back();
  List[*Node.OpenAt_] = Moved;
  Endpoints_[Moved]->OpenAt_ = Node.OpenAt_;
  Node.OpenAt_.reset();
  List.pop_back();
  --OpenCount_;
}

void EndpointTable::watchRoom(EndpointId Id, TimePoint Now) {
  const Endpoint &Node = at(Id);
  if (Node.OpenAt_ || !available(Node) || Node.Health_ != Health::Healthy)
    return;
  // A full endpoint with room for others reports again when an attempt ends.
  if (Node.Own_ >= Node.Slots_)
    return;
  Duration Usual = Pools_[Node.Service_].Latency_.duration();
  TimePoint Due = Now + std::max(Config_.Health_.BusyBackoff_, Usual);
  Timers_.add({std::max(Due, Node.BusyUntil_), TimerKind::Reopen, Id, 0});
}

void EndpointTable::applyLoad(Endpoint &Node, const ObservedLoad &Load,
                              TimePoint Now) {
  Node.Leaving_ = Node.Leaving_ || Load.Leaving_;
  if (Load.Slots_ > 0)
    Node.Slots_ = Load.Slots_;
  Node.Others_ = std::max<std::int64_t>(Load.InFlight_ - Node.Own_, 0);
  Node.ReportedAt_ = Now;
  Node.ToldLoadAt_ = Now;
}

void EndpointTable::markSuccess(Endpoint &Node) {
  Node.Failures_ = 0;
  Node.SuspectTime_ = Duration::zero();
  Node.Health_ = Health::Healthy;
}

void EndpointTable::markFailure(EndpointId Id, Endpoint &Node, TimePoint Now) {
  ++Node.Failures_;
  bool Trying = Node.Health_ != Health::Healthy;
  if (Trying || Node.Failures_ >= Config_.Health_.SuspectAfterFailures_)
    suspect(Id, Node, Now);
}

void EndpointTable::suspect(EndpointId Id, Endpoint &Node, TimePoint Now) {
  // Attempts sent before it became suspect say nothing new.
  if (Node.Health_ == Health::Suspect)
    return;
  const HealthConfig &Limits = Config_.Health_;
  Duration Next = std::max(Limits.SuspectTime_, Node.SuspectTime_ * 2);
  Node.SuspectTime_ = std::min(Next, Limits.MaxSuspectTime_);
  Node.SuspectUntil_ = Now + Node.SuspectTime_;
  Node.Health_ = Health::Suspect;
  Timers_.add({Node.SuspectUntil_, TimerKind::Probation, Id, 0});
}

void EndpointTable::addLatency(Endpoint &Node, Duration Took) {
  Node.Latency_.add(Took);
  bool Remote = Node.Zone_ != Config_.Zone_;
  Duration Extra = Remote ? Config_.InterZoneRoundTrip_ : Duration::zero();
  Pools_[Node.Service_].Latency_.add(std::max(Took - Extra, Duration(1)));
}

} // namespace filbertspring::routing
