#ifndef FILBERTSPRING_PLATFORM_TESTS_SCRIPTED_SERVER_H
#define FILBERTSPRING_PLATFORM_TESTS_SCRIPTED_SERVER_H

/// \file
/// A server that writes given bytes on each connection, valid HTTP or not.

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

/// What a scripted server writes after the first read from each connection.
struct Script {
  std::string Answer_;
  /// Whether to send the last byte of the answer repeatedly, one at a time,
  /// until the client closes the connection.
  bool RepeatsLastByte_ = false;
  /// Whether to close the connection after the answer; otherwise the server
  /// waits until the client closes it.
  bool ClosesAfterAnswer_ = false;
};

/// Serves one connection at a time on its own thread.
class ScriptedServer {
public:
  explicit ScriptedServer(Script Script)
      : Script_(std::move(Script)), Thread_([this] { serve(); }) {}
  ~ScriptedServer() {
    Stopping_ = true;
    asio::io_context Context;
    asio::ip::tcp::socket WakeUpSocket(Context);
    std::error_code Ignored;
    WakeUpSocket.connect(Acceptor_.local_endpoint(), Ignored);
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
    while (Script_.RepeatsLastByte_ && !Error) {
      asio::write(Socket, asio::buffer(&Script_.Answer_.back(), 1), Error);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    while (!Script_.ClosesAfterAnswer_ && !Error)
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
