#include "filbertspring/scheduling/predecessor_leases.h"

#include <algorithm>

namespace filbertspring::scheduling {
namespace {

constexpr Duration ValidFor = OwnerLeaseTimings().ValidFor_;

/// More than can begin while a start command may be executed late.
constexpr std::size_t MaxTenureStarts = 8;

} // namespace

std::map<std::uint64_t, Duration> makeTenureAges(const TenureStarts &Starts,
                                                 TimePoint Now) {
  std::map<std::uint64_t, Duration> Ages;
  for (const auto &[Tenure, Start] : Starts)
    Ages[Tenure] = std::max(Now - Start, Duration::zero());
  return Ages;
}

std::vector<LeaseNote> makeLeaseNotes(const NotedLeases &Leases,
                                      TimePoint Now) {
  std::vector<LeaseNote> Notes;
  Notes.reserve(Leases.size());
  for (const auto &[Worker, Lease] : Leases)
    Notes.push_back({Worker, Lease.StartedAtMs_,
                     std::max(Lease.End_ - Now, Duration::zero())});
  return Notes;
}

PredecessorLeases::PredecessorLeases(OwnerRecord Self, TimePoint StartedAt)
    : Self_(std::move(Self)), StartedAt_(StartedAt) {}

void PredecessorLeases::rowRead(const OwnerRecord &Record,
                                std::uint64_t Version, TimePoint Now) {
  if (Version == Version_)
    return;
  // After an unreadable row, the numbers of tenures begin anew.
  if (Record.Tenure_ < Record_.Tenure_)
    TenureStarts_.clear();
  bool IsOtherTenure = !Version_ || Record.Tenure_ != Record_.Tenure_ ||
                       Record.Nonce_ != Record_.Nonce_;
  Version_ = Version;
  VersionSince_ = Now;
  Record_ = Record;
  if (IsOtherTenure) {
    // The owners before this one were valid for this time at most when it took
    // the cell over.
    TenureBound_ = Now + ValidFor;
    ReleasedSince_.reset();
  }
  // A later row may say less: the bound holds together with the notes.
  EarlierGrantsEnd_ = TenureBound_;
  if (Record.EarlierGrants_)
    EarlierGrantsEnd_ = std::min(TenureBound_, Now + *Record.EarlierGrants_);
  for (const auto &[Tenure, Age] : Record.TenureAges_) {
    if (Tenure == 0)
      continue;
    TimePoint &Start = TenureStarts_.try_emplace(Tenure, Now).first->second;
    Start = std::min(Start, Now - Age);
  }
  if (Record.Tenure_ != 0)
    TenureStarts_.try_emplace(Record.Tenure_, Now);
  while (TenureStarts_.size() > MaxTenureStarts)
    TenureStarts_.erase(TenureStarts_.begin());
  // An unreadable row has no nonce.
  bool IsReleased = Record.Holder_.empty() && !Record.Nonce_.empty();
  if (!IsReleased)
    ReleasedSince_.reset();
  else if (!ReleasedSince_)
    ReleasedSince_ = Now;
  Notes_.clear();
  for (const LeaseNote &Note : Record.Notes_)
    Notes_[Note.Worker_] = {Note.StartedAtMs_, Now + Note.Left_};
}

TimePoint PredecessorLeases::grantsEnd(TimePoint Now) const {
  return std::max(EarlierGrantsEnd_, lastOwnerGrantsEnd(Now));
}

TimePoint PredecessorLeases::lastOwnerGrantsEnd(TimePoint Now) const {
  // An owner grants nothing after its release.
  if (ReleasedSince_)
    return *ReleasedSince_;
  // A process of an instance starts after the previous one has ended. A machine
  // that replaces another has a different address.
  bool IsThisInstance = !Record_.Holder_.empty() &&
                        Record_.Holder_ == Self_.Holder_ &&
                        Record_.Address_ == Self_.Address_;
  if (IsThisInstance)
    return Record_.Nonce_ == Self_.Nonce_ ? Now : StartedAt_;
  // The takeover is conditional on this version, so the owner has not confirmed
  // its ownership since.
  return VersionSince_ + ValidFor;
}

} // namespace filbertspring::scheduling
