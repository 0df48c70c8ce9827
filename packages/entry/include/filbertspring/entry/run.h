#ifndef FILBERTSPRING_ENTRY_RUN_H
#define FILBERTSPRING_ENTRY_RUN_H

/// \file
/// The command line of the program filbertspring.

namespace filbertspring {

/// Exit codes of the program.
inline constexpr int ExitOk = 0;
inline constexpr int ExitUsage = 1;
inline constexpr int ExitFindings = 2;
inline constexpr int ExitFailed = 3;

/// Runs the program with the arguments of main() and returns its exit code.
int runFilbertspring(int ArgumentCount, const char *const *Arguments);

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_RUN_H
