#include "context.h"

#include <array>
#include <charconv>
#include <cstdlib>
#include <fmt/format.h>

namespace filbertspring::ctl_detail {
namespace {

constexpr std::array<OptionSpec, 6> CommonSpecs{{
    {"entry", "IP:PORT",
     "entry instance; several with commas or by repeating the option "
     "(default: $FILBERTSPRING_ENTRY)"},
    {"timeout", "TIME", "longest wait for an answer (default: 5s)"},
    {"json", "", "print JSON"},
    {"by", "NAME", "who makes the change (default: $USER)"},
    {"expected-version", "N",
     "change only this version, 0 when it must not exist (default: the "
     "version that is read first)"},
    {"help", "", "print this help"},
}};

std::string prettyText(const Json &Document) {
  return Document.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json findingsToJson(const Findings &Report) {
  Json Array = Json::array();
  for (const Finding &Item : Report.items())
    Array.push_back({{"place", Item.Place_},
                     {"problem", Item.Problem_},
                     {"allowed", Item.Allowed_}});
  return Array;
}

Findings findingsFromJson(const Json &Body) {
  Findings Report;
  for (const Json &Item : memberArray(Body, "findings"))
    Report.add(memberText(Item, "place"), memberText(Item, "problem"),
               memberText(Item, "allowed"));
  return Report;
}

} // namespace

const std::span<const OptionSpec> CommonOptions(CommonSpecs);

std::string Context::operatorName() const {
  if (Options_.has("by"))
    return Options_.text("by");
  const char *User = std::getenv("USER");
  return User && *User ? User : "unknown";
}

CommandOutput Context::successOutput(const Json &Document,
                                     std::string Text) const {
  return {ExitCode::Done,
          Options_.has("json") ? prettyText(Document) : std::move(Text),
          {}};
}

CommandOutput Context::failureOutput(ExitCode Code, std::string_view Message,
                                     Json Details) const {
  CommandOutput Output{Code, {}, fmt::format("filbertctl: {}\n", Message)};
  if (!Options_.has("json"))
    return Output;
  if (!Details.is_object())
    Details = Json::object();
  Details["exit"] = std::string(nameOf(ExitCodeNames, Code));
  Details["message"] = Message;
  Output.Out_ = prettyText(Details);
  return Output;
}

CommandOutput Context::findingsOutput(std::string_view Document,
                                      const Findings &Report,
                                      Json Details) const {
  Details["findings"] = findingsToJson(Report);
  CommandOutput Output = failureOutput(
      ExitCode::Findings,
      fmt::format("{} findings; nothing was changed", Report.items().size()),
      std::move(Details));
  Output.Error_ = Report.toText(Document) + Output.Error_;
  return Output;
}

CommandOutput Context::unusableAnswerOutput(const EntryRequest &Request,
                                            std::string_view Reason) const {
  if (Request.Kind_ == RequestKind::Read)
    return failureOutput(ExitCode::Unreachable, Reason);
  return failureOutput(
      ExitCode::OutcomeUnknown,
      fmt::format("{}; the change may have taken effect: read the "
                  "state before you repeat it",
                  Reason));
}

CommandOutput Context::errorAnswerOutput(const EntryRequest &Request,
                                         const EntryResponse &Answer) const {
  Json Body = Json::parse(Answer.Body_, nullptr, false);
  std::string Error = memberText(Body, "error");
  std::string Entry = Answer.Entry_.toString();
  switch (Answer.Status_) {
  case 400:
  case 422:
    if (Findings Report = findingsFromJson(Body); !Report.empty())
      return findingsOutput(Entry, Report);
    return failureOutput(ExitCode::Findings,
                         fmt::format("{} refused: {}", Entry, Error), Body);
  case 404:
    return failureOutput(ExitCode::NotFound, "not found", Body);
  case 409:
    if (Body.contains("version"))
      return failureOutput(
          ExitCode::Conflict,
          fmt::format("version {} by \"{}\" came first; nothing was "
                      "changed",
                      memberText(Body, "version"),
                      memberText(Body, "changed_by")),
          Body);
    return failureOutput(
        ExitCode::Conflict,
        fmt::format("conflict: {}; nothing was changed", Error), Body);
  case 429:
  case 503:
  case 504:
    return failureOutput(ExitCode::Unreachable,
                         fmt::format("{} is not ready{}{}; nothing was changed",
                                     Entry, Error.empty() ? "" : ": ", Error),
                         Body);
  default:
    return unusableAnswerOutput(
        Request, fmt::format("{} answered with status {}{}{}", Entry,
                             Answer.Status_, Error.empty() ? "" : ": ", Error));
  }
}

CommandOutput
Context::call(const EntryRequest &Request,
              const std::function<CommandOutput(const Json &)> &Handler) const {
  Result<EntryResponse> Answer = Client_.send(Request);
  if (!Answer && Answer.error() == Errc::OutcomeUnknown)
    return unusableAnswerOutput(Request, "no answer");
  if (!Answer)
    return failureOutput(
        ExitCode::Unreachable,
        "no entry instance could be reached; nothing was changed");
  if (Answer->Status_ < 200 || Answer->Status_ > 299)
    return errorAnswerOutput(Request, *Answer);
  Json Body = Json::parse(Answer->Body_, nullptr, false);
  if (!Body.is_object())
    return unusableAnswerOutput(Request,
                                fmt::format("{} answered without a JSON object",
                                            Answer->Entry_.toString()));
  return Handler(Body);
}

std::string compactText(const Json &Document) {
  return Document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string valueText(const Json &Value) {
  if (Value.is_null())
    return "";
  if (const auto *Text = Value.get_ptr<const std::string *>())
    return *Text;
  return compactText(Value);
}

std::string memberText(const Json &Object, std::string_view Key) {
  if (!Object.is_object())
    return "";
  auto Member = Object.find(std::string(Key));
  return Member == Object.end() ? "" : valueText(*Member);
}

const Json &memberArray(const Json &Object, std::string_view Key) {
  static const Json Empty = Json::array();
  if (!Object.is_object())
    return Empty;
  auto Member = Object.find(std::string(Key));
  return Member != Object.end() && Member->is_array() ? *Member : Empty;
}

std::string pathSegment(std::string_view Text) {
  std::string Segment;
  for (char Character : Text) {
    bool Plain = std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
                 Character == '-' || Character == '_' || Character == '.';
    if (Plain)
      Segment += Character;
    else
      Segment += fmt::format("%{:02X}", static_cast<unsigned char>(Character));
  }
  return Segment;
}

std::optional<std::int64_t> parseCount(std::string_view Text,
                                       std::int64_t Min) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Rest != End || Value < Min)
    return std::nullopt;
  return Value;
}

} // namespace filbertspring::ctl_detail
