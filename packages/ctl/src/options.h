#ifndef FILBERTSPRING_CTL_SRC_OPTIONS_H
#define FILBERTSPRING_CTL_SRC_OPTIONS_H

/// \file
/// Options of a command, hiding the command-line library.

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace filbertspring::ctl_detail {

/// One option of a command.
struct OptionSpec {
  std::string_view Name_;
  /// What the value is, such as "FILE"; empty for a switch.
  std::string_view Value_;
  std::string_view Help_;
};

/// The options and arguments that were given.
class ParsedOptions {
public:
  ParsedOptions();
  ~ParsedOptions();
  ParsedOptions(ParsedOptions &&) noexcept;
  ParsedOptions &operator=(ParsedOptions &&) noexcept;

  bool has(std::string_view Name) const;
  /// Returns the value of an option; empty when it was not given.
  std::string text(std::string_view Name) const;
  /// Returns the values of an option that was given any number of times.
  std::vector<std::string> texts(std::string_view Name) const;
  /// Returns what stands on the command line besides the options.
  const std::vector<std::string> &arguments() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
  friend tl::expected<ParsedOptions, std::string>
  parseOptions(std::span<const OptionSpec>, const std::vector<std::string> &);
};

/// Reads \p Arguments. Returns a message for an unknown option or a missing
/// value.
tl::expected<ParsedOptions, std::string>
parseOptions(std::span<const OptionSpec> Specs,
             const std::vector<std::string> &Arguments);

/// Returns one line of help for each option.
std::string describeOptions(std::span<const OptionSpec> Specs);

} // namespace filbertspring::ctl_detail

#endif // FILBERTSPRING_CTL_SRC_OPTIONS_H
