#ifndef FILBERTSPRING_TESTS_PROCESS_H
#define FILBERTSPRING_TESTS_PROCESS_H

/// \file
/// Child processes of tests.

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace filbertspring::tests {

/// A running program; it is killed when the object goes.
class Process {
public:
  /// Starts \p Program of the build with \p Arguments. Its standard error goes
  /// to \p LogFile.
  Process(const std::string &Program, std::vector<std::string> Arguments,
          const std::string &LogFile);
  ~Process();
  Process(Process &&Other) noexcept;
  Process &operator=(Process &&) = delete;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Sends \p Number to the process.
  void signal(int Number) const;
  /// Kills it and waits for its end.
  void kill();
  /// Waits for its end, at most \p Seconds, and returns its exit code; nothing
  /// when it still runs, -1 when a signal ended it.
  std::optional<int> wait(int Seconds);
  pid_t pid() const { return Pid_; }

private:
  pid_t Pid_ = -1;
};

/// Returns a port on loopback that is free now. Different calls return
/// different ports.
std::uint16_t freePort();

} // namespace filbertspring::tests

#endif // FILBERTSPRING_TESTS_PROCESS_H
