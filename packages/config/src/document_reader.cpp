#include "document_reader.h"

#include "spelling.h"

#include "filbertspring/config/address_text.h"

#include <algorithm>

namespace filbertspring::config_detail {
namespace {

using Json = nlohmann::json;

constexpr std::string_view AllowedName =
    "1 to 64 letters, digits, dots, hyphens or underscores";
constexpr std::string_view AllowedAddress =
    "an IP number and a port, such as \"127.0.0.1:18101\"";

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '.' ||
         Character == '-' || Character == '_';
}

} // namespace

ObjectReader::ObjectReader(const Json &Value, std::string Place,
                           Findings &Report)
    : Place_(std::move(Place)), Report_(Report) {
  if (Value.is_object())
    Object_ = &Value;
  else
    Report_.add(Place_, "is not an object", "an object in braces");
}

void ObjectReader::addFinding(std::string_view Key, std::string_view Problem,
                              std::string_view Allowed) {
  Report_.add(pointerTo(Place_, Key), Problem, Allowed);
}

const Json *ObjectReader::find(std::string_view Key, Presence Need,
                               std::string_view Allowed) {
  RequestedKeys_.emplace_back(Key);
  if (!Object_)
    return nullptr;
  auto Member = Object_->find(Key);
  if (Member != Object_->end())
    return &*Member;
  if (Need == Presence::Required)
    addFinding(Key, "is missing", Allowed);
  return nullptr;
}

const std::string *ObjectReader::findText(std::string_view Key, Presence Need) {
  const Json *Value = find(Key, Need, "a string");
  if (!Value)
    return nullptr;
  const auto *Text = Value->get_ptr<const std::string *>();
  if (!Text)
    addFinding(Key, "is not a string", "a string");
  return Text;
}

const Json *ObjectReader::findArray(std::string_view Key, Presence Need) {
  const Json *Value = find(Key, Need, "an array in brackets");
  if (!Value || Value->is_array())
    return Value;
  addFinding(Key, "is not an array", "an array in brackets");
  return nullptr;
}

bool ObjectReader::checkName(const std::string &Text,
                             const std::string &Place) {
  bool IsValid = !Text.empty() && Text.size() <= MaxNameLength &&
                 std::ranges::all_of(Text, isNameCharacter);
  if (!IsValid)
    Report_.add(Place, "is not a name", AllowedName);
  return IsValid;
}

bool ObjectReader::readNameText(std::string_view Key, std::string &Text,
                                Presence Need) {
  const std::string *Value = findText(Key, Need);
  if (!Value || !checkName(*Value, pointerTo(Place_, Key)))
    return false;
  Text = *Value;
  return true;
}

void ObjectReader::readNameTexts(std::string_view Key,
                                 std::vector<std::string> &Texts,
                                 Presence Need) {
  const Json *Items = findArray(Key, Need);
  if (!Items)
    return;
  std::string ArrayPlace = pointerTo(Place_, Key);
  for (std::size_t Index = 0; Index < Items->size(); ++Index) {
    std::string Place = pointerTo(ArrayPlace, std::to_string(Index));
    const auto *Text = (*Items)[Index].get_ptr<const std::string *>();
    if (!Text)
      Report_.add(Place, "is not a string", AllowedName);
    bool IsValid = Text && checkName(*Text, Place);
    // An invalid item keeps its position, so that the indexes of later places
    // stay correct.
    Texts.push_back(IsValid ? *Text : "");
  }
}

bool ObjectReader::readInt64(std::string_view Key, std::int64_t &Value,
                             Bounds<std::int64_t> Range, Presence Need) {
  std::string Allowed =
      fmt::format("a whole number from {} to {}", Range.Min_, Range.Max_);
  const Json *Member = find(Key, Need, Allowed);
  if (!Member)
    return false;
  if (!Member->is_number_integer()) {
    addFinding(Key, "is not a whole number", Allowed);
    return false;
  }
  // nlohmann::json stores a number above the signed range as unsigned.
  constexpr std::uint64_t Largest = std::numeric_limits<std::int64_t>::max();
  bool TooLarge =
      Member->is_number_unsigned() && Member->get<std::uint64_t>() > Largest;
  std::int64_t Number = TooLarge ? 0 : Member->get<std::int64_t>();
  if (TooLarge || Number < Range.Min_ || Number > Range.Max_) {
    addFinding(Key, fmt::format("{} is out of range", Member->dump()), Allowed);
    return false;
  }
  Value = Number;
  return true;
}

void ObjectReader::readFraction(std::string_view Key, double &Field,
                                Bounds<double> Range, Presence Need) {
  std::string Allowed =
      fmt::format("a number from {} to {}", Range.Min_, Range.Max_);
  const Json *Member = find(Key, Need, Allowed);
  if (!Member)
    return;
  if (!Member->is_number()) {
    addFinding(Key, "is not a number", Allowed);
    return;
  }
  auto Value = Member->get<double>();
  if (Value >= Range.Min_ && Value <= Range.Max_)
    Field = Value;
  else
    addFinding(Key, fmt::format("{} is out of range", Value), Allowed);
}

