#include "filbertspring/membership/peer_message.h"

#include "filbertspring/base/overloaded.h"

#include "message_bounds.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace filbertspring::membership {

namespace {

using Json = nlohmann::json;

/// The first element of each message.
enum class MessageTag { Digest = 1, DeltaRequest = 2, Delta = 3 };

Json encodeLoads(const std::vector<EndpointLoad> &Loads) {
  Json Out = Json::array();
  for (const EndpointLoad &Load : Loads)
    Out.push_back({Load.Endpoint_.str(), Load.InFlight_, Load.Leaving_});
  return Out;
}

/// Encodes the name of an instance once for each run of consecutive entries of
/// that instance.
Json encodeDemands(const std::vector<DemandEntry> &Demands) {
  Json Out = Json::array();
  const InstanceName *Last = nullptr;
  for (const DemandEntry &Entry : Demands) {
    if (!Last || *Last != Entry.Instance_)
      Out.push_back(Json::array({Entry.Instance_.str(), Json::array()}));
    Last = &Entry.Instance_;
    Out.back()[1].push_back(
        {Entry.Contract_.str(), Entry.Permille_, Entry.Sequence_});
  }
  return Out;
}

Json encodeRows(const std::vector<EncodedRow> &Rows) {
  Json Out = Json::array();
  for (const EncodedRow &Row : Rows)
    Out.push_back({nameOf(RowKindNames, Row.Key_.Kind_), Row.Key_.Name_,
                   Row.Version_, Row.Value_});
  return Out;
}

Json encodeTag(MessageTag Tag) { return static_cast<int>(Tag); }

/// Reads typed elements of an array. After the first failure the reader stays
/// invalid.
class ArrayReader {
public:
  ArrayReader(const Json &Array, std::size_t Size) : Array_(Array) {
    Valid_ = Array.is_array() && Array.size() == Size;
  }

  std::int64_t integer(std::size_t Index, std::int64_t Min, std::int64_t Max) {
    if (!Valid_ || !Array_[Index].is_number_integer())
      return markInvalid<std::int64_t>();
    const Json &Item = Array_[Index];
    const bool TooLarge = Item.is_number_unsigned() &&
                          Item.get<std::uint64_t>() >
                              static_cast<std::uint64_t>(
                                  std::numeric_limits<std::int64_t>::max());
    const auto Value = Item.get<std::int64_t>();
    if (TooLarge || Value < Min || Value > Max)
      return markInvalid<std::int64_t>();
    return Value;
  }

  bool boolean(std::size_t Index) {
    if (!Valid_ || !Array_[Index].is_boolean())
      return markInvalid<bool>();
    return Array_[Index].get<bool>();
  }

  std::string text(std::size_t Index, std::size_t MaxBytes) {
    if (!Valid_ || !Array_[Index].is_string())
      return markInvalid<std::string>();
    const auto &Value = Array_[Index].get_ref<const std::string &>();
    if (Value.empty() || Value.size() > MaxBytes)
      return markInvalid<std::string>();
    return Value;
  }

  /// Returns an array with at most \p MaxItems elements.
  const Json &items(std::size_t Index, std::size_t MaxItems) {
    static const Json EmptyArray = Json::array();
    if (!Valid_ || !Array_[Index].is_array() ||
        Array_[Index].size() > MaxItems) {
      Valid_ = false;
      return EmptyArray;
    }
    return Array_[Index];
  }

  bool valid() const { return Valid_; }

private:
  template <typename T> T markInvalid() {
    Valid_ = false;
    return T();
  }

