#ifndef FILBERTSPRING_TRANSPORT_HTTP_MESSAGE_H
#define FILBERTSPRING_TRANSPORT_HTTP_MESSAGE_H

/// \file
/// HTTP requests and answers as values.

#include <string>
#include <string_view>
#include <vector>

namespace filbertspring {

/// One header or query parameter.
struct HttpField {
  std::string Name_;
  std::string Value_;
};

/// A received or to be sent request.
struct HttpRequest {
  std::string Method_;
  std::string Path_;
  std::vector<HttpField> Query_;
  std::vector<HttpField> Headers_;
  std::string Body_;

  /// Returns the value of the header \p Name (any case), or an empty view.
  std::string_view header(std::string_view Name) const;
  /// Returns the value of the query parameter \p Name, or an empty view.
  std::string_view query(std::string_view Name) const;
};

/// An answer.
struct HttpAnswer {
  int Status_ = 200;
  std::vector<HttpField> Headers_;
  std::string ContentType_ = "application/json";
  std::string Body_;

  /// Returns the value of the header \p Name (any case), or an empty view.
  std::string_view header(std::string_view Name) const;
};

/// Reads the parameters of \p Query, which excludes the question mark. Escapes
/// that are not two hexadecimal digits stay as they are.
std::vector<HttpField> parseQuery(std::string_view Query);

/// Splits the path \p Path at its slashes; empty parts are left out.
std::vector<std::string> splitPath(std::string_view Path);

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_HTTP_MESSAGE_H
