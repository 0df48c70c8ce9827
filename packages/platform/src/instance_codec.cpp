#include "filbertspring/platform/instance_codec.h"

#include "domain_fields.h"

#include <charconv>
#include <fmt/format.h>

namespace filbertspring {

inline const auto &namesOf(InstanceRole) { return InstanceRoleNames; }
inline const auto &namesOf(InstanceState) { return InstanceStateNames; }

namespace {

constexpr int OctetCount = 4;
constexpr int MaxOctet = 255;

/// Parses a whole decimal number from 0 to \p Max.
std::optional<int> parseDecimal(std::string_view Text, int Max) {
  int Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Rest != End || Value < 0 || Value > Max)
    return std::nullopt;
  return Value;
}

bool isNumericHost(std::string_view Host) {
  for (int Octet = 1; Octet < OctetCount; ++Octet) {
    std::size_t Dot = Host.find('.');
    if (Dot == std::string_view::npos ||
        !parseDecimal(Host.substr(0, Dot), MaxOctet))
      return false;
    Host.remove_prefix(Dot + 1);
  }
  return parseDecimal(Host, MaxOctet).has_value();
}

/// An address in the form "HOST:PORT"; empty text stands for none.
template <typename Self> struct AddressText { Self &Address_; };
template <typename Self> AddressText(Self &) -> AddressText<Self>;

template <typename Self> Json toField(const AddressText<Self> &Value) {
  bool Empty = Value.Address_ == Address();
  return Empty ? std::string() : Value.Address_.toString();
}

bool fromField(const Json &Source, AddressText<Address> &Value) {
  const auto *Text = Source.get_ptr<const std::string *>();
  if (!Text)
    return false;
  if (Text->empty())
    return true;
  Result<Address> Parsed = decodeAddress(*Text);
  Value.Address_ = Parsed.value_or(Address());
  return Parsed.has_value();
}

} // namespace

template <typename Archive, ValueOf<ListedInstance> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("name", Value.Name_);
  Fields("role", Value.Role_);
  Fields("state", Value.State_);
  Fields("zone", Value.Zone_);
  Fields.optional("rack", Value.Rack_);
  Fields.optional("service", Value.Service_);
  Fields.optional("slots", Value.Slots_);
  Fields.optional("capacity", Value.Capacity_);
  Fields("http", AddressText{Value.Http_});
  Fields.optional("peer", AddressText{Value.Peer_});
}

Result<Address> decodeAddress(std::string_view Text) {
  constexpr int MaxPort = 65535;
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || !isNumericHost(Text.substr(0, Colon)))
    return fail(Errc::InvalidInput);
  std::optional<int> Port = parseDecimal(Text.substr(Colon + 1), MaxPort);
  if (!Port || *Port == 0)
    return fail(Errc::InvalidInput);
  return Address{std::string(Text.substr(0, Colon)),
                 static_cast<std::uint16_t>(*Port)};
}

Result<std::string> encodeInstance(const ListedInstance &Instance) {
  return encodeJson(Instance);
}

Result<ListedInstance> decodeInstance(std::string_view Text) {
  return decodeJson<ListedInstance>(Text);
}

Result<InstanceList> decodeInstanceList(std::string_view Text) {
  Json Document = parseJson(Text);
  if (!Document.is_object() || !Document.contains("instances") ||
      !Document["instances"].is_array())
    return fail(Errc::InvalidJson);
  InstanceList List;
  const Json &Entries = Document["instances"];
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    auto Instance = JsonReader::read<ListedInstance>(Entries[Index]);
    if (Instance)
      List.Instances_.push_back(std::move(*Instance));
    else
      List.Findings_.add(fmt::format("/instances/{}", Index),
                         Instance.error().message());
  }
  return List;
}

} // namespace filbertspring
