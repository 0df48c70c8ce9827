#ifndef FILBERTSPRING_ENTRY_API_JSON_ANSWER_H
#define FILBERTSPRING_ENTRY_API_JSON_ANSWER_H

/// \file
/// Answers with JSON bodies, and the reading of JSON request bodies.

#include "filbertspring/base/finding.h"
#include "filbertspring/transport/http_message.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace filbertspring {

/// Makes an answer with \p Body.
HttpAnswer jsonAnswer(int Status, const nlohmann::json &Body);
/// Makes an answer that names an error: {"error":"..."}.
HttpAnswer errorAnswer(int Status, std::string_view Error);
/// Makes the answer 422 with all findings.
HttpAnswer findingsAnswer(const Findings &Found);

/// Reads fields of a JSON object and collects what is wrong with them.
class BodyReader {
public:
  /// Parses \p Text; anything but an object is a finding.
  explicit BodyReader(std::string_view Text);

  /// Returns the field \p Name. A wrong type is a finding, and so is a missing
  /// field unless \p Optional.
  std::string text(const char *Name, bool Optional = false);
  std::int64_t integer(const char *Name, std::int64_t Minimum,
                       std::int64_t Maximum,
                       std::optional<std::int64_t> Default = std::nullopt);
  bool flag(const char *Name, bool Default);
  /// Returns the field \p Name, null when it is absent.
  const nlohmann::json &field(const char *Name) const;

  Findings &findings() { return Found_; }

private:
  nlohmann::json Body_;
  Findings Found_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_API_JSON_ANSWER_H
