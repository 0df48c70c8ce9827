#ifndef FILBERTSPRING_CTL_SRC_OPTIONS_H
#define FILBERTSPRING_CTL_SRC_OPTIONS_H

/// \file
/// Parsing of command options. The command-line library (cxxopts) is included
/// only by the implementation.

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace filbertspring::ctl_detail {

/// The description of one option of a command.
struct OptionSpec {
  std::string_view Name_;
  /// The placeholder for the value in the help text, such as "FILE"; empty for
  /// an option without a value.
  std::string_view Placeholder_;
  std::string_view Help_;
};

/// The options and positional arguments given on the command line.
class ParsedOptions {
public:
  ParsedOptions();
  ~ParsedOptions();
  ParsedOptions(ParsedOptions &&) noexcept;
  ParsedOptions &operator=(ParsedOptions &&) noexcept;

  bool has(std::string_view Name) const;
  /// Returns the last value given for an option; empty when it was not given.
  std::string text(std::string_view Name) const;
  /// Returns all values given for an option that may be repeated.
  std::vector<std::string> texts(std::string_view Name) const;
  /// Returns the positional arguments.
  const std::vector<std::string> &arguments() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
  friend tl::expected<ParsedOptions, std::string>
  parseOptions(std::span<const OptionSpec>, const std::vector<std::string> &);
};

/// Parses \p Arguments. Returns an error message for an unknown option or a
/// missing value.
tl::expected<ParsedOptions, std::string>
parseOptions(std::span<const OptionSpec> Specs,
             const std::vector<std::string> &Arguments);

/// Returns the help text of the options, one line for each.
std::string describeOptions(std::span<const OptionSpec> Specs);

} // namespace filbertspring::ctl_detail

#endif // FILBERTSPRING_CTL_SRC_OPTIONS_H
