#include "filbertspring/config/address_text.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <string>

namespace filbertspring {
namespace {

/// Returns true when \p Host is a numeric address of \p Family (AF_INET or
/// AF_INET6).
bool isIpAddress(const std::string &Host, int Family) {
  std::array<unsigned char, sizeof(in6_addr)> Ignored{};
  return inet_pton(Family, Host.c_str(), Ignored.data()) == 1;
}

} // namespace

std::optional<Address> parseAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  bool Bracketed = Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  if (!isIpAddress(std::string(Host), Bracketed ? AF_INET6 : AF_INET))
    return std::nullopt;
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, PortError] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (PortError != std::errc() || Rest != End || Port == 0)
    return std::nullopt;
  return Address{std::string(Host), Port};
}

} // namespace filbertspring
