#include "filbertspring/scheduling/task_name.h"

#include <array>
#include <charconv>

namespace filbertspring::scheduling {
namespace {

/// Length of the largest number with a dot.
constexpr std::size_t MaxDigits = 11;

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
  // Called for each task of each report, so it avoids the formatting library.
  std::string Text;
  Text.reserve(Job_.size() + 3 * MaxDigits);
  Text = Job_;
  for (std::uint32_t Number : {Occurrence_, Step_, Index_}) {
    std::array<char, MaxDigits> Digits{};
    auto End =
        std::to_chars(Digits.data(), Digits.data() + Digits.size(), Number);
    Text += '.';
    Text.append(Digits.data(), End.ptr);
  }
  return Text;
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
