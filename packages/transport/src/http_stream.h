#ifndef FILBERTSPRING_TRANSPORT_HTTP_STREAM_H
#define FILBERTSPRING_TRANSPORT_HTTP_STREAM_H

/// \file
/// A byte stream over an accepted connection with limits per request.

#include "filbertspring/base/time.h"

#include <array>
#include <cstddef>
#include <httplib.h>
#include <string>

namespace filbertspring {

/// Limits of one request on a BoundedStream.
struct StreamLimits {
  Duration ReadTimeout_;
  Duration WriteTimeout_;
  std::size_t MaxBytes_;
};

/// Reads and writes an open socket that it does not own. Reads fail once the
/// request has reached its time or size limit, writes once the answer has
/// reached its time limit.
class BoundedStream final : public httplib::Stream {
public:
  BoundedStream(socket_t Socket, StreamLimits Limits)
      : Socket_(Socket), Limits_(Limits) {}

  /// Resets the limits for the next request.
  void beginRequest();
  /// Returns true when a byte is buffered or arrives within \p Timeout.
  bool waitReadable(Duration Timeout) const;

  bool is_readable() const override; // NOLINT(readability-identifier-naming)
  bool is_writable() const override; // NOLINT(readability-identifier-naming)
  ssize_t read(char *Target, size_t Size) override;
  ssize_t write(const char *Source, size_t Size) override;
  /// Both addresses are left empty, since the server does not use them.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override;
  // NOLINTNEXTLINE(readability-identifier-naming)
  void get_local_ip_and_port(std::string &Ip, int &Port) const override;
  socket_t socket() const override { return Socket_; }

private:
  bool poll(short Events, Duration Timeout) const;
  bool fill();

  static constexpr std::size_t BufferBytes = 4096;

  socket_t Socket_;
  StreamLimits Limits_;
  TimePoint ReadDeadline_{};
  TimePoint WriteDeadline_{};
  bool IsWriting_ = false;
  std::size_t RemainingBytes_ = 0;
  std::array<char, BufferBytes> Buffer_{};
  std::size_t Begin_ = 0;
  std::size_t End_ = 0;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_HTTP_STREAM_H
