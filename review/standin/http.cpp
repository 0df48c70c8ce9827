#include "http.h"

#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

sockaddr_in makeAddress(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

std::string decodePercent(const std::string &Text) {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Decoded += static_cast<char>(
          std::strtol(Text.substr(At + 1, 2).c_str(), nullptr, 16));
      At += 2;
    } else {
      Decoded += Text[At] == '+' ? ' ' : Text[At];
    }
  }
  return Decoded;
}

std::string lower(std::string Text) {
  for (char &Letter : Text)
    Letter =
        static_cast<char>(std::tolower(static_cast<unsigned char>(Letter)));
  return Text;
}

/// Reads until \p Buffer contains a whole message. Returns the size of its head
/// and of its body; nothing if the connection ends before.
std::optional<std::pair<std::size_t, std::size_t>>
readMessage(int Socket, std::string &Buffer, Clock::time_point Deadline) {
  char Chunk[16384];
  while (true) {
    std::size_t End = Buffer.find("\r\n\r\n");
    if (End != std::string::npos) {
      std::string Head = lower(Buffer.substr(0, End));
      std::size_t Length = 0;
      std::size_t At = Head.find("\r\ncontent-length:");
      if (At != std::string::npos)
        Length = std::strtoul(Head.c_str() + At + 17, nullptr, 10);
      if (Buffer.size() >= End + 4 + Length)
        return std::pair(End + 4, Length);
    }
    auto Left =
        std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now());
    pollfd Poll{Socket, POLLIN, 0};
    if (Left.count() <= 0 ||
        poll(&Poll, 1, static_cast<int>(Left.count())) <= 0)
      return std::nullopt;
    ssize_t Size = recv(Socket, Chunk, sizeof Chunk, 0);
    if (Size <= 0)
      return std::nullopt;
    Buffer.append(Chunk, static_cast<std::size_t>(Size));
  }
}

bool sendAll(int Socket, const std::string &Bytes) {
  for (std::size_t Sent = 0; Sent < Bytes.size();) {
    ssize_t Size =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size <= 0)
      return false;
    Sent += static_cast<std::size_t>(Size);
  }
  return true;
}

Request parseRequest(const std::string &Head, std::string Body) {
  Request Parsed;
  Parsed.Body_ = std::move(Body);
  std::size_t FirstSpace = Head.find(' ');
  std::size_t SecondSpace = Head.find(' ', FirstSpace + 1);
  Parsed.Method_ = Head.substr(0, FirstSpace);
  std::string Target =
      Head.substr(FirstSpace + 1, SecondSpace - FirstSpace - 1);
  std::size_t Mark = Target.find('?');
  Parsed.Path_ = Target.substr(0, Mark);
  while (Mark != std::string::npos) {
    std::size_t Next = Target.find('&', Mark + 1);
    std::string Pair = Target.substr(Mark + 1, Next - Mark - 1);
    std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos)
      Parsed.Query_[Pair.substr(0, Equals)] =
          decodePercent(Pair.substr(Equals + 1));
    Mark = Next;
  }
  std::size_t Line = Head.find("\r\n");
  while (Line != std::string::npos && Line + 2 < Head.size()) {
    std::size_t End = Head.find("\r\n", Line + 2);
    std::string Field = Head.substr(Line + 2, End - Line - 2);
    std::size_t Colon = Field.find(':');
    if (Colon != std::string::npos) {
      std::size_t Start = Field.find_first_not_of(' ', Colon + 1);
      Parsed.Headers_[lower(Field.substr(0, Colon))] =
          Start == std::string::npos ? "" : Field.substr(Start);
    }
    Line = End;
  }
  return Parsed;
}

void reset(int Socket) {
  linger Linger{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Linger, sizeof Linger);
}

} // namespace

void Server::start(const std::string &Ip, std::uint16_t Port) {
  Listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  sockaddr_in Address = makeAddress(Ip, Port);
  if (bind(Listener_, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ||
      listen(Listener_, 256)) {
    std::perror("a stand-in cannot listen");
    std::exit(2);
  }
  socklen_t Size = sizeof Address;
  getsockname(Listener_, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port_ = ntohs(Address.sin_port);
  ++Life_;
  Acceptor_ =
      std::thread([this, Listener = Listener_] { acceptAll(Listener); });
}

void Server::stop() {
  if (Listener_ < 0)
    return;
  ++Life_;
  shutdown(Listener_, SHUT_RDWR);
  Acceptor_.join();
  close(Listener_);
  Listener_ = -1;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    for (int Socket : Sockets_) {
      reset(Socket);
      shutdown(Socket, SHUT_RDWR);
    }
  }
  while (Threads_ > 0)
    std::this_thread::sleep_for(Milliseconds(1));
}

void Server::acceptAll(int Listener) {
  while (true) {
    int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      return;
    int One = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    std::uint64_t Life = Life_;
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Sockets_.insert(Socket);
    }
    ++Threads_;
    std::thread([this, Socket, Life] {
      serve(Socket, Life);
      {
        std::lock_guard<std::mutex> Lock(Mutex_);
        Sockets_.erase(Socket);
      }
      close(Socket);
      --Threads_;
    }).detach();
  }
}

void Server::serve(int Socket, std::uint64_t Life) {
  std::string Buffer;
  while (Life_ == Life) {
    auto Size =
        readMessage(Socket, Buffer, Clock::now() + std::chrono::minutes(5));
    if (!Size || Life_ != Life)
      return;
    Request Received = parseRequest(Buffer.substr(0, Size->first - 2),
                                    Buffer.substr(Size->first, Size->second));
    Buffer.erase(0, Size->first + Size->second);
    std::optional<Answer> Reply = Handle_(Received);
    if (!Reply || Life_ != Life)
      return;
    if (!sendAll(Socket, "HTTP/1.1 " + std::to_string(Reply->Status_) +
                             " X\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(Reply->Body_.size()) + "\r\n\r\n" +
                             Reply->Body_))
      return;
  }
}

Answer call(const std::string &Ip, std::uint16_t Port,
            const std::string &Method, const std::string &Path,
            const std::string &Host, const std::string &Body,
            Milliseconds Timeout) {
  Clock::time_point Deadline = Clock::now() + Timeout;
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = makeAddress(Ip, Port);
  Answer Reply;
  std::string Bytes = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                      "\r\nContent-Type: application/json\r\n"
                      "X-Filbertspring-Deadline-Ms: " +
                      std::to_string(Timeout.count()) +
                      "\r\nConnection: close\r\nContent-Length: " +
                      std::to_string(Body.size()) + "\r\n\r\n" + Body;
  std::string Buffer;
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ==
          0 &&
      sendAll(Socket, Bytes))
    if (auto Size = readMessage(Socket, Buffer, Deadline)) {
      Reply.Status_ = std::atoi(Buffer.c_str() + 9);
      Reply.Body_ = Buffer.substr(Size->first, Size->second);
    }
  close(Socket);
  return Reply;
}

std::uint16_t freePort(const std::string &Ip) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = makeAddress(Ip, 0);
  socklen_t Size = sizeof Address;
  std::uint16_t Port = 0;
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) ==
          0 &&
      getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size) == 0)
    Port = ntohs(Address.sin_port);
  close(Socket);
  return Port;
}

} // namespace review
