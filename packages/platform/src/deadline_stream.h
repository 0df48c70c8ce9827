#ifndef FILBERTSPRING_PLATFORM_DEADLINE_STREAM_H
#define FILBERTSPRING_PLATFORM_DEADLINE_STREAM_H

/// \file
/// A socket stream whose reads and writes share one deadline.

#include "filbertspring/base/time.h"

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>

namespace filbertspring {

/// Waits until \p Deadline for one of the poll() events \p Events on \p Socket.
/// Returns true when one occurred or the connection was closed or failed, and
/// false when the deadline passed.
bool waitForSocket(socket_t Socket, short Events, TimePoint Deadline);

/// Limits the total duration of all reads and writes of a call. httplib limits
/// each read separately, so a server that sends single bytes at intervals could
/// block a call forever. Does not own the socket.
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

  /// Returns true when received bytes have not been read.
  bool hasUnreadBytes() const { return UnreadBegin_ < UnreadEnd_; }
  /// Returns true when a read or write reached the deadline.
  bool timedOut() const { return TimedOut_; }

private:
  static constexpr std::size_t BufferBytes = 4096;

  socket_t Socket_;
  TimePoint Deadline_;
  std::array<char, BufferBytes> Buffer_{};
  std::size_t UnreadBegin_ = 0;
  std::size_t UnreadEnd_ = 0;
  bool TimedOut_ = false;
};

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_DEADLINE_STREAM_H
