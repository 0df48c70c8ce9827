#include "filbertspring/transport/peer_server.h"

#include "peer_connection.h"

#include <atomic>
#include <map>
#include <thread>
#include <utility>

namespace filbertspring {

namespace {

using asio::ip::tcp;

constexpr auto SweepInterval = std::chrono::seconds(1);
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);
constexpr std::size_t MaxNameBytes = 128;

/// A message being received.
struct Incoming {
  InstanceName From_;
  std::string Bytes_;
  std::size_t HeaderBytes_ = 0;
};

/// A connection and its unfinished messages.
struct Accepted {
  std::shared_ptr<PeerConnection> Connection_;
  std::map<std::int32_t, Incoming> Streams_;
  /// Bytes held in Streams_.
  std::size_t Held_ = 0;
};

} // namespace

struct PeerServer::Impl {
  Impl(PeerMessageRing &Received, PeerServerSettings Settings)
      : Received_(Received), Settings_(Settings) {}

  asio::io_context Io_;
  tcp::acceptor Acceptor_{Io_};
  asio::steady_timer Sweep_{Io_};
  asio::steady_timer AcceptRetry_{Io_};
  PeerMessageRing &Received_;
  PeerServerSettings Settings_;
  Address Address_;
  std::map<std::uint64_t, Accepted> Connections_;
  std::uint64_t LastConnection_ = 0;
  std::atomic<std::uint64_t> Messages_{0};
  std::atomic<std::uint64_t> Dropped_{0};
  std::atomic<std::uint64_t> Refused_{0};
  std::atomic<std::uint64_t> BytesReceived_{0};
  std::thread Thread_;

  std::error_code listen(const Address &Listen);
  void accept();
  void acceptLater();
  void add(tcp::socket Socket);
  void sweep();
  PeerConnectionHooks hooksOf(std::uint64_t Number);
  bool onHeader(Accepted &From, std::int32_t Stream, std::string_view Name,
                std::string_view Value);
  bool onData(Accepted &From, std::int32_t Stream, std::string_view Bytes);
  void onEnd(Accepted &From, std::int32_t Stream);
};

std::error_code PeerServer::Impl::listen(const Address &Listen) {
  std::error_code Error;
  const auto Host = asio::ip::make_address(Listen.Host_, Error);
  if (Error)
    return Error;
  const tcp::endpoint Where(Host, Listen.Port_);
  Acceptor_.open(Where.protocol(), Error);
  if (!Error)
    Acceptor_.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor_.bind(Where, Error);
  if (!Error)
    Acceptor_.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return Error;
  Address_ = {Listen.Host_, Acceptor_.local_endpoint(Error).port()};
  return Error;
}

void PeerServer::Impl::accept() {
  Acceptor_.async_accept([this](std::error_code Error, tcp::socket Socket) {
    if (Error == asio::error::operation_aborted)
      return;
    if (Error) {
      acceptLater();
      return;
    }
    add(std::move(Socket));
    accept();
  });
}

// The system may be out of descriptors for a while.
void PeerServer::Impl::acceptLater() {
  AcceptRetry_.expires_after(AcceptRetryDelay);
  AcceptRetry_.async_wait([this](std::error_code Error) {
    if (!Error)
      accept();
  });
}

void PeerServer::Impl::add(tcp::socket Socket) {
  if (Connections_.size() >= Settings_.MaxConnections_) {
    ++Refused_;
    return; // Closes the socket.
  }
  const std::uint64_t Number = ++LastConnection_;
  auto Connection =
      std::make_shared<PeerConnection>(std::move(Socket), PeerRole::Server,
                                       Settings_.MaxStreams_, hooksOf(Number));
  Connections_[Number].Connection_ = Connection;
  Connection->start();
}