void ObjectReader::readBoolean(std::string_view Key, bool &Field,
                               Presence Need) {
  const Json *Member = find(Key, Need, "true or false");
  if (!Member)
    return;
  if (const auto *Value = Member->get_ptr<const bool *>())
    Field = *Value;
  else
    addFinding(Key, "is not true or false", "true or false");
}

template <typename T>
void ObjectReader::readQuantity(std::string_view Key, T &Field, Bounds<T> Range,
                                Presence Need,
                                ParsedQuantity<T> (*Parse)(std::string_view),
                                std::string (*Format)(T),
                                std::string_view Example) {
  std::string Allowed =
      fmt::format("from {} to {}, as a string with its unit such as \"{}\"",
                  Format(Range.Min_), Format(Range.Max_), Example);
  const Json *Member = find(Key, Need, Allowed);
  if (!Member)
    return;
  const auto *Text = Member->get_ptr<const std::string *>();
  if (!Text) {
    addFinding(Key,
               Member->is_number()
                   ? fmt::format("{} has no unit", Member->dump())
                   : "is not a string with a number and its unit",
               Allowed);
    return;
  }
  ParsedQuantity<T> Value = Parse(*Text);
  if (!Value)
    addFinding(Key,
               fmt::format("\"{}\" {}", *Text,
                           nameOf(QuantityErrorMessages, Value.error())),
               Allowed);
  else if (*Value < Range.Min_ || *Value > Range.Max_)
    addFinding(Key, fmt::format("\"{}\" is out of range", *Text), Allowed);
  else
    Field = *Value;
}

void ObjectReader::readDuration(std::string_view Key, Duration &Field,
                                Bounds<Duration> Range, Presence Need) {
  readQuantity(Key, Field, Range, Need, parseDuration, formatDuration, "250ms");
}

void ObjectReader::readRate(std::string_view Key, std::int64_t &Field,
                            Bounds<std::int64_t> Range) {
  readQuantity(Key, Field, Range, Presence::Required, parseRate, formatRate,
               "400/s");
}

void ObjectReader::readCpu(std::string_view Key, Millicores &Field,
                           Bounds<Millicores> Range) {
  readQuantity(Key, Field, Range, Presence::Required, parseCpu, formatCpu,
               "400 cores");
}

void ObjectReader::readMemory(std::string_view Key, Mebibytes &Field,
                              Bounds<Mebibytes> Range) {
  readQuantity(Key, Field, Range, Presence::Required, parseMemory, formatMemory,
               "800 GiB");
}

void ObjectReader::readAddress(std::string_view Key, Address &Field) {
  const std::string *Text = findText(Key, Presence::Required);
  if (!Text)
    return;
  if (std::optional<Address> Parsed = parseAddress(*Text))
    Field = *Parsed;
  else
    addFinding(Key, fmt::format("\"{}\" is not an address", *Text),
               AllowedAddress);
}

void ObjectReader::readObject(std::string_view Key, Presence Need,
                              const std::function<void(ObjectReader &)> &Read) {
  const Json *Value = find(Key, Need, "an object in braces");
  if (!Value)
    return;
  ObjectReader Member(*Value, pointerTo(Place_, Key), Report_);
  if (!Member.Object_)
    return;
  Read(Member);
  Member.finish();
}

void ObjectReader::readObjects(
    std::string_view Key, Presence Need,
    const std::function<void(ObjectReader &)> &Read) {
  const Json *Items = findArray(Key, Need);
  if (!Items)
    return;
  std::string ArrayPlace = pointerTo(Place_, Key);
  for (std::size_t Index = 0; Index < Items->size(); ++Index) {
    ObjectReader Item((*Items)[Index],
                      pointerTo(ArrayPlace, std::to_string(Index)), Report_);
    Read(Item);
    Item.finish();
  }
}

void ObjectReader::finish() {
  if (!Object_)
    return;
  for (const auto &[Key, Value] : Object_->items())
    if (std::ranges::find(RequestedKeys_, Key) == RequestedKeys_.end())
      addFinding(Key, "key is not known", suggestKeys(Key, RequestedKeys_));
}

void readDocument(std::string_view Text, Findings &Report,
                  const std::function<void(ObjectReader &)> &Read) {
  std::optional<Json> Tree = parseDocument(Text, Report);
  if (!Tree)
    return;
  ObjectReader Root(*Tree, "", Report);
  if (!Tree->is_object())
    return;
  Read(Root);
  Root.finish();
}

} // namespace filbertspring::config_detail
