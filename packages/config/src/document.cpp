#include "document.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>
#include <vector>

namespace filbertspring::config_detail {
namespace {

using Json = nlohmann::json;

/// Returns "line L, column C" of the \p Offset-th byte, counted from 1.
std::string placeOf(std::string_view Text, std::size_t Offset) {
  std::string_view Before =
      Text.substr(0, std::min(Offset == 0 ? 0 : Offset - 1, Text.size()));
  auto Line = std::count(Before.begin(), Before.end(), '\n') + 1;
  std::size_t LineStart = Before.rfind('\n');
  std::size_t Column = LineStart == std::string_view::npos
                           ? Before.size() + 1
                           : Before.size() - LineStart;
  return fmt::format("line {}, column {}", Line, Column);
}

/// Returns the part of a parser's message that explains the error.
std::string_view explanationOf(std::string_view Message) {
  constexpr std::string_view PlaceEnd = "column ";
  if (std::size_t At = Message.find(PlaceEnd); At != std::string_view::npos)
    if (std::size_t Colon = Message.find(": ", At);
        Colon != std::string_view::npos)
      return Message.substr(Colon + 2);
  if (std::size_t At = Message.find("] "); At != std::string_view::npos)
    return Message.substr(At + 2);
  return Message;
}

/// Returns true when \p Inner is \p Outer or a place within it.
bool contains(std::string_view Outer, std::string_view Inner) {
  return Inner.starts_with(Outer) &&
         (Inner.size() == Outer.size() || Inner[Outer.size()] == '/');
}

/// Checks the syntax from the events of the SAX parser, without building a
/// tree.
class SyntaxChecker {
public:
  SyntaxChecker(std::string_view Text, Findings &Report)
      : Text_(Text), Report_(Report) {}

  // Names and parameters of the functions below are those of json_sax.
  bool null() { return addValue(); }
  bool boolean(bool) { return addValue(); }
  bool number_integer(Json::number_integer_t) { // NOLINT
    return addValue();
  }
  bool number_unsigned(Json::number_unsigned_t) { // NOLINT
    return addValue();
  }
  bool number_float(Json::number_float_t, const std::string &) { // NOLINT
    return addValue();
  }
  bool string(std::string &) { return addValue(); }
  bool binary(Json::binary_t &) { return addValue(); }
  bool start_object(std::size_t) { return open(false); } // NOLINT
  bool start_array(std::size_t) { return open(true); }   // NOLINT
  bool end_object() { return close(); }                  // NOLINT
  bool end_array() { return close(); }                   // NOLINT

  bool key(std::string &Key) {
    Frame &Current = Frames_.back();
    Current.Key_ = Key;
    if (!Current.Keys_.insert(Key).second)
      Report_.add(pointerTo(Current.Place_, Key), "key stands twice",
                  "each key once");
    return true;
  }

  bool parse_error(std::size_t Position, const std::string &, // NOLINT
                   const nlohmann::detail::exception &Error) {
    Report_.add(placeOf(Text_, Position), explanationOf(Error.what()),
                "JSON with comments");
    return false;
  }

private:
  /// An object or array that is not complete.
  struct Frame {
    std::string Place_;
    bool Array_ = false;
    std::size_t Index_ = 0;
    std::string Key_;
    std::set<std::string> Keys_;
  };

  bool addValue() {
    if (!Frames_.empty())
      ++Frames_.back().Index_;
    return true;
  }

  std::string nextPlace() const {
    if (Frames_.empty())
      return "";
    const Frame &Current = Frames_.back();
    return pointerTo(Current.Place_, Current.Array_
                                         ? std::to_string(Current.Index_)
                                         : Current.Key_);
  }

  bool open(bool Array) {
    std::string Place = nextPlace();
    if (Frames_.size() == MaxDocumentDepth) {
      Report_.add(Place, "document is nested too deeply",
                  fmt::format("at most {} levels", MaxDocumentDepth));
      return false;
    }
    addValue();
    Frames_.push_back({std::move(Place), Array, 0, {}, {}});
    return true;
  }

  bool close() {
    Frames_.pop_back();
    return true;
  }

  std::string_view Text_;
  Findings &Report_;
  std::vector<Frame> Frames_;
};

} // namespace

std::string pointerTo(std::string_view Place, std::string_view Key) {
  std::string Pointer(Place);
  Pointer += '/';
  for (char Character : Key) {
    if (Character == '~')
      Pointer += "~0";
    else if (Character == '/')
      Pointer += "~1";
    else
      Pointer += Character;
  }
  return Pointer;
}

bool hasFindingAt(const Findings &Report, std::string_view Place) {
  return std::ranges::any_of(Report.items(), [&](const Finding &Item) {
    return contains(Item.Place_, Place) || contains(Place, Item.Place_);
  });
}

std::optional<Json> parseDocument(std::string_view Text, Findings &Report) {
  SyntaxChecker Checker(Text, Report);
  if (!Json::sax_parse(Text, &Checker, Json::input_format_t::json,
                       /*strict=*/true, /*ignore_comments=*/true))
    return std::nullopt;
  Json Tree = Json::parse(Text, nullptr, /*allow_exceptions=*/false,
                          /*ignore_comments=*/true);
  if (Tree.is_discarded())
    return std::nullopt;
  return Tree;
}

} // namespace filbertspring::config_detail
