#ifndef FILBERTSPRING_TESTS_HTTP_CALL_H
#define FILBERTSPRING_TESTS_HTTP_CALL_H

/// \file
/// HTTP calls of tests.

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace filbertspring::tests {

/// An answer; status 0 when there was none.
struct Reply {
  int Status_ = 0;
  std::map<std::string, std::string> Headers_;
  std::string Body_;

  /// Returns the header \p Name in lower case, or an empty text.
  std::string header(const std::string &Name) const;
  /// Returns the body as JSON, null when it is none.
  nlohmann::json json() const;
};

/// Sends one request to a port on loopback over a connection of its own.
Reply call(std::uint16_t Port, const std::string &Method,
           const std::string &Path, const std::string &Body = {},
           const std::map<std::string, std::string> &Headers = {});

} // namespace filbertspring::tests

#endif // FILBERTSPRING_TESTS_HTTP_CALL_H
