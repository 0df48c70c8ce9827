#include "filbertspring/scheduling/owner_lease.h"

#include <nlohmann/json.hpp>

namespace filbertspring::scheduling {

using nlohmann::json;

std::string encodeOwnerRecord(const OwnerRecord &Record) {
  json Value = {{"holder", Record.Holder_},
                {"nonce", Record.Nonce_},
                {"tenure", Record.Tenure_}};
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

OwnerRecord decodeOwnerRecord(std::string_view Text) {
  OwnerRecord Record;
  json Value = json::parse(Text, nullptr, false);
  if (!Value.is_object())
    return Record;
  Record.Holder_ = Value.value("holder", "");
  Record.Nonce_ = Value.value("nonce", "");
  Record.Tenure_ = Value.value("tenure", std::uint64_t{0});
  return Record;
}

OwnerLease::OwnerLease(std::string Instance, std::string Nonce,
                       OwnerTimes Times)
    : Instance_(std::move(Instance)), Nonce_(std::move(Nonce)), Times_(Times) {}

void OwnerLease::rowSeen(const OwnerRecord &Record, std::uint64_t Version,
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
  return IsKnown_ && Version_ != 0 && Record_.Holder_ == Instance_ &&
         Record_.Nonce_ == Nonce_;
}

bool OwnerLease::isTrusted(TimePoint Now) const {
  return isOwner() && Now - ConfirmedAt_ < Times_.TrustedFor_;
}

bool OwnerLease::shouldTakeOver(TimePoint /*Now*/) const {
  if (!IsKnown_ || isOwner())
    return false;
  if (Version_ == 0 || Record_.Holder_.empty())
    return true;
  return ProvenAt_ - ChangedAt_ >= Times_.TakeoverAfter_;
}

bool OwnerLease::shouldRenew(TimePoint Now) const {
  return isOwner() && Now - ConfirmedAt_ >= Times_.RenewEvery_;
}

OwnerRecord OwnerLease::takeoverRecord() const {
  return {Instance_, Nonce_, Record_.Tenure_ + 1};
}

OwnerRecord OwnerLease::releaseRecord() const {
  return {"", Nonce_, Record_.Tenure_};
}

} // namespace filbertspring::scheduling
