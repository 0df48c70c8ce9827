#include "filbertspring/transport/http_message.h"

#include <algorithm>
#include <cctype>

namespace filbertspring {
namespace {

bool sameIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(Left, Right, [](char A, char B) {
    return std::tolower(static_cast<unsigned char>(A)) ==
           std::tolower(static_cast<unsigned char>(B));
  });
}

std::string_view find(const std::vector<HttpField> &Fields,
                      std::string_view Name) {
  for (const HttpField &Field : Fields)
    if (sameIgnoringCase(Field.Name_, Name))
      return Field.Value_;
  return {};
}

} // namespace

std::string_view HttpRequest::header(std::string_view Name) const {
  return find(Headers_, Name);
}

std::string_view HttpRequest::query(std::string_view Name) const {
  return find(Query_, Name);
}

std::string_view HttpAnswer::header(std::string_view Name) const {
  return find(Headers_, Name);
}

std::vector<std::string> splitPath(std::string_view Path) {
  std::vector<std::string> Parts;
  while (!Path.empty()) {
    std::size_t End = std::min(Path.find('/'), Path.size());
    if (End > 0)
      Parts.emplace_back(Path.substr(0, End));
    Path.remove_prefix(std::min(End + 1, Path.size()));
  }
  return Parts;
}

} // namespace filbertspring
