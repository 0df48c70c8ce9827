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

std::vector<Member> LivenessTracker::members(TimePoint Now) const {
  std::vector<Member> Members;
  for (const auto &[Name, Entry] : Impl_->Observations_)
    if (Entry.Version_ != AbsentVersion)
      Members.push_back(
          {Entry.Heartbeat_, Impl_->stateOf(Entry, Now), Entry.Version_});
  return Members;
}

} // namespace filbertspring::membership
