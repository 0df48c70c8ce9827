#ifndef FILBERTSPRING_CONFIG_UNITS_H
#define FILBERTSPRING_CONFIG_UNITS_H

/// \file
/// Quantities as text: a whole number and its unit, such as "250ms".

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/quantity.h"
#include "filbertspring/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace filbertspring {

/// Why a text is not a valid quantity.
enum class QuantityError { NotANumber, UnitMissing, UnitUnknown, TooLarge };

inline constexpr EnumTable<QuantityError, 4> QuantityErrorMessages{
    {{QuantityError::NotANumber, "is not a whole number with a unit"},
     {QuantityError::UnitMissing, "has no unit"},
     {QuantityError::UnitUnknown, "has an unknown unit"},
     {QuantityError::TooLarge, "is too large"}}};

/// A quantity, or the reason why the text is not a valid one.
template <typename T> using ParsedQuantity = tl::expected<T, QuantityError>;

/// Parses a duration. Units: us, ms, s, min, h.
ParsedQuantity<Duration> parseDuration(std::string_view Text);
/// Parses CPU time. Units: millicores, cores.
ParsedQuantity<Millicores> parseCpu(std::string_view Text);
/// Parses an amount of memory. Units: MiB, GiB, TiB.
ParsedQuantity<Mebibytes> parseMemory(std::string_view Text);
/// Parses a rate in events per second. Unit: /s.
ParsedQuantity<std::int64_t> parseRate(std::string_view Text);

/// Each returns the text with the largest unit for which the number is whole;
/// the corresponding parse function returns the same quantity from it.
std::string formatDuration(Duration Value);
std::string formatCpu(Millicores Value);
std::string formatMemory(Mebibytes Value);
std::string formatRate(std::int64_t PerSecond);

} // namespace filbertspring

#endif // FILBERTSPRING_CONFIG_UNITS_H
