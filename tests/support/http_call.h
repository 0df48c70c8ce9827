#ifndef FILBERTSPRING_TESTS_HTTP_CALL_H
#define FILBERTSPRING_TESTS_HTTP_CALL_H

/// \file
/// A blocking HTTP client for tests.

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace filbertspring::tests {

/// An HTTP answer; the status is 0 when no answer was received.
struct Reply {
  int Status_ = 0;
  std::map<std::string, std::string> Headers_;
  std::string Body_;

  /// Returns the value of the header \p Name, which must be in lower case, or
  /// an empty string.
  std::string header(const std::string &Name) const;
  /// Returns the body as JSON; a discarded value when it is not valid JSON.
  nlohmann::json json() const;
};

/// Sends one request to a port on loopback over a new connection.
Reply call(std::uint16_t Port, const std::string &Method,
           const std::string &Path, const std::string &Body = {},
           const std::map<std::string, std::string> &Headers = {});

} // namespace filbertspring::tests

#endif // FILBERTSPRING_TESTS_HTTP_CALL_H
