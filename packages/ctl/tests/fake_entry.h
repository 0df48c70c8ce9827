#ifndef FILBERTSPRING_CTL_TESTS_FAKE_ENTRY_H
#define FILBERTSPRING_CTL_TESTS_FAKE_ENTRY_H

/// \file
/// A small entry instance for tests of the command line.

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

/// Answers the operators' calls of docs/PROTOCOLS.md on a loopback port.
class FakeEntry {
public:
  FakeEntry();
  ~FakeEntry();
  FakeEntry(const FakeEntry &) = delete;
  FakeEntry &operator=(const FakeEntry &) = delete;

  /// Returns "127.0.0.1:PORT".
  std::string address() const;

  /// Returns the output of a command sent to this instance.
  CommandOutput run(std::vector<std::string> Arguments) const;

  /// Puts a change of another operator in force.
  void change(const std::string &Row, const std::string &By);

  /// A versioned row: a contract or a zone.
  struct Row {
    std::int64_t Version_ = 0;
    std::string ChangedBy_;
    nlohmann::json Value_;
  };

  // Faults and observations; set them before run().
  /// Answers everything with 503.
  bool NotReady_ = false;
  /// Obeys writes, but cuts the connection off within the answer.
  bool LoseAnswers_ = false;
  /// Called once before the next write is looked at.
  std::function<void()> BeforeWrite_;
  /// The bodies of the writes received.
  std::vector<nlohmann::json> Writes_;
  std::map<std::string, Row> Rows_;
  /// The answer to GET /v1/admin/burn.
  std::string Burn_;

private:
  using Handler =
      std::function<void(const httplib::Request &, httplib::Response &)>;
  void addReads();
  void addWrites();
  Handler guarded(const Handler &Handle);
  Handler write(const Handler &Handle);
  void store(const std::string &Name, const nlohmann::json &Body,
             const nlohmann::json &Value, httplib::Response &Answer);

  httplib::Server Server_;
  int Port_ = 0;
  std::thread Thread_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_CTL_TESTS_FAKE_ENTRY_H
