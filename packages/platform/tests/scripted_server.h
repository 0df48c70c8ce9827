#ifndef FILBERTSPRING_PLATFORM_TESTS_SCRIPTED_SERVER_H
#define FILBERTSPRING_PLATFORM_TESTS_SCRIPTED_SERVER_H

/// \file
/// A server that writes given bytes on each connection, right or wrong.

#include "filbertspring/domain/endpoint.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>

namespace filbertspring {

/// What a scripted server writes after the first bytes of each connection.
struct Script {
  std::string Answer_;
  /// Whether to repeat the last byte of the answer, one at a time, until the
  /// other side closes.
  bool Dribble_ = false;
  /// Whether to close after the answer; otherwise it waits for the other side.
  bool Close_ = false;
};

/// Serves one connection after the other on a thread of its own.
class ScriptedServer {
public:
  explicit ScriptedServer(Script Script)
      : Script_(std::move(Script)), Thread_([this] { serve(); }) {}
  ~ScriptedServer() {
    Stopping_ = true;
    asio::io_context Context;
    asio::ip::tcp::socket Wake(Context);
    std::error_code Ignored;
    Wake.connect(Acceptor_.local_endpoint(), Ignored);
    Thread_.join();
  }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  Address address() const {
    return {"127.0.0.1", Acceptor_.local_endpoint().port()};
  }
  int connections() const { return Connections_; }

private:
  void serve() {
    for (;;) {
      asio::ip::tcp::socket Socket = Acceptor_.accept();
      if (Stopping_)
        return;
      ++Connections_;
      answer(Socket);
    }
  }

  void answer(asio::ip::tcp::socket &Socket) {
    std::array<char, 4096> Ignored{};
    std::error_code Error;
    Socket.read_some(asio::buffer(Ignored), Error);
    asio::write(Socket, asio::buffer(Script_.Answer_), Error);
    while (Script_.Dribble_ && !Error) {
      asio::write(Socket, asio::buffer(&Script_.Answer_.back(), 1), Error);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    while (!Script_.Close_ && !Error)
      Socket.read_some(asio::buffer(Ignored), Error);
  }

  Script Script_;
  std::atomic<bool> Stopping_{false};
  std::atomic<int> Connections_{0};
  asio::io_context Context_;
  asio::ip::tcp::acceptor Acceptor_{Context_,
                                    {asio::ip::address_v4::loopback(), 0}};
  std::thread Thread_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_TESTS_SCRIPTED_SERVER_H
