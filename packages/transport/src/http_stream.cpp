#include "http_stream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace filbertspring {
namespace {

int toMilliseconds(Duration Timeout) {
  auto Rounded = std::chrono::ceil<std::chrono::milliseconds>(Timeout);
  return static_cast<int>(std::max<std::int64_t>(Rounded.count(), 0));
}

} // namespace

void BoundedStream::beginRequest() {
  ReadDeadline_ = SchedulerClock::now() + Limits_.ReadTimeout_;
  IsWriting_ = false;
  RemainingBytes_ = Limits_.MaxBytes_;
}

bool BoundedStream::poll(short Events, Duration Timeout) const {
  pollfd Entry{Socket_, Events, 0};
  int Ready = 0;
  do
    Ready = ::poll(&Entry, 1, toMilliseconds(Timeout));
  while (Ready < 0 && errno == EINTR);
  return Ready > 0;
}

bool BoundedStream::waitReadable(Duration Timeout) const {
  return Begin_ < End_ || poll(POLLIN, Timeout);
}

bool BoundedStream::is_readable() const {
  return waitReadable(ReadDeadline_ - SchedulerClock::now());
}

bool BoundedStream::is_writable() const {
  return poll(POLLOUT, Limits_.WriteTimeout_);
}

bool BoundedStream::fill() {
  Duration Remaining = ReadDeadline_ - SchedulerClock::now();
  if (Remaining <= Duration::zero() || !poll(POLLIN, Remaining))
    return false;
  ssize_t Count = ::recv(Socket_, Buffer_.data(), Buffer_.size(), 0);
  if (Count <= 0)
    return false;
  Begin_ = 0;
  End_ = static_cast<std::size_t>(Count);
  return true;
}

ssize_t BoundedStream::read(char *Target, size_t Size) {
  if (RemainingBytes_ == 0)
    return -1;
  if (Begin_ == End_ && !fill())
    return -1;
  std::size_t Count = std::min({Size, End_ - Begin_, RemainingBytes_});
  std::memcpy(Target, Buffer_.data() + Begin_, Count);
  Begin_ += Count;
  RemainingBytes_ -= Count;
  return static_cast<ssize_t>(Count);
}

ssize_t BoundedStream::write(const char *Source, size_t Size) {
  TimePoint Now = SchedulerClock::now();
  if (!IsWriting_)
    WriteDeadline_ = Now + Limits_.WriteTimeout_;
  IsWriting_ = true;
  if (Now >= WriteDeadline_ || !poll(POLLOUT, WriteDeadline_ - Now))
    return -1;
  return ::send(Socket_, Source, Size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void BoundedStream::get_remote_ip_and_port(std::string &Ip, int &Port) const {
  Ip.clear();
  Port = 0;
}

void BoundedStream::get_local_ip_and_port(std::string &Ip, int &Port) const {
  Ip.clear();
  Port = 0;
}

} // namespace filbertspring