PeerConnectionHooks PeerServer::Impl::hooksOf(std::uint64_t Number) {
  PeerConnectionHooks Hooks;
  Hooks.OnHeader_ = [this, Number](std::int32_t Stream, std::string_view Name,
                                   std::string_view Value) {
    return onHeader(Connections_[Number], Stream, Name, Value);
  };
  Hooks.OnData_ = [this, Number](std::int32_t Stream, std::string_view Bytes) {
    return onData(Connections_[Number], Stream, Bytes);
  };
  Hooks.OnEnd_ = [this, Number](std::int32_t Stream) {
    onEnd(Connections_[Number], Stream);
  };
  Hooks.OnStreamClosed_ = [this, Number](std::int32_t Stream) {
    Accepted &From = Connections_[Number];
    auto Found = From.Streams_.find(Stream);
    if (Found == From.Streams_.end())
      return;
    From.Held_ -= Found->second.Bytes_.size();
    From.Streams_.erase(Found);
  };
  Hooks.OnReceived_ = [this](std::size_t Count) { BytesReceived_ += Count; };
  Hooks.OnViolation_ = [this] { ++Refused_; };
  Hooks.OnClosed_ = [this, Number] { Connections_.erase(Number); };
  return Hooks;
}

bool PeerServer::Impl::onHeader(Accepted &From, std::int32_t Stream,
                                std::string_view Name, std::string_view Value) {
  Incoming &Message = From.Streams_[Stream];
  Message.HeaderBytes_ += Name.size() + Value.size();
  if (Message.HeaderBytes_ > Settings_.MaxHeaderBytes_)
    return false;
  if (Name != PeerNameHeader)
    return true;
  if (Value.empty() || Value.size() > MaxNameBytes)
    return false;
  Message.From_ = InstanceName(std::string(Value));
  return true;
}

bool PeerServer::Impl::onData(Accepted &From, std::int32_t Stream,
                              std::string_view Bytes) {
  // The bound holds for all streams of a connection together, so that many
  // unfinished messages take no more memory than one.
  if (From.Held_ + Bytes.size() > Settings_.MaxMessageBytes_)
    return false;
  From.Held_ += Bytes.size();
  From.Streams_[Stream].Bytes_ += Bytes;
  return true;
}

void PeerServer::Impl::onEnd(Accepted &From, std::int32_t Stream) {
  auto Found = From.Streams_.find(Stream);
  if (Found == From.Streams_.end())
    return;
  Incoming Message = std::move(Found->second);
  From.Streams_.erase(Found);
  From.Held_ -= Message.Bytes_.size();
  if (Message.From_.empty()) {
    ++Refused_;
    From.Connection_->close();
    return;
  }
  From.Connection_->acknowledge(Stream);
  if (Received_.tryPush({std::move(Message.From_), std::move(Message.Bytes_)}))
    ++Messages_;
  else
    ++Dropped_;
}

void PeerServer::Impl::sweep() {
  Sweep_.expires_after(SweepInterval);
  Sweep_.async_wait([this](std::error_code Error) {
    if (Error)
      return;
    const TimePoint Limit = SchedulerClock::now() - Settings_.IdleLimit_;
    for (auto &[Number, Each] : Connections_)
      if (Each.Connection_->lastReceived() < Limit)
        Each.Connection_->close();
    sweep();
  });
}

PeerServer::PeerServer() = default;

Result<std::unique_ptr<PeerServer>>
PeerServer::start(const Address &Listen, PeerMessageRing &Received,
                  PeerServerSettings Settings) {
  std::unique_ptr<PeerServer> Server(new PeerServer());
  Server->Impl_ = std::make_unique<Impl>(Received, Settings);
  Impl &Self = *Server->Impl_;
  if (const std::error_code Error = Self.listen(Listen))
    return fail(Error);
  Self.accept();
  Self.sweep();
  Self.Thread_ = std::thread([&Self] { Self.Io_.run(); });
  return Server;
}

PeerServer::~PeerServer() {
  if (!Impl_ || !Impl_->Thread_.joinable())
    return;
  Impl_->Io_.stop();
  Impl_->Thread_.join();
}

Address PeerServer::address() const { return Impl_->Address_; }

PeerServerCounts PeerServer::counts() const {
  return {Impl_->Messages_, Impl_->Dropped_, Impl_->Refused_,
          Impl_->BytesReceived_};
}

} // namespace filbertspring
