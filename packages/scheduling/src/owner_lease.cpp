#include "filbertspring/scheduling/owner_lease.h"

#include <nlohmann/json.hpp>

namespace filbertspring::scheduling {

using nlohmann::json;

std::string encodeOwnerRecord(const OwnerRecord &Record) {
  json Value = {{"holder", Record.Holder_},
                {"nonce", Record.Nonce_},
                {"address", Record.Address_},
                {"tenure", Record.Tenure_}};
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

OwnerRecord decodeOwnerRecord(std::string_view Text) {
  OwnerRecord Record;
  json Value = json::parse(Text, nullptr, false);
  if (!Value.is_object())
    return Record;
  try {
    Record.Tenure_ = Value.value("tenure", std::uint64_t{0});
    Record.Nonce_ = Value.value("nonce", "");
    Record.Address_ = Value.value("address", "");
    Record.Holder_ = Value.value("holder", "");
  } catch (const json::exception &) {
    Record.Holder_.clear();
  }
  return Record;
}

Duration takeoverDelay(double Own, double Strongest) {
  /// Instances within a fifth of the strongest count as equal.
  constexpr double EqualPart = 0.8;
  /// The owner of a large cell uses up to this part of the strongest.
  constexpr double SufficientPart = 0.5;
  /// Two pauses between readings of the row, so that a stronger one had time.
  constexpr Duration Short = std::chrono::milliseconds(700);
  constexpr Duration Long = std::chrono::milliseconds(1500);
  if (Own >= EqualPart * Strongest)
    return Duration::zero();
  return Own >= SufficientPart * Strongest ? Short : Long;
}

OwnerLease::OwnerLease(OwnerRecord Self, OwnerLeaseTimings Times)
    : Self_(std::move(Self)), Times_(Times) {}

void OwnerLease::rowRead(const OwnerRecord &Record, std::uint64_t Version,
                         TimePoint SentAt) {
  // Reads on several connections may overtake each other.
  if (IsKnown_ && Version != 0 && Version < Version_)
    return;
  if (!IsKnown_ || Version != Version_)
    ChangedAt_ = SentAt;
  IsKnown_ = true;
  Record_ = Record;
  Version_ = Version;
  ProvenAt_ = SentAt;
}

void OwnerLease::rowUnchanged(TimePoint Now) { ProvenAt_ = Now; }

void OwnerLease::rowWritten(const OwnerRecord &Record, std::uint64_t Version,
                            TimePoint SentAt) {
  IsKnown_ = true;
  Record_ = Record;
  Version_ = Version;
  ChangedAt_ = SentAt;
  ProvenAt_ = SentAt;
  ConfirmedAt_ = SentAt;
}

void OwnerLease::readFailed(TimePoint Now) {
  ChangedAt_ = Now;
  ProvenAt_ = Now;
}

bool OwnerLease::isOwner() const {
  return IsKnown_ && Version_ != 0 && Record_.Holder_ == Self_.Holder_ &&
         Record_.Nonce_ == Self_.Nonce_;
}

bool OwnerLease::isValid(TimePoint Now) const {
  return isOwner() && Now - ConfirmedAt_ < Times_.ValidFor_;
}

bool OwnerLease::shouldTakeOver(TimePoint /*Now*/) const {
  if (!IsKnown_ || isOwner())
    return false;
  // The process before this one on the same instance is gone.
  if (Version_ != 0 && Record_.Holder_ == Self_.Holder_)
    return true;
  Duration Wait = Times_.TakeoverAfter_;
  if (Version_ == 0)
    Wait = Times_.FirstOwnerDelay_;
  else if (Record_.Holder_.empty())
    Wait = Duration::zero();
  return ProvenAt_ - ChangedAt_ >= Wait + Handicap_;
}

bool OwnerLease::shouldRenew(TimePoint Now) const {
  return isOwner() && Now - ConfirmedAt_ >= Times_.RenewalInterval_;
}

OwnerRecord OwnerLease::takeoverRecord() const {
  OwnerRecord Mine = Self_;
  Mine.Tenure_ = Record_.Tenure_ + 1;
  return Mine;
}

OwnerRecord OwnerLease::releaseRecord() const {
  OwnerRecord Nobody;
  Nobody.Nonce_ = Self_.Nonce_;
  Nobody.Tenure_ = Record_.Tenure_;
  return Nobody;
}

} // namespace filbertspring::scheduling
