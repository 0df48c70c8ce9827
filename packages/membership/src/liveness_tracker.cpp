#include "filbertspring/membership/liveness_tracker.h"

#include <algorithm>
#include <map>
#include <set>

namespace filbertspring::membership {

namespace {

/// The last observation of one instance by the scans.
struct Observation {
  HeartbeatRecord Heartbeat_;
  RowVersion Version_ = AbsentVersion;
  /// When the first scan with this version was answered: the latest time at
  /// which the row can have been written.
  TimePoint ChangedAt_;
};

/// Returns whether two processes have the same instance name, which is followed
/// by a point and a suffix of the process.
bool areOfSameInstance(const InstanceName &Left, const InstanceName &Right) {
  const std::string &First = Left.str();
  const std::string &Second = Right.str();
  const std::size_t Length = First.rfind('.');
  return Length != std::string::npos && Length == Second.rfind('.') &&
         First.compare(0, Length, Second, 0, Length) == 0;
}

} // namespace

struct LivenessTracker::Impl {
  explicit Impl(LeaseSettings Settings) : Settings_(Settings) {}

  LeaseSettings Settings_;
  std::map<InstanceName, Observation> Observations_;
  std::optional<TimePoint> FirstScanAt_;
  TimePoint LastScanSentAt_ = TimePoint::min();

  void recordRow(const StoredRow &Row, TimePoint Now);
  void recordAbsentRows(const std::set<InstanceName> &Present, TimePoint Now);
  bool hasLapsed(const InstanceName &Name) const;
  bool leaseExpiredSince(TimePoint ChangedAt) const;
  Liveness stateOf(const Observation &Entry, TimePoint Now) const;
};

void LivenessTracker::Impl::recordRow(const StoredRow &Row, TimePoint Now) {
  const auto *Record = std::get_if<HeartbeatRecord>(&Row.Value_);
  if (!Record)
    return;
  Observation &Entry = Observations_[Record->Instance_];
  if (Entry.Version_ == Row.Version_)
    return;
  Entry = {*Record, Row.Version_, Now};
}

void LivenessTracker::Impl::recordAbsentRows(
    const std::set<InstanceName> &Present, TimePoint Now) {
  std::erase_if(Observations_, [&](const auto &Item) {
    const Observation &Entry = Item.second;
    return Entry.Version_ == AbsentVersion &&
           leaseExpiredSince(Entry.ChangedAt_);
  });
  for (auto &[Name, Entry] : Observations_) {
    if (Present.contains(Name) || Entry.Version_ == AbsentVersion)
      continue;
    Entry.Version_ = AbsentVersion;
    Entry.ChangedAt_ = Now;
  }
}

bool LivenessTracker::Impl::leaseExpiredSince(TimePoint ChangedAt) const {
  return LastScanSentAt_ >= ChangedAt + Settings_.observedLeaseDuration();
}

bool LivenessTracker::Impl::hasLapsed(const InstanceName &Name) const {
  if (!FirstScanAt_)
    return false;
  auto It = Observations_.find(Name);
  return leaseExpiredSince(It == Observations_.end() ? *FirstScanAt_
                                                     : It->second.ChangedAt_);
}

Liveness LivenessTracker::Impl::stateOf(const Observation &Entry,
                                        TimePoint Now) const {
  if (leaseExpiredSince(Entry.ChangedAt_))
    return Liveness::Lapsed;
  const bool IsOverdue = Now - Entry.ChangedAt_ >= Settings_.SuspicionTimeout_;
  if (IsOverdue || Entry.Version_ == AbsentVersion)
    return Liveness::Suspected;
  return Entry.Heartbeat_.Leaving_ ? Liveness::Leaving : Liveness::Alive;
}

LivenessTracker::LivenessTracker(LeaseSettings Settings)
    : Impl_(std::make_unique<Impl>(Settings)) {}
LivenessTracker::~LivenessTracker() = default;
LivenessTracker::LivenessTracker(LivenessTracker &&) noexcept = default;
LivenessTracker &
LivenessTracker::operator=(LivenessTracker &&) noexcept = default;

void LivenessTracker::handle(const HeartbeatScan &Scan, TimePoint Now) {
  if (Scan.SentAt_ < Impl_->LastScanSentAt_)
    return;
  Impl_->LastScanSentAt_ = Scan.SentAt_;
  if (!Impl_->FirstScanAt_)
    Impl_->FirstScanAt_ = Now;
  std::set<InstanceName> Present;
  for (const StoredRow &Row : Scan.Rows_) {
    Impl_->recordRow(Row, Now);
    Present.insert(InstanceName(Row.Key_.Name_));
  }
  Impl_->recordAbsentRows(Present, Now);
}

Liveness LivenessTracker::stateOf(const InstanceName &Name,
                                  TimePoint Now) const {
  auto It = Impl_->Observations_.find(Name);
  if (It != Impl_->Observations_.end())
    return Impl_->stateOf(It->second, Now);
  return Impl_->hasLapsed(Name) ? Liveness::Lapsed : Liveness::Suspected;
}

std::optional<Guard>
LivenessTracker::lapsedGuard(const InstanceName &Name) const {
  if (!Impl_->hasLapsed(Name))
    return std::nullopt;
  auto It = Impl_->Observations_.find(Name);
  const bool IsKnown = It != Impl_->Observations_.end();
  return Guard{{RowKind::Heartbeat, Name.str()},
               IsKnown ? It->second.Version_ : AbsentVersion};
}

std::optional<Guard>
LivenessTracker::predecessorGuard(const InstanceName &Name,
                                  const InstanceName &Successor) const {
  auto Own = Impl_->Observations_.find(Successor);
  if (Name == Successor || Own == Impl_->Observations_.end() ||
      !areOfSameInstance(Name, Successor))
    return std::nullopt;
  const Guard NoHeartbeat{{RowKind::Heartbeat, Name.str()}, AbsentVersion};
  auto It = Impl_->Observations_.find(Name);
  // A row is deleted by its process when it no longer uses a share, or by
  // others when its lease has ended.
  if (It == Impl_->Observations_.end() || It->second.Version_ == AbsentVersion)
    return NoHeartbeat;
  const Observation &Earlier = It->second;
  const HeartbeatRecord &Record = Earlier.Heartbeat_;
  const HeartbeatRecord &OwnRecord = Own->second.Heartbeat_;
  const bool IsReplaced =
      Record.Http_ == OwnRecord.Http_ && Record.Peer_ == OwnRecord.Peer_;
  // A process that drains has closed its address but may use its share.
  const Duration MaxSilence =
      Impl_->Settings_.SuspicionTimeout_ +
      (Record.Leaving_ ? Impl_->Settings_.DrainLimit_ : Duration::zero());
  const bool IsSilent =
      Impl_->LastScanSentAt_ >= Earlier.ChangedAt_ + MaxSilence;
  if (!IsReplaced || !IsSilent)
    return std::nullopt;
  return Guard{NoHeartbeat.Key_, Earlier.Version_};
}

std::vector<Member> LivenessTracker::members(TimePoint Now) const {
  std::vector<Member> Members;
  for (const auto &[Name, Entry] : Impl_->Observations_)
    if (Entry.Version_ != AbsentVersion)
      Members.push_back(
          {Entry.Heartbeat_, Impl_->stateOf(Entry, Now), Entry.Version_});
  return Members;
}

} // namespace filbertspring::membership
