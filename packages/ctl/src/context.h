#ifndef FILBERTSPRING_CTL_SRC_CONTEXT_H
#define FILBERTSPRING_CTL_SRC_CONTEXT_H

/// \file
/// The context in which a command runs, and output helpers shared by all
/// commands.

#include "filbertspring/base/finding.h"
#include "filbertspring/ctl/command_line.h"

#include "entry_client.h"
#include "options.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace filbertspring::ctl_detail {

using Json = nlohmann::ordered_json;

/// The options that all commands accept.
extern const std::span<const OptionSpec> CommonOptions;

/// The options and the client of one command.
class Context {
public:
  Context(ParsedOptions Options, EntryClient Client)
      : Options_(std::move(Options)), Client_(std::move(Client)) {}

  const ParsedOptions &options() const { return Options_; }
  const EntryClient &client() const { return Client_; }
  const std::string &argument(std::size_t Index) const {
    return Options_.arguments()[Index];
  }

  /// Returns the name recorded as the author of a change: the value of --by, or
  /// $USER when --by is absent, or "unknown".
  std::string operatorName() const;

  /// Returns the output of a successful command: \p Document with --json,
  /// otherwise \p Text.
  CommandOutput successOutput(const Json &Document, std::string Text) const;
  /// Returns the output of a failed command. With --json, \p Details and the
  /// message are also printed on the standard output.
  CommandOutput failureOutput(ExitCode Code, std::string_view Message,
                              Json Details = Json::object()) const;
  /// Returns the output that lists the findings in \p Document. With --json,
  /// they are added to \p Details.
  CommandOutput findingsOutput(std::string_view Document,
                               const Findings &Report,
                               Json Details = Json::object()) const;

  /// Sends \p Request and calls \p Handler with the body of a successful
  /// answer. Other statuses are converted to a failure: 400 and 422 to
  /// Findings, 404 to NotFound, 409 to Conflict, 429, 503 and 504 to
  /// Unreachable. Any other status, such as 502, is OutcomeUnknown for a write
  /// and Unreachable for a read.
  CommandOutput
  call(const EntryRequest &Request,
       const std::function<CommandOutput(const Json &)> &Handler) const;

private:
  /// Returns the output for an answer whose status is not a success.
  CommandOutput errorAnswerOutput(const EntryRequest &Request,
                                  const EntryResponse &Answer) const;
  /// Returns the output for an answer that is missing or cannot be interpreted:
  /// Unreachable for a read, OutcomeUnknown for a write.
  CommandOutput unusableAnswerOutput(const EntryRequest &Request,
                                     std::string_view Reason) const;

  ParsedOptions Options_;
  EntryClient Client_;
};

/// Serializes \p Document on one line; invalid UTF-8 is replaced.
std::string compactText(const Json &Document);

/// Converts \p Value to text: a string unquoted, null as "", any other value
/// as JSON.
std::string valueText(const Json &Value);

/// Returns the member \p Key of \p Object, converted by valueText(); "" when
/// it is absent.
std::string memberText(const Json &Object, std::string_view Key);

/// Returns the member \p Key of \p Object when it is an array, otherwise an
/// empty array.
const Json &memberArray(const Json &Object, std::string_view Key);

/// Percent-encodes \p Text for use as one segment of a URL path.
std::string pathSegment(std::string_view Text);

/// Parses \p Text as an integer. Returns std::nullopt when it is not one or is
/// less than \p Min.
std::optional<std::int64_t> parseCount(std::string_view Text, std::int64_t Min);

} // namespace filbertspring::ctl_detail

#endif // FILBERTSPRING_CTL_SRC_CONTEXT_H
