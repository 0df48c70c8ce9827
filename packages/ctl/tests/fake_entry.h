#ifndef FILBERTSPRING_CTL_TESTS_FAKE_ENTRY_H
#define FILBERTSPRING_CTL_TESTS_FAKE_ENTRY_H

/// \file
/// A fake entry instance for tests of the command line.

#include "filbertspring/ctl/command_line.h"

#include <functional>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace filbertspring {

/// Serves the operators' HTTP API (see docs/PROTOCOLS.md) with fixed or stored
/// answers on a loopback port.
class FakeEntry {
public:
  FakeEntry();
  ~FakeEntry();
  FakeEntry(const FakeEntry &) = delete;
  FakeEntry &operator=(const FakeEntry &) = delete;

  /// Returns "127.0.0.1:PORT".
  std::string address() const;

  /// Runs a command with this instance as its entry and returns the output.
  CommandOutput run(std::vector<std::string> Arguments) const;

  /// Simulates a change by another operator: increments the version of \p Row.
  void change(const std::string &Row, const std::string &By);

  /// A versioned row: a contract or a zone.
  struct Row {
    std::int64_t Version_ = 0;
    std::string ChangedBy_;
    nlohmann::json Value_;
  };

  // Injected faults and recorded requests. Faults are set before run().
  /// Answers every request with status 503.
  bool NotReady_ = false;
  /// Executes writes, but closes the connection in the middle of the answer.
  bool LoseAnswers_ = false;
  /// Called once, before the next write is processed.
  std::function<void()> BeforeWrite_;
  /// The bodies of all received writes.
  std::vector<nlohmann::json> Writes_;
  std::map<std::string, Row> Rows_;
  /// The answer to GET /v1/admin/burn.
  std::string Burn_;

private:
  using Handler =
      std::function<void(const httplib::Request &, httplib::Response &)>;
  void addReadRoutes();
  void addWriteRoutes();
  Handler withReadinessCheck(const Handler &Handle);
  Handler withWriteRecording(const Handler &Handle);
  void storeRow(const std::string &Name, const nlohmann::json &Body,
                const nlohmann::json &Value, httplib::Response &Answer);

  httplib::Server Server_;
  int Port_ = 0;
  std::thread Thread_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_CTL_TESTS_FAKE_ENTRY_H
