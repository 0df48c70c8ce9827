#ifndef FILBERTSPRING_ENTRY_PROCESS_NAME_H
#define FILBERTSPRING_ENTRY_PROCESS_NAME_H

/// \file
/// Unique names for the processes of an instance and for what they create.

#include "filbertspring/base/id.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace filbertspring {

/// Returns a name for a process of \p Instance that no other process has used.
/// It consists of the name of the instance and a random suffix.
InstanceName makeProcessName(const InstanceName &Instance);

/// Returns a random seed for the random choices of this process.
std::uint64_t randomSeed();

/// Generates names that are unique among all processes. Thread-safe.
class UniqueNameGenerator {
public:
  explicit UniqueNameGenerator(InstanceName Process)
      : Process_(std::move(Process)) {}

  /// Returns a new name that starts with \p Kind.
  std::string next(const char *Kind);

private:
  const InstanceName Process_;
  std::atomic<std::uint64_t> LastNumber_{0};
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_PROCESS_NAME_H
