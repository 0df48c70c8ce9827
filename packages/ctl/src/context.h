#ifndef FILBERTSPRING_CTL_SRC_CONTEXT_H
#define FILBERTSPRING_CTL_SRC_CONTEXT_H

/// \file
/// What a command works with, and the outcomes that all commands share.

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

/// The options that every command takes.
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

  /// Returns who makes the changes: --by, or the user's login name.
  std::string operatorName() const;

  /// Returns the output of a success: \p Document with --json, else \p Text.
  CommandOutput done(const Json &Document, std::string Text) const;
  /// Returns the output of a failure. With --json, \p Details and the message
  /// are on the standard output.
  CommandOutput failed(ExitCode Code, std::string_view Message,
                       Json Details = Json::object()) const;
  /// Returns the output for findings in \p Document.
  CommandOutput rejected(std::string_view Document,
                         const Findings &Found) const;

  /// Sends \p Request and calls \p Use with the body of a successful answer.
  /// Other answers become the output: 400 and 422 findings, 404 not found,
  /// 409 conflict, 502 unknown, 503 and 504 unreachable.
  CommandOutput
  call(const Call &Request,
       const std::function<CommandOutput(const Json &)> &Use) const;

private:
  CommandOutput refused(const Call &Request, const Reply &Answer) const;
  CommandOutput lost(const Call &Request, std::string_view Reason) const;

  ParsedOptions Options_;
  EntryClient Client_;
};

/// Returns \p Document on one line; invalid UTF-8 is replaced.
std::string compactText(const Json &Document);

/// Returns a string as it is, null as "", and another value as JSON.
std::string valueText(const Json &Value);

/// Returns a member of \p Object as valueText(); an absent one is "".
std::string memberText(const Json &Object, std::string_view Key);

/// Returns the member \p Key when it is an array, else an empty array.
const Json &memberArray(const Json &Object, std::string_view Key);

/// Returns \p Text with every character that has a meaning in URLs escaped.
std::string pathSegment(std::string_view Text);

/// Reads a whole number from \p Min up; nothing when \p Text is none.
std::optional<std::int64_t> parseCount(std::string_view Text, std::int64_t Min);

} // namespace filbertspring::ctl_detail

#endif // FILBERTSPRING_CTL_SRC_CONTEXT_H
