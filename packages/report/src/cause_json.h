#ifndef FILBERTSPRING_REPORT_SRC_CAUSE_JSON_H
#define FILBERTSPRING_REPORT_SRC_CAUSE_JSON_H

/// \file
/// JSON helpers shared by the burn counts and the burn report.

#include "filbertspring/domain/burn.h"

#include <nlohmann/json.hpp>

namespace filbertspring::report_detail {

/// Returns an object that maps the name of each cause with a nonzero count to
/// that count.
inline nlohmann::ordered_json
causesToJson(const std::array<std::int64_t, BurnCauseCount> &Bad) {
  auto Object = nlohmann::ordered_json::object();
  for (std::size_t Cause = 0; Cause < BurnCauseCount; ++Cause)
    if (Bad[Cause] != 0)
      Object[std::string(BurnCauseNames[Cause].Name_)] = Bad[Cause];
  return Object;
}

/// Serializes \p Document; invalid UTF-8 in names is replaced. With an
/// \p Indent of -1 the result is a single line.
inline std::string dumpJson(const nlohmann::ordered_json &Document,
                            int Indent) {
  return Document.dump(Indent, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace filbertspring::report_detail

#endif // FILBERTSPRING_REPORT_SRC_CAUSE_JSON_H
