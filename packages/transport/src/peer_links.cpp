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

/// Messages sent and not acknowledged, per connection.
constexpr std::size_t MaxUnacknowledged = 8;
/// Checks for silence within the time after which a PING is sent.
constexpr int ChecksPerPing = 4;
constexpr std::uint32_t NoStreamsFromServer = 0;

/// What other threads share of one link; guarded by the mutex of the links.
struct Outbox {
  std::deque<std::string> Messages_;
  bool Connected_ = false;
  std::uint64_t Connects_ = 0;
};

/// The link to one peer; belongs to the thread.
struct Link {
  Link(asio::io_context &Io, PeerAddress Where)
      : Where_(std::move(Where)), Retry_(Io), Ping_(Io) {}

  PeerAddress Where_;
  asio::steady_timer Retry_;
  asio::steady_timer Ping_;
  std::shared_ptr<tcp::socket> Connecting_;
  TimePoint ConnectingSince_;
  std::shared_ptr<PeerConnection> Connection_;
  std::size_t Unacknowledged_ = 0;
  Duration Backoff_{};
  /// Set when the link is to end; late handlers then do nothing.
  bool Ended_ = false;
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
  bool WakePosted_ = false;

  std::atomic<std::uint64_t> Sent_{0};
  std::atomic<std::uint64_t> Dropped_{0};
  std::atomic<std::uint64_t> Silent_{0};
  std::atomic<std::uint64_t> BytesSent_{0};
  std::thread Thread_;

  void replacePeers(const std::vector<PeerAddress> &Peers);
  void end(const LinkPtr &Each);
  void connect(const LinkPtr &Each);
  void onConnect(const LinkPtr &Each, std::error_code Error);
  void retryLater(const LinkPtr &Each);
  void watch(const LinkPtr &Each);
  void checkSilence(const LinkPtr &Each);
  void sendQueued(const LinkPtr &Each);
  void sendAll();
  void setConnected(const InstanceName &Name, bool Connected);
  PeerConnectionHooks hooksOf(const LinkPtr &Each);
};

void PeerLinks::Impl::setConnected(const InstanceName &Name, bool Connected) {
  const std::scoped_lock Lock(Mutex_);
  auto Found = Outboxes_.find(Name);
  if (Found == Outboxes_.end())
    return;
  Found->second.Connected_ = Connected;
  if (Connected)
    ++Found->second.Connects_;
}

void PeerLinks::Impl::replacePeers(const std::vector<PeerAddress> &Peers) {
  std::map<InstanceName, LinkPtr> Kept;
  for (const PeerAddress &Peer : Peers) {
    auto Found = Links_.find(Peer.Name_);
    const bool Same =
        Found != Links_.end() && Found->second->Where_.Peer_ == Peer.Peer_;
    if (Same)
      Kept.insert(Links_.extract(Found));
    else
      Kept.emplace(Peer.Name_, std::make_shared<Link>(Io_, Peer));
  }
  for (const auto &[Name, Each] : Links_)
    end(Each);
  Links_ = std::move(Kept);
  for (const auto &[Name, Each] : Links_) {
    if (Each->Connecting_ || Each->Connection_ || Each->Backoff_ != Duration{})
      continue;
    connect(Each);
    watch(Each);
  }
}

void PeerLinks::Impl::end(const LinkPtr &Each) {
  Each->Ended_ = true;
  setConnected(Each->Where_.Name_, false);
  Each->Retry_.cancel();
  Each->Ping_.cancel();
  std::error_code Ignored;
  if (Each->Connecting_)
    Each->Connecting_->close(Ignored);
  if (Each->Connection_)
    Each->Connection_->close();
}

void PeerLinks::Impl::connect(const LinkPtr &Each) {
  std::error_code Error;
  const auto Host = asio::ip::make_address(Each->Where_.Peer_.Host_, Error);
  if (Error) {
    retryLater(Each);
    return;
  }
  Each->Connecting_ = std::make_shared<tcp::socket>(Io_);
  Each->ConnectingSince_ = SchedulerClock::now();
  Each->Connecting_->async_connect(
      tcp::endpoint(Host, Each->Where_.Peer_.Port_),
      [this, Each, Socket = Each->Connecting_](std::error_code Failure) {
        onConnect(Each, Failure);
      });
}

void PeerLinks::Impl::onConnect(const LinkPtr &Each, std::error_code Error) {
  const auto Socket = std::exchange(Each->Connecting_, nullptr);
  if (Each->Ended_)
    return;
  if (Error || !Socket) {
    retryLater(Each);
    return;
  }
  std::error_code Ignored;
  Socket->set_option(tcp::no_delay(true), Ignored);
  Each->Unacknowledged_ = 0;
  Each->Connection_ = std::make_shared<PeerConnection>(
      std::move(*Socket), PeerRole::Client, NoStreamsFromServer, hooksOf(Each));
  setConnected(Each->Where_.Name_, true);
  Each->Connection_->start();
  sendQueued(Each);
}

