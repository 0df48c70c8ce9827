#include "filbertspring/config/units.h"

#include <charconv>
#include <fmt/format.h>
#include <limits>
#include <span>

namespace filbertspring {
namespace {

/// One unit and its size in the smallest unit of the quantity.
struct Unit {
  std::string_view Name_;
  std::int64_t Size_;
};

// Each table is ordered from the smallest unit to the largest.
constexpr std::array<Unit, 5> DurationUnits{{{"us", 1},
                                             {"ms", 1000},
                                             {"s", 1000000},
                                             {"min", 60000000},
                                             {"h", 3600000000}}};
constexpr std::array<Unit, 2> CpuUnits{{{"millicores", 1}, {"cores", 1000}}};
constexpr std::array<Unit, 3> MemoryUnits{
    {{"MiB", 1}, {"GiB", 1024}, {"TiB", 1048576}}};
constexpr std::array<Unit, 1> RateUnits{{{"/s", 1}}};

ParsedQuantity<std::int64_t> parseUnits(std::string_view Text,
                                        std::span<const Unit> Units) {
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Number);
  if (Error == std::errc::result_out_of_range)
    return tl::unexpected(QuantityError::TooLarge);
  if (Error != std::errc())
    return tl::unexpected(QuantityError::NotANumber);
  if (Rest != End && *Rest == '.')
    return tl::unexpected(QuantityError::NotANumber);
  if (Rest != End && *Rest == ' ')
    ++Rest;
  std::string_view Name(Rest, static_cast<std::size_t>(End - Rest));
  if (Name.empty())
    return tl::unexpected(QuantityError::UnitMissing);
  for (const Unit &Candidate : Units) {
    if (Candidate.Name_ != Name)
      continue;
    std::int64_t Total = 0;
    if (__builtin_mul_overflow(Number, Candidate.Size_, &Total))
      return tl::unexpected(QuantityError::TooLarge);
    return Total;
  }
  return tl::unexpected(QuantityError::UnitUnknown);
}

std::string formatUnits(std::int64_t Amount, std::span<const Unit> Units,
                        std::string_view Separator) {
  const Unit *Best = &Units.front();
  for (const Unit &Candidate : Units)
    if (Amount % Candidate.Size_ == 0)
      Best = &Candidate;
  return fmt::format("{}{}{}", Amount / Best->Size_, Separator, Best->Name_);
}

} // namespace

ParsedQuantity<Duration> parseDuration(std::string_view Text) {
  return parseUnits(Text, DurationUnits).map([](std::int64_t Amount) {
    return Duration(Amount);
  });
}

ParsedQuantity<Millicores> parseCpu(std::string_view Text) {
  return parseUnits(Text, CpuUnits).map([](std::int64_t Amount) {
    return Millicores(Amount);
  });
}

ParsedQuantity<Mebibytes> parseMemory(std::string_view Text) {
  return parseUnits(Text, MemoryUnits).map([](std::int64_t Amount) {
    return Mebibytes(Amount);
  });
}

ParsedQuantity<std::int64_t> parseRate(std::string_view Text) {
  return parseUnits(Text, RateUnits);
}

std::string formatDuration(Duration Value) {
  if (Value == Duration::zero())
    return "0s";
  return formatUnits(Value.count(), DurationUnits, "");
}

std::string formatCpu(Millicores Value) {
  return formatUnits(Value.count(), CpuUnits, " ");
}

std::string formatMemory(Mebibytes Value) {
  if (Value == Mebibytes())
    return "0 MiB";
  return formatUnits(Value.count(), MemoryUnits, " ");
}

std::string formatRate(std::int64_t PerSecond) {
  return formatUnits(PerSecond, RateUnits, "");
}

} // namespace filbertspring
