#include "filbertspring/transport/peer_links.h"

#include "peer_connection.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <pcg_random.hpp>
#include <thread>
#include <utility>

namespace filbertspring {

namespace {

using asio::ip::tcp;

/// Maximum number of sent and unacknowledged messages per connection.
constexpr std::size_t MaxUnacknowledged = 8;
/// Number of receive timeout checks per ping interval.
constexpr int ChecksPerPingInterval = 4;
/// The server may not open streams.
constexpr std::uint32_t MaxServerStreams = 0;

/// The state of a link that other threads access; guarded by Impl::Mutex_.
struct Outbox {
  std::deque<std::string> Messages_;
  bool Connected_ = false;
  std::uint64_t Connects_ = 0;
};

/// The link to one peer; used only on the thread of the links.
struct Link {
  Link(asio::io_context &Io, PeerAddress Target)
      : Target_(std::move(Target)), RetryTimer_(Io), PingTimer_(Io) {}

  PeerAddress Target_;
  asio::steady_timer RetryTimer_;
  asio::steady_timer PingTimer_;
  std::shared_ptr<tcp::socket> Connecting_;
  TimePoint ConnectingSince_;
  std::shared_ptr<PeerConnection> Connection_;
  std::size_t Unacknowledged_ = 0;
  Duration Backoff_{};
  /// Set when the link is closed for good; handlers that run later do nothing.
  bool IsClosed_ = false;
};

using LinkPtr = std::shared_ptr<Link>;

} // namespace

struct PeerLinks::Impl {
  InstanceName Self_;
  PeerLinksSettings Settings_;
  asio::io_context Io_;
  asio::executor_work_guard<asio::io_context::executor_type> Work_{
      Io_.get_executor()};
  pcg32 Random_;
  std::map<InstanceName, LinkPtr> Links_;

  mutable std::mutex Mutex_;
  std::map<InstanceName, Outbox> Outboxes_;
  bool IsSendPosted_ = false;

  std::atomic<std::uint64_t> Sent_{0};
  std::atomic<std::uint64_t> Dropped_{0};
  std::atomic<std::uint64_t> ReceiveTimeouts_{0};
  std::atomic<std::uint64_t> BytesSent_{0};
  std::thread Thread_;

