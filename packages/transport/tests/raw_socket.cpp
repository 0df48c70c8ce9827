#include "raw_socket.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace filbertspring::tests {
namespace {

constexpr int TimeoutMs = 20000;

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port = htons(Port);
  SocketAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return SocketAddress;
}

/// Appends received bytes; returns false at the end of the stream or after a
/// timeout.
bool receiveInto(int Socket, std::string &Bytes) {
  pollfd Entry{Socket, POLLIN, 0};
  if (::poll(&Entry, 1, TimeoutMs) <= 0)
    return false;
  std::array<char, 4096> Buffer{};
  ssize_t Count = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
  if (Count <= 0)
    return false;
  Bytes.append(Buffer.data(), static_cast<std::size_t>(Count));
  return true;
}

} // namespace

RawClient::RawClient(std::uint16_t Port)
    : Socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in SocketAddress = loopback(Port);
  (void)::connect(Socket_, reinterpret_cast<sockaddr *>(&SocketAddress),
                  sizeof SocketAddress);
}

RawClient::~RawClient() { ::close(Socket_); }

void RawClient::send(std::string_view Bytes) const {
  (void)::send(Socket_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
}

std::string RawClient::readUntil(std::string_view Ending) const {
  std::string Bytes;
  while (!Bytes.ends_with(Ending))
    if (!receiveInto(Socket_, Bytes))
      break;
  return Bytes;
}

bool RawClient::closedByPeer() const {
  pollfd Entry{Socket_, POLLIN, 0};
  std::string Ignored;
  while (::poll(&Entry, 1, TimeoutMs) > 0)
    if (!receiveInto(Socket_, Ignored))
      return true;
  return false;
}

struct RawServer::Impl {
  void serve(int Socket) const {
    std::string Head;
    while (receiveInto(Socket, Head)) {
      if (Head.find("\r\n\r\n") == std::string::npos)
        continue;
      std::string Bytes = Answer_(Head);
      (void)::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      Head.clear();
      if (CloseAfter_)
        break;
    }
    ::close(Socket);
  }

  std::function<std::string(const std::string &)> Answer_;
  bool CloseAfter_ = false;
  int Listener_ = -1;
  std::atomic<int> Connections_{0};
  std::vector<std::thread> Threads_;
  std::thread Acceptor_;
};

RawServer::RawServer(std::function<std::string(const std::string &)> Answer,
                     bool CloseAfter)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Answer_ = std::move(Answer);
  Impl_->CloseAfter_ = CloseAfter;
  Impl_->Listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in SocketAddress = loopback(0);
  (void)::bind(Impl_->Listener_, reinterpret_cast<sockaddr *>(&SocketAddress),
               sizeof SocketAddress);
  (void)::listen(Impl_->Listener_, SOMAXCONN);
  Impl_->Acceptor_ = std::thread([this] {
    while (true) {
      int Socket = ::accept(Impl_->Listener_, nullptr, nullptr);
      if (Socket < 0)
        return;
      ++Impl_->Connections_;
      Impl_->Threads_.emplace_back([this, Socket] { Impl_->serve(Socket); });
    }
  });
}

RawServer::~RawServer() {
  ::shutdown(Impl_->Listener_, SHUT_RDWR);
  Impl_->Acceptor_.join();
  ::close(Impl_->Listener_);
  for (std::thread &Connection : Impl_->Threads_)
    Connection.join();
}

std::uint16_t RawServer::port() const {
  sockaddr_in SocketAddress{};
  socklen_t Size = sizeof SocketAddress;
  ::getsockname(Impl_->Listener_, reinterpret_cast<sockaddr *>(&SocketAddress),
                &Size);
  return ntohs(SocketAddress.sin_port);
}

int RawServer::connections() const { return Impl_->Connections_; }

} // namespace filbertspring::tests
