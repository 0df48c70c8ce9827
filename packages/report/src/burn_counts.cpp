#include "filbertspring/report/burn_counts.h"

#include "burn_minute_map.h"
#include "cause_json.h"

#include "filbertspring/config/contract_document.h"

#include <algorithm>
#include <optional>

namespace filbertspring {

using report_detail::MillisecondsPerMinute;
using report_detail::MinutesPerHour;

namespace {

using Json = nlohmann::ordered_json;

/// The largest accepted minute, hour or count. The limit keeps sums and
/// products of these values from overflowing.
constexpr std::uint64_t MaxCount = std::uint64_t{1} << 50;
/// The bits of all 60 minutes of an hour.
constexpr std::uint64_t AllMinuteBits = (std::uint64_t{1} << 60) - 1;

/// Returns true if \p Value is an integer from 0 to \p Max.
bool isIntegerUpTo(const Json &Value, std::uint64_t Max) {
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

/// Reads members of one JSON object and records whether all of them were
/// present and valid.
class MemberReader {
public:
  explicit MemberReader(const Json &Object) : Object_(Object) {}

  template <typename Tag> void readName(const char *Key, Id<Tag> &Field) {
    const Json *Member = findMember(Key);
    const auto *Text =
        Member ? Member->get_ptr<const std::string *>() : nullptr;
    if (Text)
      Field = Id<Tag>(*Text);
    else
      IsValid_ = false;
  }

  template <typename Number>
  void readNumber(const char *Key, Number &Field,
                  std::uint64_t Max = MaxCount) {
    const Json *Member = findMember(Key);
    if (Member && isIntegerUpTo(*Member, Max))
      Field = Member->get<Number>();
    else
      IsValid_ = false;
  }

  /// Calls \p Read for each element of an array. \p Read returns whether the
  /// element is valid.
  template <typename Reader> void readArray(const char *Key, Reader Read) {
    const Json *Member = findMember(Key);
    if (!Member || !Member->is_array()) {
      IsValid_ = false;
      return;
    }
    for (const Json &Item : *Member)
      IsValid_ = Read(Item) && IsValid_;
  }

  void readCauses(const char *Key,
                  std::array<std::int64_t, BurnCauseCount> &Bad) {
    const Json *Member = findMember(Key);
    if (!Member || !Member->is_object()) {
      IsValid_ = false;
      return;
    }
    for (const auto &[Name, Value] : Member->items()) {
      std::optional<BurnCause> Cause = valueOf(BurnCauseNames, Name);
      if (Cause && isIntegerUpTo(Value, MaxCount))
        Bad[static_cast<std::size_t>(*Cause)] = Value.get<std::int64_t>();
      else
        IsValid_ = false;
    }
  }

  bool isValid() const { return IsValid_; }

private:
  const Json *findMember(const char *Key) const {
    if (!Object_.is_object())
      return nullptr;
    auto Member = Object_.find(Key);
    return Member == Object_.end() ? nullptr : &*Member;
  }

  const Json &Object_;
  bool IsValid_ = true;
};

bool readMinute(const Json &Item, BurnMinute &Output) {
  MemberReader Reader(Item);
  Reader.readNumber("minute", Output.Minute_);
  Reader.readName("contract", Output.Contract_);
  Reader.readName("service", Output.Service_);
  Reader.readName("zone", Output.Zone_);
  Reader.readNumber("good", Output.Good_);
  Reader.readCauses("bad", Output.Bad_);
  return Reader.isValid();
}

bool readObservedMinutes(const Json &Item, BurnHourRecord &Output) {
  MemberReader Reader(Item);
  Reader.readName("instance", Output.Instance_);
  Reader.readNumber("hour", Output.Hour_);
  Reader.readNumber("observed_minutes", Output.ObservedMinutes_, AllMinuteBits);
  return Reader.isValid();
}

bool readContract(const Json &Item, std::vector<Contract> &Output) {
  ParsedContract Parsed = parseContract(report_detail::dumpJson(Item, -1), {});
  if (Parsed.Terms_)
    Output.push_back(std::move(*Parsed.Terms_));
  return Parsed.Findings_.empty();
}

} // namespace

std::string writeBurnCounts(const BurnCounts &Counts, std::int64_t WindowMs) {
  std::int64_t LastExcludedMinute =
      (Counts.NowMs_ - WindowMs) / MillisecondsPerMinute;
  Json Document;
  Document["now_ms"] = Counts.NowMs_;
  Document["observed"] = Json::array();
  report_detail::BurnMinuteMap Minutes;
  for (const BurnHourRecord &Record : Counts.Records_) {
    if ((Record.Hour_ + 1) * MinutesPerHour - 1 <= LastExcludedMinute)
      continue;
    Document["observed"].push_back(
        {{"instance", Record.Instance_.str()},
         {"hour", Record.Hour_},
         {"observed_minutes", Record.ObservedMinutes_}});
    for (const BurnMinute &Minute : Record.Minutes_)
      if (Minute.Minute_ > LastExcludedMinute)
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
    return readObservedMinutes(Item, Counts.Records_.emplace_back());
  });
  BurnHourRecord Totals;
  Reader.readArray("minutes", [&](const Json &Item) {
    return readMinute(Item, Totals.Minutes_.emplace_back());
  });
  Counts.Records_.push_back(std::move(Totals));
  Reader.readArray("contracts", [&](const Json &Item) {
    return readContract(Item, Counts.Contracts_);
  });
  if (!Reader.isValid())
    return fail(Errc::InvalidInput);
  return Counts;
}

} // namespace filbertspring
