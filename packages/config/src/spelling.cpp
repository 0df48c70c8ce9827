#include "spelling.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace filbertspring::config_detail {
namespace {

/// Longer keys are not compared.
constexpr std::size_t MaxComparedLength = 64;

/// Returns the number of single-character edits between the texts.
std::size_t editDistance(std::string_view Left, std::string_view Right) {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 0; I < Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I + 1;
    for (std::size_t J = 0; J < Right.size(); ++J) {
      std::size_t Replaced = Diagonal + (Left[I] == Right[J] ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({Replaced, Row[J] + 1, Row[J + 1] + 1});
    }
  }
  return Row.back();
}

} // namespace

std::string suggestKeys(std::string_view Key,
                        const std::vector<std::string> &Known) {
  // Up to a third of the key, or two characters if that is more, may differ; a
  // larger difference is not considered a spelling mistake.
  std::size_t Best = std::max<std::size_t>(Key.size() / 3, 2) + 1;
  std::string_view Nearest;
  for (const std::string &Candidate : Known) {
    if (Key.size() > MaxComparedLength)
      break;
    std::size_t Distance = editDistance(Key, Candidate);
    if (Distance < Best) {
      Best = Distance;
      Nearest = Candidate;
    }
  }
  if (!Nearest.empty())
    return fmt::format("did you mean \"{}\"?", Nearest);
  return fmt::format("{}", fmt::join(Known, ", "));
}

} // namespace filbertspring::config_detail
