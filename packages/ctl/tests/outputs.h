#ifndef FILBERTSPRING_CTL_TESTS_OUTPUTS_H
#define FILBERTSPRING_CTL_TESTS_OUTPUTS_H

/// \file
/// Helpers for checking the outputs of commands.

#include "filbertspring/ctl/command_line.h"

#include <ostream>
#include <string>
#include <string_view>

namespace filbertspring {

/// An address on which no server listens.
inline constexpr const char *UnreachableAddress = "127.0.0.1:1";

inline const std::string ExampleContract =
    std::string(FILBERTSPRING_EXAMPLES_DIR) + "/denizkul/contract.json";

/// Prints an exit code in messages of Boost.Test.
inline std::ostream &operator<<(std::ostream &Stream, ExitCode Code) {
  return Stream << nameOf(ExitCodeNames, Code);
}

inline bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace filbertspring

#endif // FILBERTSPRING_CTL_TESTS_OUTPUTS_H
