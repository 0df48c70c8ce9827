#include "filbertspring/platform/row_codec.h"

#include "random_record.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace filbertspring;
using Json = nlohmann::json;

namespace {

/// Returns a valid contract (one without findings) with random amounts.
Contract randomContract() {
  Contract Terms;
  Terms.Name_ = ContractName("denizkul");
  Terms.Team_ = TeamName("bookings");
  Terms.Weight_ = *rc::gen::inRange(1, MaxContractWeight);
  Terms.Zones_ = {ZoneName("bodrum"), ZoneName("kusadasi")};
  ServiceTerms Service;
  Service.Name_ = ServiceName("booking");
  Service.LatencyTarget_ = Duration(*rc::gen::inRange(1, 100) * 1000);
  Service.Objective_ = *rc::gen::inRange(1, 1000) / 1000.0;
  Service.RatePerSecond_ = *rc::gen::inRange(1, 100000);
  Service.Concurrency_ = *rc::gen::inRange(8, 5000);
  Service.Deadline_ = Duration(*rc::gen::inRange(100, 5000) * 1000);
  Service.Idempotent_ = *rc::gen::arbitrary<bool>();
  Terms.Services_ = {Service};
  if (*rc::gen::arbitrary<bool>())
    Terms.Batch_ = BatchTerms{
        {Millicores(64000), Mebibytes(4096), Accelerators(2)},
        *rc::gen::inRange(1, 1000),
        {{BatchKindName("permit"), true, 3, std::chrono::minutes(2)}}};
  if (*rc::gen::arbitrary<bool>())
    Terms.Watches_ =
        WatchTerms{*rc::gen::inRange(1, 100), std::chrono::hours(12)};
  return Terms;
}

void randomize(Contract &Terms) { Terms = randomContract(); }

template <typename Record> Record randomRecord() {
  Record Value;
  Randomizer()(Value);
  return Value;
}

template <> ContractRecord randomRecord<ContractRecord>() {
  ContractRecord Value;
  randomize(Value.Terms_);
  Randomizer()(Value.ChangedBy_);
  Randomizer()(Value.Removed_);
  return Value;
}

template <> RequestKeyRecord randomRecord<RequestKeyRecord>() {
  RequestKeyRecord Value;
  Randomizer()(Value);
  Value.AnswerBody_ = *rc::gen::arbitrary<std::string>();
  return Value;
}

template <typename Record> void checkRoundTrip() {
  Record Value = randomRecord<Record>();
  Result<std::string> Text = encodeRowValue(Value);
  RC_ASSERT(Text.has_value());
  Result<RowValue> Decoded = decodeRowValue(kindOf(Value), *Text);
  RC_ASSERT(Decoded.has_value());
  RC_ASSERT(deepEqual(std::get<Record>(*Decoded), Value));
}

template <typename Record> void checkRejections() {
  Record Value = randomRecord<Record>();
  RowKind Kind = kindOf(Value);
  std::string Text = *encodeRowValue(Value);
  const auto ShortenedSize = *rc::gen::inRange<std::size_t>(0, Text.size());
  RC_ASSERT(decodeRowValue(Kind, Text.substr(0, ShortenedSize)).error() ==
            Errc::InvalidJson);
  Json Document = Json::parse(Text);
  auto Member = Document.begin();
  std::advance(Member, *rc::gen::inRange<std::size_t>(0, Document.size()));
  std::string Name = Member.key();
  Json WrongType = Document;
  WrongType[Name] = Json::array({Json::object(), nullptr});
  RC_ASSERT(decodeRowValue(Kind, WrongType.dump()).error() ==
            Errc::InvalidJson);
  Document.erase(Name);
  RC_ASSERT(decodeRowValue(Kind, Document.dump()).error() == Errc::InvalidJson);
}

/// Checks that text with replaced bytes is rejected with InvalidJson or, when
/// it is still a valid document, decoded to a value that can be encoded again.
template <typename Record> void checkDamagedText() {
  Record Value = randomRecord<Record>();
  std::string Text = *encodeRowValue(Value);
  for (int Count = *rc::gen::inRange(1, 6); Count > 0; --Count)
    Text[*rc::gen::inRange<std::size_t>(0, Text.size())] =
        *rc::gen::arbitrary<char>();
  Result<RowValue> Decoded = decodeRowValue(kindOf(Value), Text);
  if (Decoded)
    RC_ASSERT(encodeRowValue(*Decoded).has_value());
  else
    RC_ASSERT(Decoded.error() == Errc::InvalidJson);
}

template <std::size_t Index = 0, typename Function>
void forEachRowKind(Function Check) {
  if constexpr (Index < std::variant_size_v<RowValue>) {
    using Record = std::variant_alternative_t<Index, RowValue>;
    std::string Name(RowKindNames[Index].Name_);
    BOOST_TEST(Check.template operator()<Record>(Name), Name);
    forEachRowKind<Index + 1>(Check);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(row_codec)

BOOST_AUTO_TEST_SUITE(a_row_of_any_kind)

BOOST_AUTO_TEST_CASE(is_decoded_as_it_was_encoded) {
  forEachRowKind([]<typename Record>(const std::string &Name) {
    return rc::check(Name + " round trip", checkRoundTrip<Record>);
  });
}

BOOST_AUTO_TEST_CASE(is_rejected_when_truncated_incomplete_or_of_a_wrong_type) {
  forEachRowKind([]<typename Record>(const std::string &Name) {
    return rc::check(Name + " refusals", checkRejections<Record>);
  });
}

BOOST_AUTO_TEST_CASE(is_rejected_or_decoded_when_its_bytes_are_damaged) {
  forEachRowKind([]<typename Record>(const std::string &Name) {
    return rc::check(Name + " damage", checkDamagedText<Record>);
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_field)

BOOST_AUTO_TEST_CASE(of_an_unknown_name_or_out_of_range_is_rejected) {
  std::string Zone = *encodeRowValue(AvailabilityZone{
      ZoneName("z"), RegionName("r"), ZoneState::InService, "", ""});
  Json Document = Json::parse(Zone);
  BOOST_TEST(decodeRowValue(RowKind::Zone, Zone).has_value());
  Document["state"] = "in_service";
  BOOST_TEST((decodeRowValue(RowKind::Zone, Document.dump()).error() ==
              Errc::InvalidJson));
  auto Shares = [](const std::string &Permille) {
    return R"({"contract":"c","shares":[{"instance":"i","permille":)" +
           Permille + "}]}";
  };
  auto Accepts = [&Shares](const std::string &Permille) {
    return decodeRowValue(RowKind::ShareLedger, Shares(Permille)).has_value();
  };
  BOOST_TEST(Accepts("2147483647"));
  for (const char *Bad : {"2147483648", "-2147483649", "1.5", "1e3", "\"1\""})
    BOOST_TEST(!Accepts(Bad), Bad);
}

BOOST_AUTO_TEST_CASE(that_json_cannot_represent_is_not_encoded) {
  BOOST_TEST(
      (encodeRowValue(HeadRecord{1, "\xff"}).error() == Errc::InvalidInput));
}

BOOST_AUTO_TEST_CASE(that_is_not_known_is_ignored) {
  Result<RowValue> Head = decodeRowValue(
      RowKind::Head, R"({"changes":3,"changed_by":"ada","later":[1]})");
  BOOST_REQUIRE(Head.has_value());
  BOOST_TEST(std::get<HeadRecord>(*Head).Changes_ == 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(keys_are_decoded_as_they_were_encoded) {
  for (const auto &Kind : RowKindNames) {
    RowKey Key{Kind.Value_, "contract/a b"};
    BOOST_TEST((decodeRowKey(encodeRowKey(Key)).value() == Key));
  }
  for (const char *Bad : {"", "rack", "racks/r", "/r"})
    BOOST_TEST((decodeRowKey(Bad).error() == Errc::InvalidInput), Bad);
}

BOOST_AUTO_TEST_SUITE_END()
