#ifndef FILBERTSPRING_PLATFORM_TESTS_RUNNING_SERVER_H
#define FILBERTSPRING_PLATFORM_TESTS_RUNNING_SERVER_H

/// \file
/// A stand-in that serves on a thread of the test.

#include "filbertspring/domain/endpoint.h"

#include <boost/test/unit_test.hpp>
#include <httplib.h>
#include <string>
#include <thread>
#include <utility>

namespace filbertspring {

/// Runs a stand-in on a free port until it goes out of scope.
template <typename Server> class RunningServer {
public:
  template <typename... Arguments>
  explicit RunningServer(Arguments &&...Values)
      : Server_(std::forward<Arguments>(Values)...),
        Address_{"127.0.0.1", Server_.listen(0).value()},
        Thread_([this] { Server_.run(); }) {}
  ~RunningServer() {
    Server_.stop();
    Thread_.join();
  }
  RunningServer(const RunningServer &) = delete;
  RunningServer &operator=(const RunningServer &) = delete;

  Server &operator*() { return Server_; }
  const Address &address() const { return Address_; }

  /// Sends a request of the test's own and returns the body of the answer.
  std::string post(const std::string &Path, const std::string &Body) {
    httplib::Client Client(Address_.Host_, Address_.Port_);
    auto Answer = Client.Post(Path, Body, "application/json");
    BOOST_REQUIRE_MESSAGE(Answer && Answer->status == 200, Path);
    return Answer->body;
  }
  std::string get(const std::string &Path) {
    httplib::Client Client(Address_.Host_, Address_.Port_);
    auto Answer = Client.Get(Path);
    BOOST_REQUIRE_MESSAGE(Answer && Answer->status == 200, Path);
    return Answer->body;
  }

private:
  Server Server_;
  Address Address_;
  std::thread Thread_;
};

/// Returns the address of a port on which nothing listens.
Address unusedAddress();

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_TESTS_RUNNING_SERVER_H
