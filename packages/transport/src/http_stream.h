#ifndef FILBERTSPRING_TRANSPORT_HTTP_STREAM_H
#define FILBERTSPRING_TRANSPORT_HTTP_STREAM_H

/// \file
/// The byte stream of one accepted connection, with limits for each request.

#include "filbertspring/base/time.h"

#include <array>
#include <cstddef>
#include <httplib.h>
#include <string>

namespace filbertspring {

/// Limits of one request on a BoundedStream.
struct StreamLimits {
  Duration ReadLimit_;
  Duration WriteLimit_;
  std::size_t MaxBytes_;
};

/// Reads and writes an open socket, which it does not own. Reads fail once the
/// request has used up its time or its bytes.
class BoundedStream final : public httplib::Stream {
public:
  BoundedStream(socket_t Socket, StreamLimits Limits)
      : Socket_(Socket), Limits_(Limits) {}

  /// Starts the limits of the next request.
  void beginRequest();
  /// Returns true when a byte is buffered or arrives within \p Limit.
  bool waitReadable(Duration Limit) const;

  bool is_readable() const override; // NOLINT(readability-identifier-naming)
  bool is_writable() const override; // NOLINT(readability-identifier-naming)
  ssize_t read(char *Target, size_t Size) override;
  ssize_t write(const char *Source, size_t Size) override;
  /// Addresses are not looked up; nothing here uses them.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override;
  // NOLINTNEXTLINE(readability-identifier-naming)
  void get_local_ip_and_port(std::string &Ip, int &Port) const override;
  socket_t socket() const override { return Socket_; }

private:
  bool poll(short Events, Duration Limit) const;
  bool fill();

  static constexpr std::size_t BufferBytes = 4096;

  socket_t Socket_;
  StreamLimits Limits_;
  TimePoint ReadDeadline_{};
  TimePoint WriteDeadline_{};
  bool Writing_ = false;
  std::size_t BytesLeft_ = 0;
  std::array<char, BufferBytes> Buffer_{};
  std::size_t Begin_ = 0;
  std::size_t End_ = 0;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_HTTP_STREAM_H
