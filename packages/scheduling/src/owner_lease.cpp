#include "filbertspring/scheduling/owner_lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace filbertspring::scheduling {

using nlohmann::json;

namespace {

/// Longer durations are not believed.
constexpr Duration MaxNotedDuration = std::chrono::seconds(60);

/// Rounds up, so that readers do not count less than \p Time.
std::int64_t encodeDuration(Duration Time) {
  return std::chrono::ceil<std::chrono::milliseconds>(Time).count();
}

std::optional<Duration> decodeDuration(const json &Value) {
  if (!Value.is_number_integer())
    return std::nullopt;
  std::chrono::milliseconds Time(Value.get<std::int64_t>());
  if (Time < Time.zero() || Time > MaxNotedDuration)
    return std::nullopt;
  return Time;
}

json encodeNotes(const std::vector<LeaseNote> &Notes) {
  json Value = json::array();
  for (const LeaseNote &Note : Notes)
    Value.push_back(
        {Note.Worker_, Note.StartedAtMs_, encodeDuration(Note.Left_)});
  return Value;
}

/// Omits what is not a note: without it, a worker is waited for until the
/// general bound.
std::vector<LeaseNote> decodeNotes(const json &Value) {
  std::vector<LeaseNote> Notes;
  for (const json &Entry : Value) {
    bool IsNote = Entry.is_array() && Entry.size() == 3 &&
                  Entry[0].is_string() && Entry[1].is_number_integer();
    std::optional<Duration> Left =
        IsNote ? decodeDuration(Entry[2]) : std::nullopt;
    if (Left)
      Notes.push_back(
          {Entry[0].get<std::string>(), Entry[1].get<std::int64_t>(), *Left});
  }
  return Notes;
}

json encodeTenureAges(const std::map<std::uint64_t, Duration> &Ages) {
  json Value = json::array();
  for (const auto &[Tenure, Age] : Ages)
    Value.push_back({Tenure, std::min(Age, MaxNotedDuration) /
                                 std::chrono::milliseconds(1)});
  return Value;
}

std::map<std::uint64_t, Duration> decodeTenureAges(const json &Value) {
  std::map<std::uint64_t, Duration> Ages;
  for (const json &Entry : Value) {
    bool IsAge =
        Entry.is_array() && Entry.size() == 2 && Entry[0].is_number_unsigned();
    std::optional<Duration> Age =
        IsAge ? decodeDuration(Entry[1]) : std::nullopt;
    if (Age)
      Ages[Entry[0].get<std::uint64_t>()] = *Age;
  }
  return Ages;
}

} // namespace

std::string encodeOwnerRecord(const OwnerRecord &Record) {
  json Value = {{"holder", Record.Holder_},
                {"nonce", Record.Nonce_},
                {"address", Record.Address_},
                {"tenure", Record.Tenure_}};
  if (Record.EarlierGrants_)
    Value["earlier_ms"] = encodeDuration(*Record.EarlierGrants_);
  if (!Record.Notes_.empty())
    Value["notes"] = encodeNotes(Record.Notes_);
  if (!Record.TenureAges_.empty())
    Value["ages"] = encodeTenureAges(Record.TenureAges_);
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
    Record.EarlierGrants_ = decodeDuration(Value.value("earlier_ms", json()));
    Record.Notes_ = decodeNotes(Value.value("notes", json::array()));
    Record.TenureAges_ = decodeTenureAges(Value.value("ages", json::array()));
    Record.Holder_ = Value.value("holder", "");
  } catch (const json::exception &) {
    Record.Holder_.clear();
  }
  return Record;
}

bool isTooWeak(double OwnCores, double OtherCores) {
  /// The owner of a large cell uses up to this fraction of the strongest
  /// instance.
  constexpr double SufficientFraction = 0.5;
  return OwnCores < SufficientFraction * OtherCores;
}

Duration takeoverDelay(double OwnCores, double StrongestCores) {
  /// Instances with at least this fraction of the cores of the strongest one
  /// count as equal to it.
  constexpr double EqualFraction = 0.8;
  /// Two intervals between reads of the row, so that a stronger instance has
  /// time to take the cell over.
  constexpr Duration ShortDelay = std::chrono::milliseconds(700);
  constexpr Duration LongDelay = std::chrono::milliseconds(1500);
  if (OwnCores >= EqualFraction * StrongestCores)
    return Duration::zero();
  return isTooWeak(OwnCores, StrongestCores) ? LongDelay : ShortDelay;
}

OwnerLease::OwnerLease(OwnerRecord Self, OwnerLeaseTimings Times)
    : Self_(std::move(Self)), Times_(Times) {}

void OwnerLease::rowRead(const OwnerRecord &Record, std::uint64_t Version,
                         TimePoint SentAt) {
  // Responses on different connections may arrive out of order.
  if (HasReadRow_ && Version != 0 && Version < Version_)
    return;
  if (!HasReadRow_ || Version != Version_)
    ChangedAt_ = SentAt;
  HasReadRow_ = true;
  Record_ = Record;
  Version_ = Version;
  UnchangedUntil_ = SentAt;
}

void OwnerLease::rowUnchanged(TimePoint Now) { UnchangedUntil_ = Now; }

void OwnerLease::rowWritten(const OwnerRecord &Record, std::uint64_t Version,
                            TimePoint SentAt) {
  HasReadRow_ = true;
  Record_ = Record;
  Version_ = Version;
  ChangedAt_ = SentAt;
  UnchangedUntil_ = SentAt;
  ConfirmedAt_ = SentAt;
}

void OwnerLease::readFailed(TimePoint Now) {
  ChangedAt_ = Now;
  UnchangedUntil_ = Now;
}

bool OwnerLease::isOwner() const {
  return HasReadRow_ && Version_ != 0 && Record_.Holder_ == Self_.Holder_ &&
         Record_.Nonce_ == Self_.Nonce_;
}

bool OwnerLease::isValid(TimePoint Now) const {
  return isOwner() && Now - ConfirmedAt_ < Times_.ValidFor_;
}

CommandLimits OwnerLease::commandLimits() const {
  if (!isOwner())
    return {};
  return {ConfirmedAt_ + Times_.TakeoverAfter_,
          ConfirmedAt_ + Times_.ValidFor_};
}

bool OwnerLease::shouldTakeOver(TimePoint /*Now*/) const {
  if (!HasReadRow_ || isOwner())
    return false;
  // The holder is a previous process of this instance, which has ended.
  if (Version_ != 0 && Record_.Holder_ == Self_.Holder_)
    return true;
  Duration Wait = Times_.TakeoverAfter_;
  if (Version_ == 0)
    Wait = Times_.FirstOwnerDelay_;
  else if (Record_.Holder_.empty())
    Wait = Duration::zero();
  return UnchangedUntil_ - ChangedAt_ >= Wait + TakeoverDelay_;
}

bool OwnerLease::shouldRenew(TimePoint Now) const {
  return isOwner() && Now - ConfirmedAt_ >= Times_.RenewalInterval_;
}

OwnerRecord OwnerLease::takeoverRecord() const {
  OwnerRecord NewRecord = Self_;
  NewRecord.Tenure_ = Record_.Tenure_ + 1;
  return NewRecord;
}

OwnerRecord OwnerLease::releaseRecord() const {
  OwnerRecord Released;
  Released.Nonce_ = Self_.Nonce_;
  Released.Tenure_ = Record_.Tenure_;
  Released.EarlierGrants_ = Record_.EarlierGrants_;
  Released.Notes_ = Record_.Notes_;
  Released.TenureAges_ = Record_.TenureAges_;
  return Released;
}

} // namespace filbertspring::scheduling
