#ifndef FILBERTSPRING_REPORT_SRC_CAUSE_JSON_H
#define FILBERTSPRING_REPORT_SRC_CAUSE_JSON_H

/// \file
/// Counts by cause as a JSON object.

#include "filbertspring/domain/burn.h"

#include <nlohmann/json.hpp>

namespace filbertspring::report_detail {

/// Returns an object with the causes whose count is not zero.
inline nlohmann::ordered_json
causesToJson(const std::array<std::int64_t, BurnCauseCount> &Bad) {
  auto Object = nlohmann::ordered_json::object();
  for (std::size_t Cause = 0; Cause < BurnCauseCount; ++Cause)
    if (Bad[Cause] != 0)
      Object[std::string(BurnCauseNames[Cause].Name_)] = Bad[Cause];
  return Object;
}

/// Returns \p Document as text; invalid UTF-8 in names is replaced.
inline std::string dumpJson(const nlohmann::ordered_json &Document,
                            int Indent) {
  return Document.dump(Indent, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace filbertspring::report_detail

#endif // FILBERTSPRING_REPORT_SRC_CAUSE_JSON_H
