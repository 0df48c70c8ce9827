#include "filbertspring/base/finding.h"

#include <fmt/format.h>

namespace filbertspring {

void Findings::add(std::string_view Place, std::string_view Problem,
                   std::string_view Allowed) {
  Items_.push_back(
      {std::string(Place), std::string(Problem), std::string(Allowed)});
}

std::string Findings::toText(std::string_view Document) const {
  std::string Text;
  for (const Finding &Item : Items_) {
    Text += fmt::format("{}: {}: {}", Document, Item.Place_, Item.Problem_);
    if (!Item.Allowed_.empty())
      Text += fmt::format(" (allowed: {})", Item.Allowed_);
    Text += '\n';
  }
  return Text;
}

} // namespace filbertspring