  void replacePeers(const std::vector<PeerAddress> &Peers);
  void closeLink(const LinkPtr &PeerLink);
  void connect(const LinkPtr &PeerLink);
  void onConnect(const LinkPtr &PeerLink, std::error_code Error);
  void retryLater(const LinkPtr &PeerLink);
  void schedulePingCheck(const LinkPtr &PeerLink);
  void checkReceiveTimeout(const LinkPtr &PeerLink);
  void sendQueued(const LinkPtr &PeerLink);
  void sendAllQueued();
  void setConnected(const InstanceName &Name, bool Connected);
  PeerConnectionHooks makeHooks(const LinkPtr &PeerLink);
};

void PeerLinks::Impl::setConnected(const InstanceName &Name, bool Connected) {
  const std::scoped_lock Lock(Mutex_);
  auto It = Outboxes_.find(Name);
  if (It == Outboxes_.end())
    return;
  It->second.Connected_ = Connected;
  if (Connected)
    ++It->second.Connects_;
}

void PeerLinks::Impl::replacePeers(const std::vector<PeerAddress> &Peers) {
  std::map<InstanceName, LinkPtr> NewLinks;
  for (const PeerAddress &Peer : Peers) {
    auto It = Links_.find(Peer.Name_);
    const bool IsUnchanged =
        It != Links_.end() && It->second->Target_.Peer_ == Peer.Peer_;
    if (IsUnchanged)
      NewLinks.insert(Links_.extract(It));
    else
      NewLinks.emplace(Peer.Name_, std::make_shared<Link>(Io_, Peer));
  }
  for (const auto &[Name, PeerLink] : Links_)
    closeLink(PeerLink);
  Links_ = std::move(NewLinks);
  for (const auto &[Name, PeerLink] : Links_) {
    if (PeerLink->Connecting_ || PeerLink->Connection_ ||
        PeerLink->Backoff_ != Duration{})
      continue;
    connect(PeerLink);
    schedulePingCheck(PeerLink);
  }
}

void PeerLinks::Impl::closeLink(const LinkPtr &PeerLink) {
  PeerLink->IsClosed_ = true;
  setConnected(PeerLink->Target_.Name_, false);
  PeerLink->RetryTimer_.cancel();
  PeerLink->PingTimer_.cancel();
  std::error_code Ignored;
  if (PeerLink->Connecting_)
    PeerLink->Connecting_->close(Ignored);
  if (PeerLink->Connection_)
    PeerLink->Connection_->close();
}

void PeerLinks::Impl::connect(const LinkPtr &PeerLink) {
  std::error_code Error;
  const auto Host =
      asio::ip::make_address(PeerLink->Target_.Peer_.Host_, Error);
  if (Error) {
    retryLater(PeerLink);
    return;
  }
  PeerLink->Connecting_ = std::make_shared<tcp::socket>(Io_);
  PeerLink->ConnectingSince_ = SchedulerClock::now();
  PeerLink->Connecting_->async_connect(
      tcp::endpoint(Host, PeerLink->Target_.Peer_.Port_),
      [this, PeerLink, Socket = PeerLink->Connecting_](
          std::error_code Failure) { onConnect(PeerLink, Failure); });
}

void PeerLinks::Impl::onConnect(const LinkPtr &PeerLink,
                                std::error_code Error) {
  const auto Socket = std::exchange(PeerLink->Connecting_, nullptr);
  if (PeerLink->IsClosed_)
    return;
  if (Error || !Socket) {
    retryLater(PeerLink);
    return;
  }
  std::error_code Ignored;
  Socket->set_option(tcp::no_delay(true), Ignored);
  PeerLink->Unacknowledged_ = 0;
  PeerLink->Connection_ =
      std::make_shared<PeerConnection>(std::move(*Socket), PeerRole::Client,
                                       MaxServerStreams, makeHooks(PeerLink));
  setConnected(PeerLink->Target_.Name_, true);
  PeerLink->Connection_->start();
  sendQueued(PeerLink);
}

PeerConnectionHooks PeerLinks::Impl::makeHooks(const LinkPtr &PeerLink) {
  PeerConnectionHooks Hooks;
  // A weak pointer avoids a cycle: the link owns the connection, which owns
  // the hooks.
  const std::weak_ptr<Link> Weak = PeerLink;
  Hooks.OnReceived_ = [Weak](std::size_t) {
    if (const LinkPtr Strong = Weak.lock())
      Strong->Backoff_ = Duration{}; // The peer responds: reset the delay.
  };
  Hooks.OnSent_ = [this](std::size_t Count) { BytesSent_ += Count; };
  Hooks.OnStreamClosed_ = [this, Weak](std::int32_t) {
    const LinkPtr Strong = Weak.lock();
    if (!Strong)
      return;
    if (Strong->Unacknowledged_ > 0)
      --Strong->Unacknowledged_;
    // Posted, because sending is not allowed within a callback of the session.
    asio::post(Io_, [this, Strong] { sendQueued(Strong); });
  };
  Hooks.OnClosed_ = [this, Weak] {
    const LinkPtr Strong = Weak.lock();
    if (!Strong || Strong->IsClosed_)
      return;
    Strong->Connection_.reset();
    setConnected(Strong->Target_.Name_, false);
    retryLater(Strong);
  };
  return Hooks;
}

void PeerLinks::Impl::retryLater(const LinkPtr &PeerLink) {
  PeerLink->Backoff_ =
      PeerLink->Backoff_ == Duration{}
          ? Settings_.MinBackoff_
          : std::min(PeerLink->Backoff_ * 2, Settings_.MaxBackoff_);
  const auto Half = static_cast<std::uint32_t>(PeerLink->Backoff_.count() / 2);
  const Duration Delay = Duration(Half) + Duration(Random_(Half + 1));
  PeerLink->RetryTimer_.expires_after(Delay);
  PeerLink->RetryTimer_.async_wait([this, PeerLink](std::error_code Error) {
    if (!Error && !PeerLink->IsClosed_)
      connect(PeerLink);
  });
}

void PeerLinks::Impl::schedulePingCheck(const LinkPtr &PeerLink) {
  PeerLink->PingTimer_.expires_after(Settings_.PingInterval_ /
                                     ChecksPerPingInterval);
  PeerLink->PingTimer_.async_wait([this, PeerLink](std::error_code Error) {
    if (Error || PeerLink->IsClosed_)
      return;
    checkReceiveTimeout(PeerLink);
    schedulePingCheck(PeerLink);
  });
}

void PeerLinks::Impl::checkReceiveTimeout(const LinkPtr &PeerLink) {
  const TimePoint TimeoutThreshold =
      SchedulerClock::now() - Settings_.ReceiveTimeout_;
  std::error_code Ignored;
  if (PeerLink->Connecting_ && PeerLink->ConnectingSince_ < TimeoutThreshold)
    PeerLink->Connecting_->close(Ignored); // The connect handler retries.
  if (!PeerLink->Connection_)
    return;
  if (PeerLink->Connection_->lastReceived() < TimeoutThreshold) {
    ++ReceiveTimeouts_;
    PeerLink->Connection_->close();
    return;
  }
  const TimePoint PingThreshold =
      SchedulerClock::now() - Settings_.PingInterval_;
  if (PeerLink->Connection_->lastReceived() <= PingThreshold)
    PeerLink->Connection_->ping();
}

void PeerLinks::Impl::sendQueued(const LinkPtr &PeerLink) {
  while (PeerLink->Connection_ && !PeerLink->Connection_->isClosed() &&
         PeerLink->Unacknowledged_ < MaxUnacknowledged) {
    std::string Message;
    {
      const std::scoped_lock Lock(Mutex_);
      auto It = Outboxes_.find(PeerLink->Target_.Name_);
      if (It == Outboxes_.end() || It->second.Messages_.empty())
        return;
      Message = std::move(It->second.Messages_.front());
      It->second.Messages_.pop_front();
    }
    if (!PeerLink->Connection_->sendMessage(Self_, std::move(Message))) {
      ++Dropped_;
      return;
    }
    ++PeerLink->Unacknowledged_;
    ++Sent_;
  }
}

void PeerLinks::Impl::sendAllQueued() {
  {
    const std::scoped_lock Lock(Mutex_);
    IsSendPosted_ = false;
  }
  for (const auto &[Name, PeerLink] : Links_)
    sendQueued(PeerLink);
}

PeerLinks::PeerLinks(InstanceName Self, PeerLinksSettings Settings)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Self_ = std::move(Self);
  Impl_->Settings_ = Settings;
  Impl_->Random_.seed(Settings.Seed_);
  Impl_->Thread_ = std::thread([Impl = Impl_.get()] { Impl->Io_.run(); });
}