PeerConnectionHooks PeerLinks::Impl::hooksOf(const LinkPtr &Each) {
  PeerConnectionHooks Hooks;
  // Weak, since the link owns the connection that owns the hooks.
  const std::weak_ptr<Link> Weak = Each;
  Hooks.OnReceived_ = [Weak](std::size_t) {
    if (const LinkPtr Alive = Weak.lock())
      Alive->Backoff_ = Duration{}; // The peer has answered.
  };
  Hooks.OnSent_ = [this](std::size_t Count) { BytesSent_ += Count; };
  Hooks.OnStreamClosed_ = [this, Weak](std::int32_t) {
    const LinkPtr Alive = Weak.lock();
    if (!Alive)
      return;
    if (Alive->Unacknowledged_ > 0)
      --Alive->Unacknowledged_;
    // Not from within the session's own callback.
    asio::post(Io_, [this, Alive] { sendQueued(Alive); });
  };
  Hooks.OnClosed_ = [this, Weak] {
    const LinkPtr Alive = Weak.lock();
    if (!Alive || Alive->Ended_)
      return;
    Alive->Connection_.reset();
    setConnected(Alive->Where_.Name_, false);
    retryLater(Alive);
  };
  return Hooks;
}

void PeerLinks::Impl::retryLater(const LinkPtr &Each) {
  Each->Backoff_ = Each->Backoff_ == Duration{}
                       ? Settings_.MinBackoff_
                       : std::min(Each->Backoff_ * 2, Settings_.MaxBackoff_);
  const auto Half = static_cast<std::uint32_t>(Each->Backoff_.count() / 2);
  const Duration Delay = Duration(Half) + Duration(Random_(Half + 1));
  Each->Retry_.expires_after(Delay);
  Each->Retry_.async_wait([this, Each](std::error_code Error) {
    if (!Error && !Each->Ended_)
      connect(Each);
  });
}

void PeerLinks::Impl::watch(const LinkPtr &Each) {
  Each->Ping_.expires_after(Settings_.PingInterval_ / ChecksPerPing);
  Each->Ping_.async_wait([this, Each](std::error_code Error) {
    if (Error || Each->Ended_)
      return;
    checkSilence(Each);
    watch(Each);
  });
}

void PeerLinks::Impl::checkSilence(const LinkPtr &Each) {
  const TimePoint Limit = SchedulerClock::now() - Settings_.SilenceLimit_;
  std::error_code Ignored;
  if (Each->Connecting_ && Each->ConnectingSince_ < Limit)
    Each->Connecting_->close(Ignored); // Its handler tries again.
  if (!Each->Connection_)
    return;
  if (Each->Connection_->lastReceived() < Limit) {
    ++Silent_;
    Each->Connection_->close();
    return;
  }
  const TimePoint Quiet = SchedulerClock::now() - Settings_.PingInterval_;
  if (Each->Connection_->lastReceived() <= Quiet)
    Each->Connection_->ping();
}

void PeerLinks::Impl::sendQueued(const LinkPtr &Each) {
  while (Each->Connection_ && !Each->Connection_->closed() &&
         Each->Unacknowledged_ < MaxUnacknowledged) {
    std::string Message;
    {
      const std::scoped_lock Lock(Mutex_);
      auto Found = Outboxes_.find(Each->Where_.Name_);
      if (Found == Outboxes_.end() || Found->second.Messages_.empty())
        return;
      Message = std::move(Found->second.Messages_.front());
      Found->second.Messages_.pop_front();
    }
    if (!Each->Connection_->sendMessage(Self_, std::move(Message))) {
      ++Dropped_;
      return;
    }
    ++Each->Unacknowledged_;
    ++Sent_;
  }
}

void PeerLinks::Impl::sendAll() {
  {
    const std::scoped_lock Lock(Mutex_);
    WakePosted_ = false;
  }
  for (const auto &[Name, Each] : Links_)
    sendQueued(Each);
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
    std::map<InstanceName, Outbox> Kept;
    for (const PeerAddress &Peer : Peers)
      Kept[Peer.Name_] = std::move(Impl_->Outboxes_[Peer.Name_]);
    Impl_->Outboxes_ = std::move(Kept);
  }
  asio::post(Impl_->Io_, [Impl = Impl_.get(), Peers = std::move(Peers)] {
    Impl->replacePeers(Peers);
  });
}

void PeerLinks::send(const InstanceName &To, std::string Message) {
  const std::scoped_lock Lock(Impl_->Mutex_);
  auto Found = Impl_->Outboxes_.find(To);
  const bool Refused = Found == Impl_->Outboxes_.end() ||
                       Message.size() > Impl_->Settings_.MaxMessageBytes_;
  if (Refused) {
    ++Impl_->Dropped_;
    return;
  }
  auto &Messages = Found->second.Messages_;
  if (Messages.size() >= Impl_->Settings_.MaxQueued_) {
    Messages.pop_front();
    ++Impl_->Dropped_;
  }
  Messages.push_back(std::move(Message));
  if (std::exchange(Impl_->WakePosted_, true))
    return;
  asio::post(Impl_->Io_, [Impl = Impl_.get()] { Impl->sendAll(); });
}

std::vector<PeerLinkStatus> PeerLinks::status() const {
  const std::scoped_lock Lock(Impl_->Mutex_);
  std::vector<PeerLinkStatus> Found;
  for (const auto &[Name, Each] : Impl_->Outboxes_)
    Found.push_back({Name, Each.Connected_, Each.Connects_});
  return Found;
}

PeerLinksCounts PeerLinks::counts() const {
  return {Impl_->Sent_, Impl_->Dropped_, Impl_->Silent_, Impl_->BytesSent_};
}

} // namespace filbertspring
