#ifndef FILBERTSPRING_STANDINS_RUNNING_SERVER_H
#define FILBERTSPRING_STANDINS_RUNNING_SERVER_H

/// \file
/// Runs a stand-in on a background thread of a Boost.Test case.

#include "filbertspring/domain/endpoint.h"

#include <boost/test/unit_test.hpp>
#include <httplib.h>
#include <string>
#include <thread>
#include <utility>

namespace filbertspring {

/// Runs a stand-in on a free port; the destructor stops it.
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

  /// Sends a POST request and returns the body of the answer; the test fails
  /// unless the status is 200.
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

} // namespace filbertspring

#endif // FILBERTSPRING_STANDINS_RUNNING_SERVER_H
