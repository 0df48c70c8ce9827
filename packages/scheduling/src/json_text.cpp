#include "filbertspring/scheduling/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace filbertspring::scheduling {

void appendJsonString(std::string &Into, std::string_view Value) {
  using nlohmann::json;
  bool IsPlain = std::all_of(Value.begin(), Value.end(), [](char Letter) {
    return Letter >= ' ' && Letter <= '~' && Letter != '"' && Letter != '\\';
  });
  if (IsPlain)
    Into.append(1, '"').append(Value).append(1, '"');
  else
    Into += json(Value).dump(-1, ' ', true, json::error_handler_t::replace);
}

} // namespace filbertspring::scheduling
