#ifndef FILBERTSPRING_BASE_ENUM_TABLE_H
#define FILBERTSPRING_BASE_ENUM_TABLE_H

/// \file
/// Conversion between the values of an enumeration and their names.

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace filbertspring {

/// One value of an enumeration and its external name.
template <typename Enum> struct EnumName {
  Enum Value_;
  std::string_view Name_;
};

/// The fixed list of names of an enumeration.
template <typename Enum, std::size_t Count>
using EnumTable = std::array<EnumName<Enum>, Count>;

/// Returns the name of \p Value, or "unknown". Linear in the table's size.
template <typename Enum, std::size_t Count>
constexpr std::string_view nameOf(const EnumTable<Enum, Count> &Table,
                                  Enum Value) {
  for (const EnumName<Enum> &Entry : Table)
    if (Entry.Value_ == Value)
      return Entry.Name_;
  return "unknown";
}

/// Returns the value called \p Name, or std::nullopt. Linear in the table's
/// size.
template <typename Enum, std::size_t Count>
constexpr std::optional<Enum> valueOf(const EnumTable<Enum, Count> &Table,
                                      std::string_view Name) {
  for (const EnumName<Enum> &Entry : Table)
    if (Entry.Name_ == Name)
      return Entry.Value_;
  return std::nullopt;
}

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_ENUM_TABLE_H
