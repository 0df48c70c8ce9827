#include "http_stream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace filbertspring {
namespace {

int toMilliseconds(Duration Limit) {
  auto Rounded = std::chrono::ceil<std::chrono::milliseconds>(Limit);
  return static_cast<int>(std::max<std::int64_t>(Rounded.count(), 0));
}

} // namespace

void BoundedStream::beginRequest() {
  ReadDeadline_ = SchedulerClock::now() + Limits_.ReadLimit_;
  Writing_ = false;
  BytesLeft_ = Limits_.MaxBytes_;
}

bool BoundedStream::poll(short Events, Duration Limit) const {
  pollfd Entry{Socket_, Events, 0};
  int Ready = 0;
  do
    Ready = ::poll(&Entry, 1, toMilliseconds(Limit));
  while (Ready < 0 && errno == EINTR);
  return Ready > 0;
}

bool BoundedStream::waitReadable(Duration Limit) const {
  return Begin_ < End_ || poll(POLLIN, Limit);
}

bool BoundedStream::is_readable() const {
  return waitReadable(ReadDeadline_ - SchedulerClock::now());
}

bool BoundedStream::is_writable() const {
  return poll(POLLOUT, Limits_.WriteLimit_);
}

bool BoundedStream::fill() {
  Duration Left = ReadDeadline_ - SchedulerClock::now();
  if (Left <= Duration::zero() || !poll(POLLIN, Left))
    return false;
  ssize_t Count = ::recv(Socket_, Buffer_.data(), Buffer_.size(), 0);
  if (Count <= 0)
    return false;
  Begin_ = 0;
  End_ = static_cast<std::size_t>(Count);
  return true;
}

ssize_t BoundedStream::read(char *Target, size_t Size) {
  if (BytesLeft_ == 0)
    return -1;
  if (Begin_ == End_ && !fill())
    return -1;
  std::size_t Count = std::min({Size, End_ - Begin_, BytesLeft_});
  std::memcpy(Target, Buffer_.data() + Begin_, Count);
  Begin_ += Count;
  BytesLeft_ -= Count;
  return static_cast<ssize_t>(Count);
}

ssize_t BoundedStream::write(const char *Source, size_t Size) {
  TimePoint Now = SchedulerClock::now();
  if (!Writing_)
    WriteDeadline_ = Now + Limits_.WriteLimit_;
  Writing_ = true;
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
