#ifndef FILBERTSPRING_CONFIG_SRC_DOCUMENT_READER_H
#define FILBERTSPRING_CONFIG_SRC_DOCUMENT_READER_H

/// \file
/// Reads the members of JSON objects into typed fields and collects findings.

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/finding.h"
#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"
#include "filbertspring/config/units.h"
#include "filbertspring/domain/endpoint.h"

#include "document.h"

#include <concepts>
#include <cstdint>
#include <fmt/format.h>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring::config_detail {

/// Whether a member may be absent; the field then keeps its value.
enum class Presence { Required, Optional };

/// The smallest and the largest accepted value.
template <typename T> struct Bounds {
  T Min_;
  T Max_;
};

/// Maximum length of the names of contracts, services, zones, instances and so
/// on.
inline constexpr std::size_t MaxNameLength = 64;

/// Reads one object. Each read function adds a finding at the member's place
/// when the member is missing, has the wrong type or is out of range, and then
/// leaves the field as it was. Call finish() after the last one.
class ObjectReader {
public:
  /// \p Value and \p Report must outlive the reader. Adds a finding when
  /// \p Value is not an object.
  ObjectReader(const nlohmann::json &Value, std::string Place,
               Findings &Report);

  /// Reads a name of letters, digits, dots, hyphens and underscores.
  template <typename Tag>
  void readName(std::string_view Key, Id<Tag> &Field,
                Presence Need = Presence::Required) {
    std::string Text;
    if (readNameText(Key, Text, Need))
      Field = Id<Tag>(std::move(Text));
  }

  /// Reads an integer without a unit.
  template <std::integral Number>
  void readInteger(std::string_view Key, Number &Field, Bounds<Number> Range,
                   Presence Need = Presence::Required) {
    std::int64_t Value = 0;
    if (readInt64(Key, Value, {Range.Min_, Range.Max_}, Need))
      Field = static_cast<Number>(Value);
  }

  /// Reads a number without a unit.
  void readFraction(std::string_view Key, double &Field, Bounds<double> Range,
                    Presence Need = Presence::Required);

  void readBoolean(std::string_view Key, bool &Field,
                   Presence Need = Presence::Required);

  /// Reads one of the names of \p Table.
  template <typename Enum, std::size_t Count>
  void readEnum(std::string_view Key, const EnumTable<Enum, Count> &Table,
                Enum &Field, Presence Need = Presence::Required) {
    const std::string *Text = findText(Key, Need);
    if (!Text)
      return;
    if (std::optional<Enum> Value = valueOf(Table, *Text)) {
      Field = *Value;
      return;
    }
    std::string Allowed;
    for (const EnumName<Enum> &Entry : Table)
      Allowed +=
          fmt::format("{}\"{}\"", Allowed.empty() ? "" : " or ", Entry.Name_);
    addFinding(Key, fmt::format("\"{}\" is not known", *Text), Allowed);
  }

  void readDuration(std::string_view Key, Duration &Field,
                    Bounds<Duration> Range, Presence Need = Presence::Required);
  void readRate(std::string_view Key, std::int64_t &Field,
                Bounds<std::int64_t> Range);
  void readCpu(std::string_view Key, Millicores &Field,
               Bounds<Millicores> Range);
  void readMemory(std::string_view Key, Mebibytes &Field,
                  Bounds<Mebibytes> Range);

  /// Reads "IP:PORT"; an IPv6 address must be in brackets. Host names are not
  /// accepted.
  void readAddress(std::string_view Key, Address &Field);

  /// Calls \p Read for a member that is an object, then reports its unknown
  /// keys. An absent optional member is skipped.
  void readObject(std::string_view Key, Presence Need,
                  const std::function<void(ObjectReader &)> &Read);

  /// Calls \p Read for each object in an array.
  void readObjects(std::string_view Key, Presence Need,
                   const std::function<void(ObjectReader &)> &Read);

  /// Reads an array of names.
  template <typename Tag>
  void readNames(std::string_view Key, std::vector<Id<Tag>> &Field,
                 Presence Need) {
    std::vector<std::string> Texts;
    readNameTexts(Key, Texts, Need);
    for (std::string &Text : Texts)
      Field.emplace_back(std::move(Text));
  }

  /// Adds a finding at the member \p Key.
  void addFinding(std::string_view Key, std::string_view Problem,
                  std::string_view Allowed);

  /// Adds a finding for each member that none of the functions above has
  /// requested.
  void finish();

private:
  const nlohmann::json *find(std::string_view Key, Presence Need,
                             std::string_view Allowed);
  const std::string *findText(std::string_view Key, Presence Need);
  const nlohmann::json *findArray(std::string_view Key, Presence Need);
  bool readNameText(std::string_view Key, std::string &Text, Presence Need);
  void readNameTexts(std::string_view Key, std::vector<std::string> &Texts,
                     Presence Need);
  bool checkName(const std::string &Text, const std::string &Place);
  bool readInt64(std::string_view Key, std::int64_t &Value,
                 Bounds<std::int64_t> Range, Presence Need);
  template <typename T>
  void readQuantity(std::string_view Key, T &Field, Bounds<T> Range,
                    Presence Need, ParsedQuantity<T> (*Parse)(std::string_view),
                    std::string (*Format)(T), std::string_view Example);

  const nlohmann::json *Object_ = nullptr;
  std::string Place_;
  Findings &Report_;
  std::vector<std::string> RequestedKeys_;
};

/// Reads the object that \p Text consists of. Adds findings for syntax errors
/// and unknown keys; \p Read is called when the syntax is valid.
void readDocument(std::string_view Text, Findings &Report,
                  const std::function<void(ObjectReader &)> &Read);

} // namespace filbertspring::config_detail

#endif // FILBERTSPRING_CONFIG_SRC_DOCUMENT_READER_H
