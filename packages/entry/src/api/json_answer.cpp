#include "json_answer.h"

#include <fmt/format.h>

namespace filbertspring {

HttpAnswer jsonAnswer(int Status, const nlohmann::json &Body) {
  HttpAnswer Answer;
  Answer.Status_ = Status;
  // Bytes that are not valid UTF-8 are replaced; dump() would otherwise throw.
  Answer.Body_ =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Answer;
}

HttpAnswer errorAnswer(int Status, std::string_view Error) {
  return jsonAnswer(Status, {{"error", std::string(Error)}});
}

HttpAnswer findingsAnswer(const Findings &Problems) {
  nlohmann::json List = nlohmann::json::array();
  for (const Finding &Item : Problems.items())
    List.push_back({{"place", Item.Place_},
                    {"problem", Item.Problem_},
                    {"allowed", Item.Allowed_}});
  return jsonAnswer(422, {{"findings", std::move(List)}});
}

BodyReader::BodyReader(std::string_view Text)
    : Body_(nlohmann::json::parse(Text, nullptr, false, true)) {
  if (Body_.is_object())
    return;
  Findings_.add("", "body is not a JSON object", "an object");
  Body_ = nlohmann::json::object();
}

const nlohmann::json &BodyReader::field(const char *Name) const {
  static const nlohmann::json Null;
  auto Found = Body_.find(Name);
  return Found == Body_.end() ? Null : *Found;
}

std::string BodyReader::text(const char *Name, bool Optional) {
  const nlohmann::json &Value = field(Name);
  if (Value.is_string())
    return Value.get<std::string>();
  if (!Value.is_null() || !Optional)
    Findings_.add(fmt::format("/{}", Name), "missing or not a text", "a text");
  return {};
}

std::int64_t BodyReader::integer(const char *Name, std::int64_t Minimum,
                                 std::int64_t Maximum,
                                 std::optional<std::int64_t> Default) {
  const nlohmann::json &Value = field(Name);
  if (Value.is_null() && Default)
    return *Default;
  bool Valid = Value.is_number_integer() &&
               Value.get<std::int64_t>() >= Minimum &&
               Value.get<std::int64_t>() <= Maximum;
  if (Valid)
    return Value.get<std::int64_t>();
  Findings_.add(fmt::format("/{}", Name),
                "missing or not a whole number in range",
                fmt::format("{} to {}", Minimum, Maximum));
  return Minimum;
}

bool BodyReader::flag(const char *Name, bool Default) {
  const nlohmann::json &Value = field(Name);
  if (Value.is_boolean())
    return Value.get<bool>();
  if (!Value.is_null())
    Findings_.add(fmt::format("/{}", Name), "not a boolean", "true or false");
  return Default;
}

} // namespace filbertspring
