#ifndef FILBERTSPRING_CTL_SRC_COMMAND_H
#define FILBERTSPRING_CTL_SRC_COMMAND_H

/// \file
/// Descriptions of the commands, one table for each group.

#include "context.h"

#include <span>
#include <string_view>

namespace filbertspring::ctl_detail {

/// The description of one command.
struct Command {
  /// One or two words, such as "contract apply".
  std::string_view Name_;
  /// The arguments as printed in the help text.
  std::string_view Arguments_;
  std::size_t MinArguments_ = 0;
  std::size_t MaxArguments_ = 0;
  std::string_view Summary_;
  /// Example shell commands, separated by newlines.
  std::string_view Examples_;
  /// The options that the command takes in addition to CommonOptions.
  std::span<const OptionSpec> Options_;
  CommandOutput (*Run_)(const Context &);
  /// The command calls entry instances, so one must be named.
  bool NeedsEntry_ = true;
};

/// Return the commands of each group. The spans refer to static storage.
std::span<const Command> contractCommands();
std::span<const Command> zoneCommands();
std::span<const Command> jobCommands();
std::span<const Command> reportCommands();
std::span<const Command> statusCommands();
std::span<const Command> configurationCommands();

} // namespace filbertspring::ctl_detail

#endif // FILBERTSPRING_CTL_SRC_COMMAND_H
