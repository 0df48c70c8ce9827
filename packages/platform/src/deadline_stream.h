#ifndef FILBERTSPRING_PLATFORM_DEADLINE_STREAM_H
#define FILBERTSPRING_PLATFORM_DEADLINE_STREAM_H

/// \file
/// A stream on a socket whose reads and writes all end by one time.

#include "filbertspring/base/time.h"

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>

namespace filbertspring {

/// Returns true when \p Socket has bytes to read or was closed. Waits until
/// \p Deadline for \p Events (of poll).
bool waitForSocket(socket_t Socket, short Events, TimePoint Deadline);

/// The library bounds each read by itself, so that a server which sends a byte
/// now and then can hold a call forever; this stream bounds their sum. Does
/// not own the socket.
class DeadlineStream final : public httplib::Stream {
public:
  DeadlineStream(socket_t Socket, TimePoint Deadline)
      : Socket_(Socket), Deadline_(Deadline) {}

  bool is_readable() const override; // NOLINT
  bool is_writable() const override; // NOLINT
  ssize_t read(char *Target, std::size_t Size) override;
  ssize_t write(const char *Source, std::size_t Size) override;
  void get_remote_ip_and_port(std::string &, int &) const override {} // NOLINT
  void get_local_ip_and_port(std::string &, int &) const override {}  // NOLINT
  socket_t socket() const override { return Socket_; }

  /// Returns true when bytes were received that nobody has read.
  bool hasUnreadBytes() const { return Begin_ < End_; }
  /// Returns true when a read or write reached the deadline.
  bool timedOut() const { return TimedOut_; }

private:
  static constexpr std::size_t BufferBytes = 4096;

  socket_t Socket_;
  TimePoint Deadline_;
  std::array<char, BufferBytes> Buffer_{};
  std::size_t Begin_ = 0;
  std::size_t End_ = 0;
  bool TimedOut_ = false;
};

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_DEADLINE_STREAM_H