  const Json &Array_;
  bool Valid_ = false;
};

constexpr std::int64_t MaxCount = std::numeric_limits<std::int32_t>::max();
constexpr std::int64_t MaxNumber = std::numeric_limits<std::int64_t>::max();

std::optional<EndpointLoad> decodeLoad(const Json &Item) {
  ArrayReader Reader(Item, 3);
  EndpointLoad Load;
  Load.Endpoint_ = EndpointName(Reader.text(0, MaxPeerNameBytes));
  Load.InFlight_ = static_cast<std::int32_t>(Reader.integer(1, 0, MaxCount));
  Load.Leaving_ = Reader.boolean(2);
  return Reader.valid() ? std::optional(Load) : std::nullopt;
}

bool decodeDemandGroup(const Json &Item, std::vector<DemandEntry> &Out) {
  ArrayReader Group(Item, 2);
  const InstanceName Instance(Group.text(0, MaxPeerNameBytes));
  for (const Json &Element : Group.items(1, MaxDigestDemands)) {
    ArrayReader Reader(Element, 3);
    DemandEntry Entry;
    Entry.Instance_ = Instance;
    Entry.Contract_ = ContractName(Reader.text(0, MaxPeerNameBytes));
    Entry.Permille_ = static_cast<std::int32_t>(Reader.integer(1, 0, MaxCount));
    Entry.Sequence_ =
        static_cast<std::uint64_t>(Reader.integer(2, 0, MaxNumber));
    if (!Reader.valid() || Out.size() == MaxDigestDemands)
      return false;
    Out.push_back(std::move(Entry));
  }
  return Group.valid();
}

std::optional<EncodedRow> decodeRow(const Json &Item) {
  ArrayReader Reader(Item, 4);
  const auto Kind = valueOf(RowKindNames, Reader.text(0, MaxPeerNameBytes));
  EncodedRow Row;
  Row.Key_.Name_ = Reader.text(1, MaxPeerNameBytes);
  Row.Version_ = Reader.integer(2, 1, MaxNumber);
  Row.Value_ = Reader.text(3, MaxPeerMessageBytes);
  if (!Reader.valid() || !Kind)
    return std::nullopt;
  Row.Key_.Kind_ = *Kind;
  return Row;
}

using DecodedPayload = std::optional<PeerPayload>;

DecodedPayload decodeDigest(const Json &Message) {
  ArrayReader Reader(Message, 4);
  PeerDigest Digest;
  Digest.CompleteTo_ = Reader.integer(1, 0, MaxNumber);
  for (const Json &Element : Reader.items(2, MaxDigestEndpoints)) {
    auto Load = decodeLoad(Element);
    if (!Load)
      return std::nullopt;
    Digest.Endpoints_.push_back(*std::move(Load));
  }
  for (const Json &Element : Reader.items(3, MaxDigestDemands))
    if (!decodeDemandGroup(Element, Digest.Demands_))
      return std::nullopt;
  return Reader.valid() ? DecodedPayload(std::move(Digest)) : std::nullopt;
}

DecodedPayload decodeRequest(const Json &Message) {
  ArrayReader Reader(Message, 2);
  const DeltaRequest Request{Reader.integer(1, 0, MaxNumber)};
  return Reader.valid() ? DecodedPayload(Request) : std::nullopt;
}

DecodedPayload decodeDelta(const Json &Message) {
  ArrayReader Reader(Message, 4);
  EncodedDelta Delta;
  Delta.Since_ = Reader.integer(1, 0, MaxNumber);
  Delta.CompleteTo_ = Reader.integer(2, Delta.Since_, MaxNumber);
  for (const Json &Element : Reader.items(3, MaxDeltaRows)) {
    auto Row = decodeRow(Element);
    if (!Row)
      return std::nullopt;
    Delta.Rows_.push_back(*std::move(Row));
  }
  return Reader.valid() ? DecodedPayload(std::move(Delta)) : std::nullopt;
}

DecodedPayload decodeMessage(const Json &Message) {
  if (!Message.is_array() || Message.empty() ||
      !Message[0].is_number_unsigned())
    return std::nullopt;
  switch (static_cast<MessageTag>(Message[0].get<std::uint8_t>())) {
  case MessageTag::Digest:
    return decodeDigest(Message);
  case MessageTag::DeltaRequest:
    return decodeRequest(Message);
  case MessageTag::Delta:
    return decodeDelta(Message);
  }
  return std::nullopt;
}

} // namespace

std::string encodePeerPayload(const PeerPayload &Payload) {
  const Json Message = std::visit(
      Overloaded{[](const PeerDigest &Digest) {
                   return Json::array({encodeTag(MessageTag::Digest),
                                       Digest.CompleteTo_,
                                       encodeLoads(Digest.Endpoints_),
                                       encodeDemands(Digest.Demands_)});
                 },
                 [](const DeltaRequest &Request) {
                   return Json::array(
                       {encodeTag(MessageTag::DeltaRequest), Request.Since_});
                 },
                 [](const EncodedDelta &Delta) {
                   return Json::array({encodeTag(MessageTag::Delta),
                                       Delta.Since_, Delta.CompleteTo_,
                                       encodeRows(Delta.Rows_)});
                 }},
      Payload);
  std::string Bytes;
  Json::to_msgpack(Message, Bytes);
  return Bytes;
}

Result<PeerPayload> decodePeerPayload(std::string_view Bytes) {
  if (Bytes.size() > MaxPeerMessageBytes)
    return fail(Errc::MessageTooLarge);
  try {
    if (!withinMessageBounds(Bytes))
      return fail(Errc::ProtocolViolation);
    const Json Message = Json::from_msgpack(Bytes, true, false);
    if (DecodedPayload Payload = decodeMessage(Message))
      return *std::move(Payload);
  } catch (const std::exception &) {
    // The library throws for some inputs even with exceptions disabled.
  }
  return fail(Errc::ProtocolViolation);
}

} // namespace filbertspring::membership
