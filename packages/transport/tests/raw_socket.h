#ifndef FILBERTSPRING_TRANSPORT_TESTS_RAW_SOCKET_H
#define FILBERTSPRING_TRANSPORT_TESTS_RAW_SOCKET_H

/// \file
/// Plain sockets for tests that exchange bytes which an HTTP library would not
/// send.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace filbertspring::tests {

/// A connection to a port on loopback.
class RawClient {
public:
  explicit RawClient(std::uint16_t Port);
  ~RawClient();
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;

  void send(std::string_view Bytes) const;
  /// Reads until \p Ending arrives, the peer closes, or 20 seconds pass.
  std::string readUntil(std::string_view Ending) const;
  /// Returns true when the peer closes within 20 seconds.
  bool closedByPeer() const;

private:
  int Socket_;
};

/// Accepts connections on loopback and answers each received request head with
/// raw bytes.
class RawServer {
public:
  /// Answers each request head with the bytes that \p Answer returns for it,
  /// and then closes the connection if \p CloseAfter is set.
  explicit RawServer(std::function<std::string(const std::string &)> Answer,
                     bool CloseAfter);
  ~RawServer();
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  std::uint16_t port() const;
  int connections() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring::tests

#endif // FILBERTSPRING_TRANSPORT_TESTS_RAW_SOCKET_H
