#ifndef FILBERTSPRING_ENTRY_PROCESS_NAME_H
#define FILBERTSPRING_ENTRY_PROCESS_NAME_H

/// \file
/// The name of one process of an instance, and names made from it.

#include "filbertspring/base/id.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace filbertspring {

/// Makes a name for a process of \p Instance that no other process has had.
InstanceName processName(const InstanceName &Instance);

/// Returns a random seed for the decisions of this process.
std::uint64_t freshSeed();

/// Makes names that are unique among all processes. Thread-safe.
class NameMaker {
public:
  explicit NameMaker(InstanceName Process) : Process_(std::move(Process)) {}

  /// Returns a name that starts with \p Kind.
  std::string next(const char *Kind);

private:
  const InstanceName Process_;
  std::atomic<std::uint64_t> Last_{0};
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_PROCESS_NAME_H
