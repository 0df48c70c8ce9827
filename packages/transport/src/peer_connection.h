#ifndef FILBERTSPRING_TRANSPORT_SRC_PEER_CONNECTION_H
#define FILBERTSPRING_TRANSPORT_SRC_PEER_CONNECTION_H

/// \file
/// An HTTP/2 connection between two instances, as client or server.

#include "filbertspring/base/id.h"
#include "filbertspring/base/time.h"

#include <array>
#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring {

/// The request header with the name of the sending instance.
inline constexpr std::string_view PeerNameHeader = "x-instance";

/// Callbacks of a connection, called on its thread. A hook that returns false
/// closes the connection.
struct PeerConnectionHooks {
  std::function<bool(std::int32_t Stream, std::string_view Name,
                     std::string_view Value)>
      OnHeader_;
  std::function<bool(std::int32_t Stream, std::string_view Bytes)> OnData_;
  /// The remote end has sent its last frame on the stream.
  std::function<void(std::int32_t Stream)> OnEnd_;
  std::function<void(std::int32_t Stream)> OnStreamClosed_;
  /// Called with the number of bytes read from or written to the socket.
  std::function<void(std::size_t Count)> OnReceived_;
  std::function<void(std::size_t Count)> OnSent_;
  /// The remote end violated the protocol, or a hook returned false.
  std::function<void()> OnViolation_;
  /// Called once, never from within another hook.
  std::function<void()> OnClosed_;
};

enum class PeerRole { Client, Server };

/// Runs an nghttp2 session over a socket. Pending operations keep the object
/// alive. Not thread-safe: all members are used on the thread that runs the
/// socket.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  PeerConnection(asio::ip::tcp::socket Socket, PeerRole Role,
                 std::uint32_t MaxStreams, PeerConnectionHooks Hooks);
  ~PeerConnection();
  PeerConnection(const PeerConnection &) = delete;
  PeerConnection &operator=(const PeerConnection &) = delete;

  /// Sends the HTTP/2 settings and starts reading.
  void start();
  /// Closes the socket; PeerConnectionHooks::OnClosed_ is called later.
  void close();

  /// Sends \p Message on a new stream. Returns false when the connection is
  /// closed or the session cannot open another stream.
  bool sendMessage(const InstanceName &From, std::string Message);
  /// Answers the request on \p Stream with status 204.
  void acknowledge(std::int32_t Stream);
  void ping();

  bool isClosed() const { return IsClosed_; }
  TimePoint lastReceived() const { return LastReceived_; }

private:
  /// A message being sent.
  struct OutgoingMessage {
    std::string Bytes_;
    std::size_t Offset_ = 0;
  };

  static int onHeader(nghttp2_session *Session, const nghttp2_frame *Frame,
                      const std::uint8_t *Name, std::size_t NameLength,
                      const std::uint8_t *Value, std::size_t ValueLength,
                      std::uint8_t Flags, void *User);
  static int onData(nghttp2_session *Session, std::uint8_t Flags,
                    std::int32_t Stream, const std::uint8_t *Bytes,
                    std::size_t Length, void *User);
  static int onFrame(nghttp2_session *Session, const nghttp2_frame *Frame,
                     void *User);
  static int onStreamClose(nghttp2_session *Session, std::int32_t Stream,
                           std::uint32_t Code, void *User);
  static ssize_t readBody(nghttp2_session *Session, std::int32_t Stream,
                          std::uint8_t *Buffer, std::size_t Length,
                          std::uint32_t *Flags, nghttp2_data_source *Source,
                          void *User);
  bool createSession();
  void read();
  void receive(std::size_t Count);
  void flush();

  asio::ip::tcp::socket Socket_;
  PeerRole Role_;
  std::uint32_t MaxStreams_;
  PeerConnectionHooks Hooks_;
  nghttp2_session *Session_ = nullptr;
  std::array<std::uint8_t, 16384> ReadBuffer_{};
  std::string WriteBuffer_;
  bool IsWriting_ = false;
  bool IsClosed_ = false;
  TimePoint LastReceived_;
  std::map<std::int32_t, OutgoingMessage> OutgoingMessages_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_SRC_PEER_CONNECTION_H
