#include "filbertspring/transport/http_message.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace filbertspring {
namespace {

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(Left, Right, [](char A, char B) {
    return std::tolower(static_cast<unsigned char>(A)) ==
           std::tolower(static_cast<unsigned char>(B));
  });
}

std::string_view findValue(const std::vector<HttpField> &Fields,
                           std::string_view Name) {
  for (const HttpField &Field : Fields)
    if (equalsIgnoringCase(Field.Name_, Name))
      return Field.Value_;
  return {};
}

/// Decodes percent escapes; keeps invalid ones unchanged.
std::string unescape(std::string_view Text) {
  constexpr std::size_t EscapeSize = 3;
  constexpr int HexadecimalBase = 16;
  std::string Decoded;
  while (!Text.empty()) {
    unsigned Byte = 0;
    const char *Digits = Text.data() + 1;
    bool IsEscape =
        Text.front() == '%' && Text.size() >= EscapeSize &&
        std::from_chars(Digits, Digits + 2, Byte, HexadecimalBase).ptr ==
            Digits + 2;
    Decoded += IsEscape ? static_cast<char>(Byte) : Text.front();
    Text.remove_prefix(IsEscape ? EscapeSize : 1);
  }
  return Decoded;
}

} // namespace

std::string_view HttpRequest::header(std::string_view Name) const {
  return findValue(Headers_, Name);
}

std::string_view HttpRequest::query(std::string_view Name) const {
  return findValue(Query_, Name);
}

std::string_view HttpAnswer::header(std::string_view Name) const {
  return findValue(Headers_, Name);
}

std::vector<HttpField> parseQuery(std::string_view Query,
                                  std::size_t MaxFields) {
  std::vector<HttpField> Fields;
  while (!Query.empty() && Fields.size() < MaxFields) {
    std::string_view Part = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Part.size() + 1, Query.size()));
    std::string_view Name = Part.substr(0, Part.find('='));
    Part.remove_prefix(std::min(Name.size() + 1, Part.size()));
    Fields.push_back({unescape(Name), unescape(Part)});
  }
  return Fields;
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
