#include "message_bounds.h"

#include <cstddef>
#include <nlohmann/json.hpp>

namespace filbertspring::membership {

namespace {

using Json = nlohmann::json;

/// The nested arrays around the fields of a demand: message, groups, group,
/// entries, entry.
constexpr std::size_t MaxArrayDepth = 5;

/// Stops the parser as soon as the input exceeds a limit.
class BoundsChecker final : public nlohmann::json_sax<Json> {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }   // NOLINT
  bool number_unsigned(number_unsigned_t) override { return true; } // NOLINT
  bool number_float(number_float_t, const string_t &) override {    // NOLINT
    return false;
  }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return false; }
  bool start_object(std::size_t) override { return false; } // NOLINT
  bool key(string_t &) override { return false; }
  bool end_object() override { return false; } // NOLINT
  bool start_array(std::size_t) override {     // NOLINT
    return ++Depth_ <= MaxArrayDepth;
  }
  bool end_array() override { // NOLINT
    --Depth_;
    return true;
  }
  bool parse_error(std::size_t, const std::string &, // NOLINT
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  std::size_t Depth_ = 0;
};

} // namespace

bool withinMessageBounds(std::string_view Bytes) {
  BoundsChecker Checker;
  return Json::sax_parse(Bytes, &Checker, Json::input_format_t::msgpack, true);
}

} // namespace filbertspring::membership
