#ifndef FILBERTSPRING_CTL_SRC_COMMAND_H
#define FILBERTSPRING_CTL_SRC_COMMAND_H

/// \file
/// The table of commands.

#include "context.h"

#include <span>
#include <string_view>

namespace filbertspring::ctl_detail {

/// One command.
struct Command {
  /// One or two words, such as "contract apply".
  std::string_view Name_;
  /// The arguments as the help shows them.
  std::string_view Arguments_;
  std::size_t MinArguments_ = 0;
  std::size_t MaxArguments_ = 0;
  std::string_view Summary_;
  /// Shell lines.
  std::string_view Examples_;
  /// The options besides CommonOptions.
  std::span<const OptionSpec> Options_;
  CommandOutput (*Run_)(const Context &);
};

/// The commands of each group, as long as the program lives.
std::span<const Command> contractCommands();
std::span<const Command> zoneCommands();
std::span<const Command> jobCommands();
std::span<const Command> reportCommands();
std::span<const Command> statusCommands();

} // namespace filbertspring::ctl_detail

#endif // FILBERTSPRING_CTL_SRC_COMMAND_H
