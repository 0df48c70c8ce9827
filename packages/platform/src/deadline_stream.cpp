#include "deadline_stream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace filbertspring {

bool waitForSocket(socket_t Socket, short Events, TimePoint Deadline) {
  using std::chrono::ceil;
  using std::chrono::milliseconds;
  for (;;) {
    Duration Remaining =
        std::max(Deadline - SchedulerClock::now(), Duration::zero());
    pollfd Descriptor{Socket, Events, 0};
    int TimeoutMs = static_cast<int>(ceil<milliseconds>(Remaining).count());
    int ReadyCount = ::poll(&Descriptor, 1, TimeoutMs);
    if (ReadyCount >= 0 || errno != EINTR)
      return ReadyCount > 0;
  }
}

bool DeadlineStream::is_readable() const {
  return hasUnreadBytes() || waitForSocket(Socket_, POLLIN, Deadline_);
}

bool DeadlineStream::is_writable() const {
  return waitForSocket(Socket_, POLLOUT, Deadline_);
}

ssize_t DeadlineStream::read(char *Target, std::size_t Size) {
  if (!hasUnreadBytes()) {
    if (!waitForSocket(Socket_, POLLIN, Deadline_)) {
      TimedOut_ = true;
      return -1;
    }
    ssize_t Received = ::recv(Socket_, Buffer_.data(), Buffer_.size(), 0);
    if (Received <= 0)
      return Received;
    UnreadBegin_ = 0;
    UnreadEnd_ = static_cast<std::size_t>(Received);
  }
  std::size_t Count = std::min(Size, UnreadEnd_ - UnreadBegin_);
  std::memcpy(Target, Buffer_.data() + UnreadBegin_, Count);
  UnreadBegin_ += Count;
  return static_cast<ssize_t>(Count);
}

ssize_t DeadlineStream::write(const char *Source, std::size_t Size) {
  if (!waitForSocket(Socket_, POLLOUT, Deadline_)) {
    TimedOut_ = true;
    return -1;
  }
  return ::send(Socket_, Source, Size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

} // namespace filbertspring
