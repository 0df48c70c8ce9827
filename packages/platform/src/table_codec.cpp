#include "table_codec.h"

#include "filbertspring/platform/row_codec.h"
#include "row_fields.h"

#include <optional>
#include <utility>

namespace filbertspring {
namespace {

/// The fields of a row other than its value.
struct RowHeader {
  std::string Key_;
  RowVersion Version_ = AbsentVersion;
  TransactionId Writer_;
};

template <typename Archive, ValueOf<RowHeader> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("key", Value.Key_);
  Fields("version", Value.Version_);
  Fields("writer", Value.Writer_);
}

/// The answer to a commit that took effect.
struct CommittedAnswer {
  RowVersion Version_ = AbsentVersion;
};

template <typename Archive, ValueOf<CommittedAnswer> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("version", Value.Version_);
}

/// The answer to a commit that conflicts with other changes.
struct ConflictAnswer {
  std::vector<std::string> Keys_;
};

template <typename Archive, ValueOf<ConflictAnswer> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("conflicts", Value.Keys_);
}

Result<Json> valueToJson(const RowValue &Value) {
  return std::visit(
      [](const auto &Record) { return JsonWriter::write(Record); }, Value);
}

Result<Json> changeToJson(const Change &Source) {
  Json Target = {{"key", encodeRowKey(Source.Key_)},
                 {"version", Source.Expected_},
                 {"value", nullptr}};
  if (!Source.Value_)
    return Target;
  if (kindOf(*Source.Value_) != Source.Key_.Kind_)
    return fail(Errc::InvalidInput);
  return valueToJson(*Source.Value_).map([&Target](Json &&Value) {
    Target["value"] = std::move(Value);
    return std::move(Target);
  });
}

Result<StoredRow> rowFromJson(const Json &Source) {
  Result<RowHeader> Header = JsonReader::read<RowHeader>(Source);
  if (!Header || !Source.contains("value"))
    return fail(Errc::InvalidJson);
  Result<RowKey> Key = decodeRowKey(Header->Key_);
  if (!Key)
    return fail(Key.error());
  Result<RowValue> Value = rowValueFromJson(Key->Kind_, Source["value"]);
  if (!Value)
    return fail(Value.error());
  return StoredRow{std::move(*Key), Header->Version_,
                   std::move(Header->Writer_), std::move(*Value)};
}

/// Returns the text form of the key of \p Row, or std::nullopt when it has
/// none.
std::optional<std::string> keyText(const Json &Row) {
  if (!Row.is_object() || !Row.contains("key") || !Row["key"].is_string())
    return std::nullopt;
  return Row["key"].get<std::string>();
}

} // namespace

Result<std::string> encodeRead(const std::vector<RowKey> &Keys) {
  Json Body = {{"keys", Json::array()}};
  for (const RowKey &Key : Keys)
    Body["keys"].push_back(encodeRowKey(Key));
  return dumpJson(Body);
}

Result<std::string> encodeScan(const ScanPosition &Position) {
  return dumpJson({{"prefix", Position.Prefix_},
                   {"after", Position.After_},
                   {"limit", Position.Limit_}});
}

Result<std::string> encodeCommit(const Transaction &Request) {
  Json Body = {{"id", Request.Id_.str()},
               {"guards", Json::array()},
               {"changes", Json::array()}};
  for (const Guard &RowGuard : Request.Guards_)
    Body["guards"].push_back({{"key", encodeRowKey(RowGuard.Key_)},
                              {"version", RowGuard.Expected_}});
  for (const Change &RowChange : Request.Changes_) {
    Result<Json> Encoded = changeToJson(RowChange);
    if (!Encoded)
      return fail(Encoded.error());
    Body["changes"].push_back(std::move(*Encoded));
  }
  return dumpJson(Body);
}

Result<RowPage> decodeRowPage(std::string_view Text) {
  Json Document = parseJson(Text);
  if (!Document.is_object() || !Document.contains("rows") ||
      !Document["rows"].is_array())
    return fail(Errc::InvalidJson);
  RowPage Page;
  for (const Json &Entry : Document["rows"]) {
    std::optional<std::string> Key = keyText(Entry);
    if (!Key)
      return fail(Errc::InvalidJson);
    Page.LastKey_ = *Key;
    Result<StoredRow> Row = rowFromJson(Entry);
    if (Row)
      Page.Batch_.Rows_.push_back(std::move(*Row));
    else
      Page.Batch_.Findings_.add(*Key, Row.error().message());
  }
  Page.More_ = Document.contains("more") && Document["more"] == true;
  return Page;
}

Result<RowVersion> decodeCommittedVersion(std::string_view Text) {
  return decodeJson<CommittedAnswer>(Text).map(
      [](const CommittedAnswer &Answer) { return Answer.Version_; });
}

Result<std::vector<RowKey>> decodeConflictingKeys(std::string_view Text) {
  Result<ConflictAnswer> Answer = decodeJson<ConflictAnswer>(Text);
  if (!Answer)
    return fail(Answer.error());
  std::vector<RowKey> Keys;
  for (const std::string &KeyText : Answer->Keys_) {
    Result<RowKey> Key = decodeRowKey(KeyText);
    if (!Key)
      return fail(Errc::InvalidJson);
    Keys.push_back(std::move(*Key));
  }
  return Keys;
}

} // namespace filbertspring
