#ifndef FILBERTSPRING_ENTRY_API_JSON_ANSWER_H
#define FILBERTSPRING_ENTRY_API_JSON_ANSWER_H

/// \file
/// Answers with JSON bodies, and a reader for JSON request bodies.

#include "filbertspring/base/finding.h"
#include "filbertspring/transport/http_message.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace filbertspring {

/// Returns an answer with the body \p Body.
HttpAnswer jsonAnswer(int Status, const nlohmann::json &Body);
/// Returns an answer that reports an error: {"error":"..."}.
HttpAnswer errorAnswer(int Status, std::string_view Error);
/// Returns an answer with status 422 and all findings.
HttpAnswer findingsAnswer(const Findings &Problems);

/// Reads the fields of a JSON object and collects findings on those that are
/// not valid.
class BodyReader {
public:
  /// Parses \p Text. Anything but a JSON object is a finding.
  explicit BodyReader(std::string_view Text);

  /// Returns the field \p Name. A wrong type is a finding, and so is a missing
  /// field unless it is \p Optional.
  std::string text(const char *Name, bool Optional = false);
  std::int64_t integer(const char *Name, std::int64_t Minimum,
                       std::int64_t Maximum,
                       std::optional<std::int64_t> Default = std::nullopt);
  bool flag(const char *Name, bool Default);
  /// Returns the field \p Name, or a JSON null if it is absent.
  const nlohmann::json &field(const char *Name) const;

  Findings &findings() { return Findings_; }

private:
  nlohmann::json Body_;
  Findings Findings_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_API_JSON_ANSWER_H
