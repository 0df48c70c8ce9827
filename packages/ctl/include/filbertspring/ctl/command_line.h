#ifndef FILBERTSPRING_CTL_COMMAND_LINE_H
#define FILBERTSPRING_CTL_COMMAND_LINE_H

/// \file
/// The operators' command line. docs/FILBERTCTL.md describes the commands.

#include "filbertspring/base/enum_table.h"

#include <string>
#include <vector>

namespace filbertspring {

/// How a command ended; the number is the process's exit code.
enum class ExitCode {
  Done = 0,
  /// The command line is wrong; nothing was sent.
  Usage = 1,
  /// A document or a field has findings; nothing was changed.
  Findings = 2,
  /// Another change came first; nothing was changed.
  Conflict = 3,
  /// No entry instance could be reached or was ready; nothing was changed.
  Unreachable = 4,
  /// What the command names does not exist.
  NotFound = 5,
  /// A change was sent and its answer was lost: it may have taken effect.
  OutcomeUnknown = 6
};

inline constexpr EnumTable<ExitCode, 7> ExitCodeNames{
    {{ExitCode::Done, "done"},
     {ExitCode::Usage, "usage"},
     {ExitCode::Findings, "findings"},
     {ExitCode::Conflict, "conflict"},
     {ExitCode::Unreachable, "unreachable"},
     {ExitCode::NotFound, "not-found"},
     {ExitCode::OutcomeUnknown, "outcome-unknown"}}};

/// What a command prints and how it ended.
struct CommandOutput {
  ExitCode Code_ = ExitCode::Done;
  /// For the standard output.
  std::string Out_;
  /// For the standard error stream.
  std::string Error_;
};

/// Runs one command. \p Arguments are those of the process, without its name.
/// Blocks until the entry instances have answered or timed out; returns every
/// error as an exit code with a message.
CommandOutput runCommandLine(const std::vector<std::string> &Arguments);

} // namespace filbertspring

#endif // FILBERTSPRING_CTL_COMMAND_LINE_H
