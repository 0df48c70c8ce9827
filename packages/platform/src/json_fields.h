#ifndef FILBERTSPRING_PLATFORM_JSON_FIELDS_H
#define FILBERTSPRING_PLATFORM_JSON_FIELDS_H

/// \file
/// Writes and reads JSON objects by one description of their fields.
///
/// The fields of a type T are described by a template function, found by
/// argument-dependent lookup, that works for both directions:
///
///   template <typename Archive, ValueOf<T> Self>
///   void describe(Archive &Fields, Self &Value) {
///     Fields("name", Value.Name_);
///   }
///
/// JsonWriter gets a const T and adds members to an object. JsonReader gets a
/// T and fills it; a field that is missing or has the wrong type makes the
/// whole document invalid.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/quantity.h"
#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace filbertspring {

using Json = nlohmann::json;

/// Matches T and const T.
template <typename Self, typename T>
concept ValueOf = std::same_as<std::remove_const_t<Self>, T>;

/// An integer type; encoded as a JSON number.
template <typename T>
concept Integer = std::integral<T> && !std::same_as<T, bool>;

/// An enumeration, encoded as the name of its value; namesOf() returns its
/// table of names.
template <typename T>
concept Enumeration = std::is_enum_v<T>;

/// A type with its own conversions: toField() returns its JSON value, and
/// fromField() reads it and returns false for any other JSON value. Both are
/// found by argument-dependent lookup.
template <typename T>
concept HasFieldConversion = requires(const std::remove_const_t<T> &Value) {
  { toField(Value) } -> std::convertible_to<Json>;
};

/// Returns \p Value as JSON text. Errors: InvalidInput for strings that are not
/// UTF-8.
Result<std::string> dumpJson(const Json &Value);
/// Parses \p Text. Returns a discarded value (is_discarded()) when it is not
/// valid JSON.
Json parseJson(std::string_view Text);

/// Writes the fields of a value to a JSON object.
class JsonWriter {
public:
  template <typename T> void operator()(const char *Name, const T &Value) {
    Object_[Name] = toJson(Value);
  }
  /// Writes a field that JsonReader accepts as absent.
  template <typename T> void optional(const char *Name, const T &Value) {
    (*this)(Name, Value);
  }

  /// Returns \p Value as a JSON object. Errors: InvalidInput for a number
  /// that is not finite.
  template <typename T> static Result<Json> write(const T &Value) {
    JsonWriter Writer;
    Json Object = Writer.toJson(Value);
    if (!Writer.Valid_)
      return fail(Errc::InvalidInput);
    return Object;
  }

private:
  template <typename Tag> Json toJson(const Id<Tag> &Value) {
    return Value.str();
  }
  template <typename Tag> Json toJson(const Quantity<Tag> &Value) {
    return Value.count();
  }
  Json toJson(const std::string &Value) { return Value; }
  Json toJson(const bool &Value) { return Value; }
  Json toJson(const Duration &Value) { return Value.count(); }
  Json toJson(const double &Value) {
    Valid_ = Valid_ && std::isfinite(Value);
    return Value;
  }
  template <Integer T> Json toJson(const T &Value) { return Value; }
  template <Enumeration T> Json toJson(const T &Value) {
    return std::string(nameOf(namesOf(Value), Value));
  }
  template <HasFieldConversion T> Json toJson(const T &Value) {
    return toField(Value);
  }
  template <typename T> Json toJson(const std::vector<T> &Values) {
    return toArray(Values);
  }
  template <typename T, std::size_t Count>
  Json toJson(const std::array<T, Count> &Values) {
    return toArray(Values);
  }
  template <typename T> Json toJson(const T &Value) {
    JsonWriter Inner;
    Inner.Object_ = Json::object();
    describe(Inner, Value);
    Valid_ = Valid_ && Inner.Valid_;
    return std::move(Inner.Object_);
  }
  template <typename List> Json toArray(const List &Values) {
    Json Array = Json::array();
    for (const auto &Element : Values)
      Array.push_back(toJson(Element));
    return Array;
  }

  Json Object_;
  bool Valid_ = true;
};

