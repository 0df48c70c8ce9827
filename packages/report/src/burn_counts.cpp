#include "filbertspring/report/burn_counts.h"

#include "burn_key.h"
#include "cause_json.h"

#include "filbertspring/config/contract_document.h"

#include <algorithm>
#include <optional>

namespace filbertspring {

using report_detail::MillisecondsPerMinute;
using report_detail::MinutesPerHour;

namespace {

using Json = nlohmann::ordered_json;

/// The largest accepted minute, hour or count; sums and products do not
/// overflow.
constexpr std::uint64_t MaxCount = std::uint64_t{1} << 50;
/// All minutes of an hour.
constexpr std::uint64_t MaxMinuteBits = (std::uint64_t{1} << 60) - 1;

/// Returns true for a whole number from 0 to \p Max.
bool isNumberTo(const Json &Value, std::uint64_t Max) {
  return Value.is_number_unsigned() && Value.get<std::uint64_t>() <= Max;
}

Json minuteToJson(const BurnMinute &Counts) {
  Json Object;
  Object["minute"] = Counts.Minute_;
  Object["contract"] = Counts.Contract_.str();
  Object["service"] = Counts.Service_.str();
  Object["zone"] = Counts.Zone_.str();
  Object["good"] = Counts.Good_;
  Object["bad"] = report_detail::causesToJson(Counts.Bad_);
  return Object;
}

/// Reads members of one object and remembers whether all were right.
class MemberReader {
public:
  explicit MemberReader(const Json &Object) : Object_(Object) {}

  template <typename Tag> void readName(const char *Key, Id<Tag> &Field) {
    const Json *Member = find(Key);
    const auto *Text =
        Member ? Member->get_ptr<const std::string *>() : nullptr;
    if (Text)
      Field = Id<Tag>(*Text);
    else
      Good_ = false;
  }

  template <typename Number>
  void readNumber(const char *Key, Number &Field,
                  std::uint64_t Max = MaxCount) {
    const Json *Member = find(Key);
    if (Member && isNumberTo(*Member, Max))
      Field = Member->get<Number>();
    else
      Good_ = false;
  }

  /// Calls \p Read for each element of an array.
  template <typename Reader> void readArray(const char *Key, Reader Read) {
    const Json *Member = find(Key);
    if (!Member || !Member->is_array()) {
      Good_ = false;
      return;
    }
    for (const Json &Item : *Member)
      Good_ = Read(Item) && Good_;
  }

  void readCauses(const char *Key,
                  std::array<std::int64_t, BurnCauseCount> &Bad) {
    const Json *Member = find(Key);
    if (!Member || !Member->is_object()) {
      Good_ = false;
      return;
    }
    for (const auto &[Name, Value] : Member->items()) {
      std::optional<BurnCause> Cause = valueOf(BurnCauseNames, Name);
      if (Cause && isNumberTo(Value, MaxCount))
        Bad[static_cast<std::size_t>(*Cause)] = Value.get<std::int64_t>();
      else
        Good_ = false;
    }
  }

  bool good() const { return Good_; }

private:
  const Json *find(const char *Key) const {
    if (!Object_.is_object())
      return nullptr;
    auto Member = Object_.find(Key);
    return Member == Object_.end() ? nullptr : &*Member;
  }

  const Json &Object_;
  bool Good_ = true;
};

bool readMinute(const Json &Item, BurnMinute &Into) {
  MemberReader Reader(Item);
  Reader.readNumber("minute", Into.Minute_);
  Reader.readName("contract", Into.Contract_);
  Reader.readName("service", Into.Service_);
  Reader.readName("zone", Into.Zone_);
  Reader.readNumber("good", Into.Good_);
  Reader.readCauses("bad", Into.Bad_);
  return Reader.good();
}

bool readObserved(const Json &Item, BurnHourRecord &Into) {
  MemberReader Reader(Item);
  Reader.readName("instance", Into.Instance_);
  Reader.readNumber("hour", Into.Hour_);
  Reader.readNumber("observed_minutes", Into.ObservedMinutes_, MaxMinuteBits);
  return Reader.good();
}

bool readContract(const Json &Item, std::vector<Contract> &Into) {
  ParsedContract Parsed = parseContract(report_detail::dumpJson(Item, -1), {});
  if (Parsed.Terms_)
    Into.push_back(std::move(*Parsed.Terms_));
  return Parsed.Findings_.empty();
}

} // namespace

std::string writeBurnCounts(const BurnCounts &Counts, std::int64_t WindowMs) {
  std::int64_t LastForgotten =
      (Counts.NowMs_ - WindowMs) / MillisecondsPerMinute;
  Json Document;
  Document["now_ms"] = Counts.NowMs_;
  Document["observed"] = Json::array();
  report_detail::BurnMinuteMap Minutes;
  for (const BurnHourRecord &Record : Counts.Records_) {
    if ((Record.Hour_ + 1) * MinutesPerHour - 1 <= LastForgotten)
      continue;
    Document["observed"].push_back(
        {{"instance", Record.Instance_.str()},
         {"hour", Record.Hour_},
         {"observed_minutes", Record.ObservedMinutes_}});
    for (const BurnMinute &Minute : Record.Minutes_)
      if (Minute.Minute_ > LastForgotten)
        report_detail::addCounts(Minutes, Minute);
  }
  Document["minutes"] = Json::array();
  for (const auto &[Key, Minute] : Minutes)
    Document["minutes"].push_back(minuteToJson(Minute));
  Document["contracts"] = Json::array();
  for (const Contract &Terms : Counts.Contracts_)
    Document["contracts"].push_back(Json::parse(writeContract(Terms)));
  return report_detail::dumpJson(Document, -1);
}

Result<BurnCounts> parseBurnCounts(std::string_view Text) {
  Json Document = Json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (Document.is_discarded())
    return fail(Errc::InvalidJson);
  BurnCounts Counts;
  MemberReader Reader(Document);
  Reader.readNumber("now_ms", Counts.NowMs_);
  Reader.readArray("observed", [&](const Json &Item) {
    return readObserved(Item, Counts.Records_.emplace_back());
  });
  BurnHourRecord Sums;
  Reader.readArray("minutes", [&](const Json &Item) {
    return readMinute(Item, Sums.Minutes_.emplace_back());
  });
  Counts.Records_.push_back(std::move(Sums));
  Reader.readArray("contracts", [&](const Json &Item) {
    return readContract(Item, Counts.Contracts_);
  });
  if (!Reader.good())
    return fail(Errc::InvalidInput);
  return Counts;
}

} // namespace filbertspring
