#ifndef FILBERTSPRING_TESTS_PROCESS_H
#define FILBERTSPRING_TESTS_PROCESS_H

/// \file
/// Runs programs as child processes of tests.

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace filbertspring::tests {

/// A running program; the destructor kills it.
class Process {
public:
  /// Starts \p Program of the build with \p Arguments. Its standard error goes
  /// to \p LogFile, and its standard output to \p OutputFile unless that is
  /// empty.
  Process(const std::string &Program, std::vector<std::string> Arguments,
          const std::string &LogFile, const std::string &OutputFile = {});
  ~Process();
  Process(Process &&Other) noexcept;
  Process &operator=(Process &&Other) noexcept;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Sends the signal \p Number to the process.
  void signal(int Number) const;
  /// Kills the process and waits for it to exit.
  void kill();
  /// Waits at most \p Seconds for the process to exit and returns its exit
  /// code; std::nullopt when it still runs, -1 when a signal ended it.
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
