#include "filbertspring/scheduling/task_name.h"

#include <charconv>
#include <fmt/format.h>

namespace filbertspring::scheduling {
namespace {

/// Removes the last dot-separated part of \p Text and returns it as a number.
std::optional<std::uint32_t> takeLastNumber(std::string_view &Text) {
  std::size_t Dot = Text.rfind('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  std::string_view Digits = Text.substr(Dot + 1);
  std::uint32_t Value = 0;
  auto [End, Error] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Value);
  if (Error != std::errc() || End != Digits.data() + Digits.size())
    return std::nullopt;
  Text = Text.substr(0, Dot);
  return Value;
}

} // namespace

std::string TaskName::text() const {
  return fmt::format("{}.{}.{}.{}", Job_, Occurrence_, Step_, Index_);
}

std::optional<TaskName> parseTaskName(std::string_view Text) {
  std::optional<std::uint32_t> Index = takeLastNumber(Text);
  std::optional<std::uint32_t> Step = takeLastNumber(Text);
  std::optional<std::uint32_t> Occurrence = takeLastNumber(Text);
  if (!Index || !Step || !Occurrence || Text.empty())
    return std::nullopt;
  return TaskName{std::string(Text), *Occurrence, *Step, *Index};
}

} // namespace filbertspring::scheduling
