#include "json_fields.h"

namespace filbertspring {

Result<std::string> dumpJson(const Json &Value) {
  try {
    return Value.dump();
  } catch (const Json::exception &) {
    return fail(Errc::InvalidInput);
  }
}

Json parseJson(std::string_view Text) {
  return Json::parse(Text, nullptr, /*allow_exceptions=*/false);
}

} // namespace filbertspring
