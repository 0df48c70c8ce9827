#ifndef FILBERTSPRING_CTL_COMMAND_LINE_H
#define FILBERTSPRING_CTL_COMMAND_LINE_H

/// \file
/// Entry point of filbertctl, the command-line tool for operators.
/// docs/FILBERTCTL.md describes the commands.

#include "filbertspring/base/enum_table.h"

#include <string>
#include <vector>

namespace filbertspring {

/// The result of a command; the value is the exit code of the process.
enum class ExitCode {
  Done = 0,
  /// The command line is invalid; nothing was sent.
  Usage = 1,
  /// Validation of a document or a field reported findings; nothing was
  /// changed.
  Findings = 2,
  /// The change conflicts with another change that was made first; nothing was
  /// changed.
  Conflict = 3,
  /// Of check-configuration, which changes nothing: a file cannot be read.
  Unreadable = 3,
  /// No entry instance could be reached or was ready; nothing was changed.
  Unreachable = 4,
  /// The object named on the command line does not exist.
  NotFound = 5,
  /// A change was sent but no valid answer was received: it may have taken
  /// effect.
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

/// The output and the exit code of a command.
struct CommandOutput {
  ExitCode Code_ = ExitCode::Done;
  /// Text for the standard output.
  std::string Out_;
  /// Text for the standard error stream.
  std::string Error_;
};

/// Runs one command. \p Arguments are the arguments of the process without the
/// program name. Blocks until the entry instances have answered or timed out.
/// Every error is returned as an exit code with a message.
CommandOutput runCommandLine(const std::vector<std::string> &Arguments);

} // namespace filbertspring

#endif // FILBERTSPRING_CTL_COMMAND_LINE_H