PeerLinks::~PeerLinks() {
  Impl_->Io_.stop();
  Impl_->Thread_.join();
}

void PeerLinks::setPeers(std::vector<PeerAddress> Peers) {
  {
    const std::scoped_lock Lock(Impl_->Mutex_);
    std::map<InstanceName, Outbox> NewOutboxes;
    for (const PeerAddress &Peer : Peers)
      NewOutboxes[Peer.Name_] = std::move(Impl_->Outboxes_[Peer.Name_]);
    Impl_->Outboxes_ = std::move(NewOutboxes);
  }
  asio::post(Impl_->Io_, [Impl = Impl_.get(), Peers = std::move(Peers)] {
    Impl->replacePeers(Peers);
  });
}

void PeerLinks::send(const InstanceName &To, std::string Message) {
  const std::scoped_lock Lock(Impl_->Mutex_);
  auto It = Impl_->Outboxes_.find(To);
  const bool IsRejected = It == Impl_->Outboxes_.end() ||
                          Message.size() > Impl_->Settings_.MaxMessageBytes_;
  if (IsRejected) {
    ++Impl_->Dropped_;
    return;
  }
  auto &Messages = It->second.Messages_;
  if (Messages.size() >= Impl_->Settings_.MaxQueued_) {
    Messages.pop_front();
    ++Impl_->Dropped_;
  }
  Messages.push_back(std::move(Message));
  if (std::exchange(Impl_->IsSendPosted_, true))
    return;
  asio::post(Impl_->Io_, [Impl = Impl_.get()] { Impl->sendAllQueued(); });
}

std::vector<PeerLinkStatus> PeerLinks::status() const {
  const std::scoped_lock Lock(Impl_->Mutex_);
  std::vector<PeerLinkStatus> Statuses;
  for (const auto &[Name, PeerOutbox] : Impl_->Outboxes_)
    Statuses.push_back({Name, PeerOutbox.Connected_, PeerOutbox.Connects_});
  return Statuses;
}

PeerLinksCounts PeerLinks::counts() const {
  return {Impl_->Sent_, Impl_->Dropped_, Impl_->ReceiveTimeouts_,
          Impl_->BytesSent_};
}

} // namespace filbertspring