/// Reads the fields of a value from a JSON object.
class JsonReader {
public:
  template <typename T> void operator()(const char *Name, T &&Value) {
    auto Member = Object_->find(Name);
    if (Member == Object_->end())
      Valid_ = false;
    else
      fromJson(*Member, Value);
  }
  /// Reads a field that may be absent, in which case \p Value is unchanged.
  template <typename T> void optional(const char *Name, T &&Value) {
    if (Object_->contains(Name))
      (*this)(Name, Value);
  }

  /// Decodes \p Document as a T. Errors: InvalidJson.
  template <typename T> static Result<T> read(const Json &Document) {
    JsonReader Reader;
    T Value{};
    Reader.fromJson(Document, Value);
    if (!Reader.Valid_)
      return fail(Errc::InvalidJson);
    return Value;
  }

private:
  template <typename Tag> void fromJson(const Json &Source, Id<Tag> &Value) {
    std::string Text;
    fromJson(Source, Text);
    Value = Id<Tag>(std::move(Text));
  }
  template <typename Tag>
  void fromJson(const Json &Source, Quantity<Tag> &Value) {
    std::int64_t Count = 0;
    fromJson(Source, Count);
    Value = Quantity<Tag>(Count);
  }
  void fromJson(const Json &Source, std::string &Value) {
    if (const auto *Text = Source.get_ptr<const std::string *>())
      Value = *Text;
    else
      Valid_ = false;
  }
  void fromJson(const Json &Source, bool &Value) {
    if (const auto *Flag = Source.get_ptr<const bool *>())
      Value = *Flag;
    else
      Valid_ = false;
  }
  void fromJson(const Json &Source, Duration &Value) {
    std::int64_t Count = 0;
    fromJson(Source, Count);
    Value = Duration(Count);
  }
  void fromJson(const Json &Source, double &Value) {
    if (Source.is_number())
      Value = Source.get<double>();
    else
      Valid_ = false;
  }
  template <Integer T> void fromJson(const Json &Source, T &Value) {
    bool InRange = false;
    if (Source.is_number_unsigned()) {
      auto Number = Source.get<std::uint64_t>();
      InRange = std::in_range<T>(Number);
      Value = static_cast<T>(Number);
    } else if (Source.is_number_integer()) {
      auto Number = Source.get<std::int64_t>();
      InRange = std::in_range<T>(Number);
      Value = static_cast<T>(Number);
    }
    Valid_ = Valid_ && InRange;
  }
  template <Enumeration T> void fromJson(const Json &Source, T &Value) {
    std::string Name;
    fromJson(Source, Name);
    auto Enumerator = valueOf(namesOf(Value), Name);
    Valid_ = Valid_ && Enumerator.has_value();
    Value = Enumerator.value_or(Value);
  }
  template <HasFieldConversion T> void fromJson(const Json &Source, T &Value) {
    Valid_ = Valid_ && fromField(Source, Value);
  }
  template <typename T>
  void fromJson(const Json &Source, std::vector<T> &Values) {
    Valid_ = Valid_ && Source.is_array();
    if (!Valid_)
      return;
    Values.assign(Source.size(), T{});
    readElements(Source, Values);
  }
  template <typename T, std::size_t Count>
  void fromJson(const Json &Source, std::array<T, Count> &Values) {
    Valid_ = Valid_ && Source.is_array() && Source.size() == Count;
    if (Valid_)
      readElements(Source, Values);
  }
  template <typename T> void fromJson(const Json &Source, T &Value) {
    if (!Source.is_object()) {
      Valid_ = false;
      return;
    }
    JsonReader Inner;
    Inner.Object_ = &Source;
    describe(Inner, Value);
    Valid_ = Valid_ && Inner.Valid_;
  }
  template <typename List> void readElements(const Json &Source, List &Values) {
    auto Position = Source.begin();
    for (auto &Element : Values)
      fromJson(*Position++, Element);
  }

  const Json *Object_ = nullptr;
  bool Valid_ = true;
};

/// Returns \p Value as a JSON document. Errors: InvalidInput.
template <typename T> Result<std::string> encodeJson(const T &Value) {
  return JsonWriter::write(Value).and_then(dumpJson);
}

/// Parses \p Text as a JSON document of a T. Errors: InvalidJson.
template <typename T> Result<T> decodeJson(std::string_view Text) {
  Json Document = parseJson(Text);
  if (Document.is_discarded())
    return fail(Errc::InvalidJson);
  return JsonReader::read<T>(Document);
}

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_JSON_FIELDS_H
