#include "filbertspring/platform/instance_codec.h"

#include "domain_fields.h"
#include "filbertspring/config/address_text.h"

#include <fmt/format.h>
#include <optional>

namespace filbertspring {

inline const auto &namesOf(InstanceRole) { return InstanceRoleNames; }
inline const auto &namesOf(InstanceState) { return InstanceStateNames; }

namespace {

/// A reference to an address that is encoded as "IP:PORT".
template <typename Self> struct AddressText {
  Self &Address_;
  /// Whether empty text is accepted as an absent address.
  bool MayBeEmpty_ = false;
};
template <typename Self> AddressText(Self &) -> AddressText<Self>;
template <typename Self> AddressText(Self &, bool) -> AddressText<Self>;

template <typename Self> Json toField(const AddressText<Self> &Value) {
  bool IsAbsent = Value.Address_ == Address();
  return IsAbsent ? std::string() : Value.Address_.toString();
}

bool fromField(const Json &Source, AddressText<Address> &Value) {
  const auto *Text = Source.get_ptr<const std::string *>();
  if (!Text)
    return false;
  if (Text->empty())
    return Value.MayBeEmpty_;
  std::optional<Address> Parsed = parseAddress(*Text);
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
  Fields.optional("peer", AddressText{Value.Peer_, /*MayBeEmpty=*/true});
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
