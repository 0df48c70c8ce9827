#ifndef FILBERTSPRING_TRANSPORT_HTTP_MESSAGE_H
#define FILBERTSPRING_TRANSPORT_HTTP_MESSAGE_H

/// \file
/// Value types for HTTP requests and answers.

#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring {

/// One header or query parameter.
struct HttpField {
  std::string Name_;
  std::string Value_;
};

/// A request that was received or is to be sent.
struct HttpRequest {
  std::string Method_;
  std::string Path_;
  std::vector<HttpField> Query_;
  std::vector<HttpField> Headers_;
  std::string Body_;

  /// Returns the value of the header \p Name (case-insensitive), or an empty
  /// view.
  std::string_view header(std::string_view Name) const;
  /// Returns the value of the query parameter \p Name, or an empty view.
  std::string_view query(std::string_view Name) const;
};

/// The answer to a request.
struct HttpAnswer {
  int Status_ = 200;
  std::vector<HttpField> Headers_;
  std::string ContentType_ = "application/json";
  std::string Body_;

  /// Returns the value of the header \p Name (case-insensitive), or an empty
  /// view.
  std::string_view header(std::string_view Name) const;
};

/// Parses the parameters of \p Query, which excludes the question mark. Invalid
/// percent escapes are kept unchanged.
/// Fields after the first \p MaxFields are left out.
std::vector<HttpField>
parseQuery(std::string_view Query,
           std::size_t MaxFields = std::numeric_limits<std::size_t>::max());

/// Splits \p Path at its slashes and omits empty segments.
std::vector<std::string> splitPath(std::string_view Path);

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_HTTP_MESSAGE_H
