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
  std::map<InstanceName, Observation> Seen_;
  std::optional<TimePoint> FirstScanAt_;
  TimePoint LastSentAt_ = TimePoint::min();

  void observe(const StoredRow &Row, TimePoint Now);
  void observeAbsent(const std::set<InstanceName> &Present, TimePoint Now);
  bool lapsed(const InstanceName &Name) const;
  bool lapsedSince(TimePoint ChangedAt) const;
  Liveness stateOf(const Observation &Entry, TimePoint Now) const;
};

void LivenessTracker::Impl::observe(const StoredRow &Row, TimePoint Now) {
  const auto *Record = std::get_if<HeartbeatRecord>(&Row.Value_);
  if (!Record)
    return;
  Observation &Entry = Seen_[Record->Instance_];
  if (Entry.Version_ == Row.Version_)
    return;
  Entry = {*Record, Row.Version_, Now};
}

void LivenessTracker::Impl::observeAbsent(const std::set<InstanceName> &Present,
                                          TimePoint Now) {
  std::erase_if(Seen_, [&](const auto &Each) {
    const Observation &Entry = Each.second;
    return Entry.Version_ == AbsentVersion && lapsedSince(Entry.ChangedAt_);
  });
  for (auto &[Name, Entry] : Seen_) {
    if (Present.contains(Name) || Entry.Version_ == AbsentVersion)
      continue;
    Entry.Version_ = AbsentVersion;
    Entry.ChangedAt_ = Now;
  }
}

bool LivenessTracker::Impl::lapsedSince(TimePoint ChangedAt) const {
  return LastSentAt_ >= ChangedAt + Settings_.observedLeaseDuration();
}

bool LivenessTracker::Impl::lapsed(const InstanceName &Name) const {
  if (!FirstScanAt_)
    return false;
  auto Found = Seen_.find(Name);
  return lapsedSince(Found == Seen_.end() ? *FirstScanAt_
                                          : Found->second.ChangedAt_);
}

Liveness LivenessTracker::Impl::stateOf(const Observation &Entry,
                                        TimePoint Now) const {
  if (lapsedSince(Entry.ChangedAt_))
    return Liveness::Lapsed;
  const bool Late = Now - Entry.ChangedAt_ >= Settings_.SuspicionTimeout_;
  if (Late || Entry.Version_ == AbsentVersion)
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
  if (Scan.SentAt_ < Impl_->LastSentAt_)
    return;
  Impl_->LastSentAt_ = Scan.SentAt_;
  if (!Impl_->FirstScanAt_)
    Impl_->FirstScanAt_ = Now;
  std::set<InstanceName> Present;
  for (const StoredRow &Row : Scan.Rows_) {
    Impl_->observe(Row, Now);
    Present.insert(InstanceName(Row.Key_.Name_));
  }
  Impl_->observeAbsent(Present, Now);
}

Liveness LivenessTracker::stateOf(const InstanceName &Name,
                                  TimePoint Now) const {
  auto Found = Impl_->Seen_.find(Name);
  if (Found != Impl_->Seen_.end())
    return Impl_->stateOf(Found->second, Now);
  return Impl_->lapsed(Name) ? Liveness::Lapsed : Liveness::Suspected;
}

std::optional<Guard>
LivenessTracker::lapsedGuard(const InstanceName &Name) const {
  if (!Impl_->lapsed(Name))
    return std::nullopt;
  auto Found = Impl_->Seen_.find(Name);
  const bool Known = Found != Impl_->Seen_.end();
  return Guard{{RowKind::Heartbeat, Name.str()},
               Known ? Found->second.Version_ : AbsentVersion};
}

std::vector<Member> LivenessTracker::members(TimePoint Now) const {
  std::vector<Member> Found;
  for (const auto &[Name, Entry] : Impl_->Seen_)
    if (Entry.Version_ != AbsentVersion)
      Found.push_back(
          {Entry.Heartbeat_, Impl_->stateOf(Entry, Now), Entry.Version_});
  return Found;
}

} // namespace filbertspring::membership
