#include "filbertspring/transport/peer_server.h"

#include "peer_connection.h"

#include <atomic>
#include <map>
#include <thread>
#include <utility>

namespace filbertspring {

namespace {

using asio::ip::tcp;

constexpr auto ServerIdleCheckInterval = std::chrono::seconds(1);
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);
constexpr std::size_t MaxNameBytes = 128;

/// A message being received.
struct InboundMessage {
  InstanceName From_;
  std::string Bytes_;
  std::size_t HeaderBytes_ = 0;
};

/// A connection and its incomplete messages.
struct InboundConnection {
  std::shared_ptr<PeerConnection> Connection_;
  std::map<std::int32_t, InboundMessage> Streams_;
  /// Total size of the message bodies in Streams_.
  std::size_t BufferedBytes_ = 0;
};

} // namespace

struct PeerServer::Impl {
  Impl(PeerMessageRing &Received, PeerServerSettings Settings)
      : Received_(Received), Settings_(Settings) {}

  asio::io_context Io_;
  tcp::acceptor Acceptor_{Io_};
  asio::steady_timer IdleCheckTimer_{Io_};
  asio::steady_timer AcceptRetryTimer_{Io_};
  PeerMessageRing &Received_;
  PeerServerSettings Settings_;
  Address Address_;
  std::map<std::uint64_t, InboundConnection> Connections_;
  std::uint64_t LastConnectionId_ = 0;
  std::atomic<std::uint64_t> Messages_{0};
  std::atomic<std::uint64_t> Dropped_{0};
  std::atomic<std::uint64_t> Refused_{0};
  std::atomic<std::uint64_t> BytesReceived_{0};
  std::thread Thread_;

  std::error_code listen(const Address &Listen);
  void accept();
  void scheduleAcceptRetry();
  void addConnection(tcp::socket Socket);
  void scheduleIdleCheck();
  PeerConnectionHooks makeHooks(std::uint64_t ConnectionId);
  bool onHeader(InboundConnection &Inbound, std::int32_t Stream,
                std::string_view Name, std::string_view Value);
  bool onData(InboundConnection &Inbound, std::int32_t Stream,
              std::string_view Bytes);
  void onEnd(InboundConnection &Inbound, std::int32_t Stream);
};

std::error_code PeerServer::Impl::listen(const Address &Listen) {
  std::error_code Error;
  const auto Host = asio::ip::make_address(Listen.Host_, Error);
  if (Error)
    return Error;
  const tcp::endpoint Endpoint(Host, Listen.Port_);
  Acceptor_.open(Endpoint.protocol(), Error);
  if (!Error)
    Acceptor_.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor_.bind(Endpoint, Error);
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
      scheduleAcceptRetry();
      return;
    }
    addConnection(std::move(Socket));
    accept();
  });
}

// The system may be out of file descriptors for a while.
void PeerServer::Impl::scheduleAcceptRetry() {
  AcceptRetryTimer_.expires_after(AcceptRetryDelay);
  AcceptRetryTimer_.async_wait([this](std::error_code Error) {
    if (!Error)
      accept();
  });
}

void PeerServer::Impl::addConnection(tcp::socket Socket) {
  if (Connections_.size() >= Settings_.MaxConnections_) {
    ++Refused_;
    return; // The destructor of Socket closes the connection.
  }
  const std::uint64_t ConnectionId = ++LastConnectionId_;
  auto Connection = std::make_shared<PeerConnection>(
      std::move(Socket), PeerRole::Server, Settings_.MaxStreams_,
      makeHooks(ConnectionId));
  Connections_[ConnectionId].Connection_ = Connection;
  Connection->start();
}

PeerConnectionHooks PeerServer::Impl::makeHooks(std::uint64_t ConnectionId) {
  PeerConnectionHooks Hooks;
  Hooks.OnHeader_ = [this, ConnectionId](std::int32_t Stream,
                                         std::string_view Name,
                                         std::string_view Value) {
    return onHeader(Connections_[ConnectionId], Stream, Name, Value);
  };
  Hooks.OnData_ = [this, ConnectionId](std::int32_t Stream,
                                       std::string_view Bytes) {
    return onData(Connections_[ConnectionId], Stream, Bytes);
  };
  Hooks.OnEnd_ = [this, ConnectionId](std::int32_t Stream) {
    onEnd(Connections_[ConnectionId], Stream);
  };
  Hooks.OnStreamClosed_ = [this, ConnectionId](std::int32_t Stream) {
    InboundConnection &Inbound = Connections_[ConnectionId];
    auto It = Inbound.Streams_.find(Stream);
    if (It == Inbound.Streams_.end())
      return;
    Inbound.BufferedBytes_ -= It->second.Bytes_.size();
    Inbound.Streams_.erase(It);
  };
  Hooks.OnReceived_ = [this](std::size_t Count) { BytesReceived_ += Count; };
  Hooks.OnViolation_ = [this] { ++Refused_; };
  Hooks.OnClosed_ = [this, ConnectionId] { Connections_.erase(ConnectionId); };
  return Hooks;
}

bool PeerServer::Impl::onHeader(InboundConnection &Inbound, std::int32_t Stream,
                                std::string_view Name, std::string_view Value) {
  InboundMessage &Message = Inbound.Streams_[Stream];
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

bool PeerServer::Impl::onData(InboundConnection &Inbound, std::int32_t Stream,
                              std::string_view Bytes) {
  // The limit applies to all streams of a connection together, so that many
  // incomplete messages use no more memory than one.
  if (Inbound.BufferedBytes_ + Bytes.size() > Settings_.MaxMessageBytes_)
    return false;
  Inbound.BufferedBytes_ += Bytes.size();
  Inbound.Streams_[Stream].Bytes_ += Bytes;
  return true;
}

void PeerServer::Impl::onEnd(InboundConnection &Inbound, std::int32_t Stream) {
  auto It = Inbound.Streams_.find(Stream);
  if (It == Inbound.Streams_.end())
    return;
  InboundMessage Message = std::move(It->second);
  Inbound.Streams_.erase(It);
  Inbound.BufferedBytes_ -= Message.Bytes_.size();
  if (Message.From_.empty()) {
    ++Refused_;
    Inbound.Connection_->close();
    return;
  }
  Inbound.Connection_->acknowledge(Stream);
  if (Received_.tryPush({std::move(Message.From_), std::move(Message.Bytes_)}))
    ++Messages_;
  else
    ++Dropped_;
}

void PeerServer::Impl::scheduleIdleCheck() {
  IdleCheckTimer_.expires_after(ServerIdleCheckInterval);
  IdleCheckTimer_.async_wait([this](std::error_code Error) {
    if (Error)
      return;
    const TimePoint IdleThreshold =
        SchedulerClock::now() - Settings_.IdleTimeout_;
    for (auto &[ConnectionId, Inbound] : Connections_)
      if (Inbound.Connection_->lastReceived() < IdleThreshold)
        Inbound.Connection_->close();
    scheduleIdleCheck();
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
  Self.scheduleIdleCheck();
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
