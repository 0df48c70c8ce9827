#include "filbertspring/platform/row_codec.h"

#include "row_fields.h"

#include <fmt/format.h>

namespace filbertspring {
namespace {

constexpr char KeySeparator = '/';

template <typename Record> Result<RowValue> readAs(const Json &Document) {
  return JsonReader::read<Record>(Document).map(
      [](Record &&Value) { return RowValue(std::move(Value)); });
}

} // namespace

RowKind kindOf(const RowValue &Value) {
  static_assert(std::variant_size_v<RowValue> == RowKindNames.size());
  return static_cast<RowKind>(Value.index());
}

std::string encodeRowKey(const RowKey &Key) {
  return fmt::format("{}{}{}", nameOf(RowKindNames, Key.Kind_), KeySeparator,
                     Key.Name_);
}

Result<RowKey> decodeRowKey(std::string_view Text) {
  std::size_t Slash = Text.find(KeySeparator);
  if (Slash == std::string_view::npos)
    return fail(Errc::InvalidInput);
  auto Kind = valueOf(RowKindNames, Text.substr(0, Slash));
  if (!Kind)
    return fail(Errc::InvalidInput);
  return RowKey{*Kind, std::string(Text.substr(Slash + 1))};
}

Result<std::string> encodeRowValue(const RowValue &Value) {
  return std::visit([](const auto &Record) { return encodeJson(Record); },
                    Value);
}

Result<RowValue> rowValueFromJson(RowKind Kind, const Json &Document) {
  switch (Kind) {
  case RowKind::Head:
    return readAs<HeadRecord>(Document);
  case RowKind::Contract:
    return readAs<ContractRecord>(Document);
  case RowKind::Zone:
    return readAs<AvailabilityZone>(Document);
  case RowKind::Rack:
    return readAs<RackRecord>(Document);
  case RowKind::Job:
    return readAs<JobRecord>(Document);
  case RowKind::QuotaLedger:
    return readAs<QuotaLedgerRecord>(Document);
  case RowKind::ShareLedger:
    return readAs<ShareLedgerRecord>(Document);
  case RowKind::Heartbeat:
    return readAs<HeartbeatRecord>(Document);
  case RowKind::RequestKey:
    return readAs<RequestKeyRecord>(Document);
  case RowKind::Watch:
    return readAs<WatchRecord>(Document);
  case RowKind::Burn:
    return readAs<BurnHourRecord>(Document);
  }
  return fail(Errc::InvalidJson);
}

Result<RowValue> decodeRowValue(RowKind Kind, std::string_view Text) {
  Json Document = parseJson(Text);
  if (Document.is_discarded())
    return fail(Errc::InvalidJson);
  return rowValueFromJson(Kind, Document);
}

} // namespace filbertspring
