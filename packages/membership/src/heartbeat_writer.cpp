#include "filbertspring/membership/heartbeat_writer.h"

#include <algorithm>
#include <string>
#include <utility>

namespace filbertspring::membership {

namespace {

using HeartbeatActions = std::vector<HeartbeatAction>;

/// Returns the common prefix of the transaction identifiers of one process.
std::string transactionPrefix(const std::string &Boot) { return Boot + "/hb/"; }

/// A transaction that has not been answered.
struct Sent {
  TransactionId Id_;
  TimePoint At_;
};

} // namespace

struct HeartbeatWriter::Impl {
  HeartbeatRecord Self_;
  std::string Prefix_;
  LeaseSettings Settings_;

  HolderLease Lease_;
  /// The last known version of the instance's own row; std::nullopt while it is
  /// unknown.
  std::optional<RowVersion> Version_;
  /// True once a heartbeat of this process was committed.
  bool Registered_ = false;
  /// True when the row of an earlier process existed at the start.
  bool Inherited_ = false;
  bool Superseded_ = false;
  bool Stopping_ = false;
  std::optional<Sent> Sent_;
  std::optional<TimePoint> ReadSince_;
  std::optional<TimePoint> LastSent_;
  std::int64_t Serial_ = 0;

  HeartbeatActions on(const HeartbeatTick &, TimePoint Now);
  HeartbeatActions on(const OwnHeartbeatRead &Read, TimePoint Now);
  HeartbeatActions on(const HeartbeatCommitEnded &Ended, TimePoint Now);
  HeartbeatActions on(const LeaveRequested &, TimePoint Now);
  HeartbeatActions on(const StopRequested &, TimePoint Now);

  RowKey key() const { return {RowKind::Heartbeat, Self_.Instance_.str()}; }
  HeartbeatActions readRow(TimePoint Now);
  HeartbeatActions write(TimePoint Now);
  void renew(TimePoint SentAt, TimePoint Now);
  void endLease();
};

HeartbeatActions HeartbeatWriter::Impl::readRow(TimePoint Now) {
  Version_.reset();
  Sent_.reset();
  ReadSince_ = Now;
  return {ReadOwnHeartbeat{}};
}

HeartbeatActions HeartbeatWriter::Impl::write(TimePoint Now) {
  Transaction Request;
  Request.Id_ = TransactionId(Prefix_ + std::to_string(++Serial_));
  Self_.Sequence_ = Serial_;
  Change Row{key(), *Version_, RowValue(Self_)};
  if (Stopping_)
    Row.Value_.reset();
  Request.Changes_.push_back(std::move(Row));
  Sent_ = Sent{Request.Id_, Now};
  LastSent_ = Now;
  return {CommitHeartbeat{std::move(Request)}};
}

void HeartbeatWriter::Impl::renew(TimePoint SentAt, TimePoint Now) {
  const TimePoint Until = SentAt + Settings_.LeaseDuration_;
  if (!Registered_) {
    // An earlier process with this name may use its share until its own lease
    // ends. Its last renewal preceded the write that replaced its row.
    Lease_.Since_ = Inherited_ ? Now + Settings_.observedLeaseDuration() : Now;
    Registered_ = true;
  } else if (Now >= Lease_.Until_) {
    // Other instances may have reclaimed shares since the lease ended, so rows
    // read before now are no longer valid.
    Lease_.Since_ = std::max(Lease_.Since_, Now);
  }
  Lease_.Until_ = std::max(Lease_.Until_, Until);
}

void HeartbeatWriter::Impl::endLease() { Lease_ = HolderLease{}; }

HeartbeatActions HeartbeatWriter::Impl::on(const HeartbeatTick &,
                                           TimePoint Now) {
  if (Superseded_ || (Stopping_ && Registered_ && !Version_ && !ReadSince_))
    return {};
  const bool Unanswered =
      Sent_ && Now - Sent_->At_ >= Settings_.HeartbeatInterval_;
  const bool ReadLost =
      ReadSince_ && Now - *ReadSince_ >= Settings_.HeartbeatInterval_;
  if (Unanswered || ReadLost || (!Version_ && !ReadSince_ && !Sent_))
    return readRow(Now);
  const bool Due =
      !LastSent_ || Now - *LastSent_ >= Settings_.HeartbeatInterval_;
  if (!Version_ || Sent_ || !Due)
    return {};
  return write(Now);
}

HeartbeatActions HeartbeatWriter::Impl::on(const OwnHeartbeatRead &Read,
                                           TimePoint Now) {
  if (!ReadSince_ || Superseded_)
    return {};
  ReadSince_.reset();
  const bool Exists = Read.Row_.has_value();
  const bool Ours = Exists && Read.Row_->Writer_.str().starts_with(Prefix_);
  if (Registered_ && Exists && !Ours) {
    Superseded_ = true;
    endLease();
    return {};
  }
  if (!Registered_ && Exists && !Ours)
    Inherited_ = true;
  Version_ = Exists ? Read.Row_->Version_ : AbsentVersion;
  if (Stopping_ && !Exists)
    return {};
  return write(Now);
}

HeartbeatActions HeartbeatWriter::Impl::on(const HeartbeatCommitEnded &Ended,
                                           TimePoint Now) {
  if (!Sent_ || Sent_->Id_ != Ended.Id_)
    return {};
  const TimePoint SentAt = Sent_->At_;
  Sent_.reset();
  switch (Ended.Result_.Outcome_) {
  case CommitOutcome::Committed:
    if (Stopping_) {
      Version_.reset();
      return {};
    }
    Version_ = Ended.Result_.Version_;
    renew(SentAt, Now);
    return {};
  case CommitOutcome::NotCommitted:
    return {};
  case CommitOutcome::Conflict:
  case CommitOutcome::Unknown:
    return readRow(Now);
  }
  return {};
}

HeartbeatActions HeartbeatWriter::Impl::on(const LeaveRequested &,
                                           TimePoint Now) {
  Self_.Leaving_ = true;
  const bool CanWrite = Version_ && !Sent_ && !Superseded_;
  return CanWrite ? write(Now) : HeartbeatActions{};
}

HeartbeatActions HeartbeatWriter::Impl::on(const StopRequested &,
                                           TimePoint Now) {
  Stopping_ = true;
  endLease();
  const bool CanWrite = Version_ && !Sent_ && !Superseded_;
  return CanWrite ? write(Now) : HeartbeatActions{};
}

HeartbeatWriter::HeartbeatWriter(HeartbeatRecord Self, const std::string &Boot,
                                 LeaseSettings Settings)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Self_ = std::move(Self);
  Impl_->Prefix_ = transactionPrefix(Boot);
  Impl_->Settings_ = Settings;
}
HeartbeatWriter::~HeartbeatWriter() = default;
HeartbeatWriter::HeartbeatWriter(HeartbeatWriter &&) noexcept = default;
HeartbeatWriter &
HeartbeatWriter::operator=(HeartbeatWriter &&) noexcept = default;

std::vector<HeartbeatAction>
HeartbeatWriter::handle(const HeartbeatEvent &Event, TimePoint Now) {
  return std::visit([&](const auto &Each) { return Impl_->on(Each, Now); },
                    Event);
}

const HolderLease &HeartbeatWriter::lease() const { return Impl_->Lease_; }

bool HeartbeatWriter::superseded() const { return Impl_->Superseded_; }

} // namespace filbertspring::membership
