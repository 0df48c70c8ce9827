#include "filbertspring/membership/heartbeat_writer.h"

#include <algorithm>
#include <string>
#include <utility>

namespace filbertspring::membership {

namespace {

using HeartbeatActions = std::vector<HeartbeatAction>;

/// Returns the common prefix of the transaction identifiers of one process.
std::string transactionPrefix(const std::string &BootId) {
  return BootId + "/hb/";
}

/// A transaction that has not been answered.
struct PendingTransaction {
  TransactionId Id_;
  TimePoint SentAt_;
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
  bool HadPredecessor_ = false;
  bool Superseded_ = false;
  bool Stopping_ = false;
  bool IsReleased_ = false;
  std::optional<PendingTransaction> PendingTransaction_;
  std::optional<TimePoint> ReadSentAt_;
  std::optional<TimePoint> LastWriteSentAt_;
  std::int64_t Serial_ = 0;

  HeartbeatActions handle(const HeartbeatTick &, TimePoint Now);
  HeartbeatActions handle(const OwnHeartbeatRead &Read, TimePoint Now);
  HeartbeatActions handle(const HeartbeatCommitEnded &Commit, TimePoint Now);
  HeartbeatActions handle(const LeaveRequested &, TimePoint Now);
  HeartbeatActions handle(const StopRequested &, TimePoint Now);

  RowKey key() const { return {RowKind::Heartbeat, Self_.Instance_.str()}; }
  HeartbeatActions requestRead(TimePoint Now);
  HeartbeatActions write(TimePoint Now);
  void renewLease(TimePoint SentAt, TimePoint Now);
  void endLease();
};

HeartbeatActions HeartbeatWriter::Impl::requestRead(TimePoint Now) {
  Version_.reset();
  PendingTransaction_.reset();
  ReadSentAt_ = Now;
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
  PendingTransaction_ = PendingTransaction{Request.Id_, Now};
  LastWriteSentAt_ = Now;
  return {CommitHeartbeat{std::move(Request)}};
}

void HeartbeatWriter::Impl::renewLease(TimePoint SentAt, TimePoint Now) {
  const TimePoint NewEnd = SentAt + Settings_.LeaseDuration_;
  if (!Registered_) {
    // An earlier process with this name may use its share until its own lease
    // ends. Its last renewal preceded the write that replaced its row.
    Lease_.Since_ =
        HadPredecessor_ ? Now + Settings_.observedLeaseDuration() : Now;
    Registered_ = true;
  } else if (Now >= Lease_.Until_) {
    // Other instances may have reclaimed shares since the lease ended, so rows
    // read before now are no longer valid.
    Lease_.Since_ = std::max(Lease_.Since_, Now);
  }
  Lease_.Until_ = std::max(Lease_.Until_, NewEnd);
}

void HeartbeatWriter::Impl::endLease() { Lease_ = HolderLease{}; }

HeartbeatActions HeartbeatWriter::Impl::handle(const HeartbeatTick &,
                                               TimePoint Now) {
  if (Superseded_ || (Stopping_ && Registered_ && !Version_ && !ReadSentAt_))
    return {};
  const bool CommitTimedOut =
      PendingTransaction_ &&
      Now - PendingTransaction_->SentAt_ >= Settings_.HeartbeatInterval_;
  const bool ReadTimedOut =
      ReadSentAt_ && Now - *ReadSentAt_ >= Settings_.HeartbeatInterval_;
  if (CommitTimedOut || ReadTimedOut ||
      (!Version_ && !ReadSentAt_ && !PendingTransaction_))
    return requestRead(Now);
  const bool Due = !LastWriteSentAt_ ||
                   Now - *LastWriteSentAt_ >= Settings_.HeartbeatInterval_;
  if (!Version_ || PendingTransaction_ || !Due)
    return {};
  return write(Now);
}

HeartbeatActions HeartbeatWriter::Impl::handle(const OwnHeartbeatRead &Read,
                                               TimePoint Now) {
  if (!ReadSentAt_ || Superseded_)
    return {};
  ReadSentAt_.reset();
  const bool Exists = Read.Row_.has_value();
  const bool IsOwn = Exists && Read.Row_->Writer_.str().starts_with(Prefix_);
  if (Registered_ && Exists && !IsOwn) {
    Superseded_ = true;
    endLease();
    return {};
  }
  if (!Registered_ && Exists && !IsOwn)
    HadPredecessor_ = true;
  Version_ = Exists ? Read.Row_->Version_ : AbsentVersion;
  if (Stopping_ && !Exists) {
    IsReleased_ = true;
    return {};
  }
  return write(Now);
}

HeartbeatActions
HeartbeatWriter::Impl::handle(const HeartbeatCommitEnded &Commit,
                              TimePoint Now) {
  if (!PendingTransaction_ || PendingTransaction_->Id_ != Commit.Id_)
    return {};
  const TimePoint SentAt = PendingTransaction_->SentAt_;
  PendingTransaction_.reset();
  switch (Commit.Result_.Outcome_) {
  case CommitOutcome::Committed:
    if (Stopping_) {
      Version_.reset();
      IsReleased_ = true;
      return {};
    }
    Version_ = Commit.Result_.Version_;
    renewLease(SentAt, Now);
    return {};
  case CommitOutcome::NotCommitted:
    return {};
  case CommitOutcome::Conflict:
  case CommitOutcome::Unknown:
    return requestRead(Now);
  }
  return {};
}

HeartbeatActions HeartbeatWriter::Impl::handle(const LeaveRequested &,
                                               TimePoint Now) {
  Self_.Leaving_ = true;
  const bool CanWrite = Version_ && !PendingTransaction_ && !Superseded_;
  return CanWrite ? write(Now) : HeartbeatActions{};
}

HeartbeatActions HeartbeatWriter::Impl::handle(const StopRequested &,
                                               TimePoint Now) {
  Stopping_ = true;
  endLease();
  const bool CanWrite = Version_ && !PendingTransaction_ && !Superseded_;
  return CanWrite ? write(Now) : HeartbeatActions{};
}

HeartbeatWriter::HeartbeatWriter(HeartbeatRecord Self,
                                 const std::string &BootId,
                                 LeaseSettings Settings)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Self_ = std::move(Self);
  Impl_->Prefix_ = transactionPrefix(BootId);
  Impl_->Settings_ = Settings;
}
HeartbeatWriter::~HeartbeatWriter() = default;
HeartbeatWriter::HeartbeatWriter(HeartbeatWriter &&) noexcept = default;
HeartbeatWriter &
HeartbeatWriter::operator=(HeartbeatWriter &&) noexcept = default;

std::vector<HeartbeatAction>
HeartbeatWriter::handle(const HeartbeatEvent &Event, TimePoint Now) {
  return std::visit(
      [&](const auto &Alternative) { return Impl_->handle(Alternative, Now); },
      Event);
}

const HolderLease &HeartbeatWriter::lease() const { return Impl_->Lease_; }

bool HeartbeatWriter::isReleased() const { return Impl_->IsReleased_; }

bool HeartbeatWriter::superseded() const { return Impl_->Superseded_; }

} // namespace filbertspring::membership
