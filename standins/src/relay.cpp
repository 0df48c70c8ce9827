#include "filbertspring/standins/relay.h"

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>
#include <vector>

namespace filbertspring {
namespace {

using asio::ip::tcp;

constexpr std::size_t ChunkBytes = 16384;

/// The mode and delay that apply to all connections of a relay.
struct RelayState {
  RelayMode Mode_ = RelayMode::Pass;
  Duration Delay_{};
};

/// A caller's connection and the matching connection to the target.
class ConnectionPair : public std::enable_shared_from_this<ConnectionPair> {
public:
  ConnectionPair(tcp::socket Caller, const RelayState &State)
      : Caller_(std::move(Caller)), Target_(Caller_.get_executor()),
        State_(State) {}

  void connect(const tcp::endpoint &Target) {
    Target_.async_connect(
        Target, [Self = shared_from_this()](std::error_code Error) {
          if (Error)
            return Self->close();
          Self->setOptions();
          Self->pass(Self->Caller_, Self->Target_, Self->ToTarget_);
          Self->pass(Self->Target_, Self->Caller_, Self->ToCaller_);
        });
  }
  void silence() { Silent_ = true; }
  void close() {
    if (Silent_ && State_.Mode_ != RelayMode::Refuse)
      return;
    Closed_ = true;
    std::error_code Ignored;
    Caller_.close(Ignored);
    Target_.close(Ignored);
  }
  bool isClosed() const { return Closed_; }

private:
  /// The chunk being forwarded in one direction.
  struct Direction {
    explicit Direction(tcp::socket &Socket) : Timer_(Socket.get_executor()) {}

    std::array<char, ChunkBytes> Chunk_{};
    asio::steady_timer Timer_;
  };

  void setOptions() {
    std::error_code Ignored;
    Caller_.set_option(tcp::no_delay(true), Ignored);
    Target_.set_option(tcp::no_delay(true), Ignored);
  }

  void pass(tcp::socket &From, tcp::socket &To, Direction &Flow) {
    From.async_read_some(asio::buffer(Flow.Chunk_),
                         [Self = shared_from_this(), &From, &To,
                          &Flow](std::error_code Error, std::size_t Count) {
                           if (Error)
                             return Self->close();
                           Flow.Timer_.expires_after(Self->State_.Delay_);
                           Flow.Timer_.async_wait([Self, &From, &To, &Flow,
                                                   Count](std::error_code) {
                             Self->write(From, To, Flow, Count);
                           });
                         });
  }

  void write(tcp::socket &From, tcp::socket &To, Direction &Flow,
             std::size_t Count) {
    if (Silent_)
      return pass(From, To, Flow); // Drops the chunk.
    asio::async_write(To, asio::buffer(Flow.Chunk_, Count),
                      [Self = shared_from_this(), &From, &To,
                       &Flow](std::error_code Error, std::size_t) {
                        if (Error)
                          return Self->close();
                        Self->pass(From, To, Flow);
                      });
  }

  tcp::socket Caller_;
  tcp::socket Target_;
  const RelayState &State_;
  Direction ToTarget_{Caller_};
  Direction ToCaller_{Caller_};
  bool Silent_ = false;
  bool Closed_ = false;
};

} // namespace

struct Relay::Impl {
  explicit Impl(const Address &Target)
      : Target_(asio::ip::make_address(Target.Host_), Target.Port_) {}

  void acceptNext() {
    Acceptor_.async_accept([this](std::error_code Error, tcp::socket Caller) {
      if (!Error)
        open(std::move(Caller));
      if (Error != asio::error::operation_aborted)
        acceptNext();
    });
  }

  void open(tcp::socket Caller) {
    if (State_.Mode_ == RelayMode::Refuse)
      return; // The destructor of the socket closes it.
    std::erase_if(Pairs_, [](const auto &Each) { return Each->isClosed(); });
    Pairs_.push_back(
        std::make_shared<ConnectionPair>(std::move(Caller), State_));
    if (State_.Mode_ == RelayMode::Blackhole)
      Pairs_.back()->silence();
    else
      Pairs_.back()->connect(Target_);
  }

  void setMode(RelayMode Mode, Duration Delay) {
    State_ = {Mode, Delay};
    for (const auto &Each : Pairs_) {
      if (Mode == RelayMode::Refuse)
        Each->close();
      else if (Mode != RelayMode::Pass)
        Each->silence();
    }
  }

  tcp::endpoint Target_;
  RelayState State_;
  asio::io_context Context_{1};
  std::vector<std::shared_ptr<ConnectionPair>> Pairs_;
  tcp::acceptor Acceptor_{Context_};
};

Relay::Relay(const Address &Target) : Impl_(std::make_unique<Impl>(Target)) {}

Relay::~Relay() = default;

Result<std::uint16_t> Relay::listen(std::uint16_t Port) {
  tcp::acceptor &Acceptor = Impl_->Acceptor_;
  tcp::endpoint Local(asio::ip::address_v4::loopback(), Port);
  std::error_code Error;
  Acceptor.open(Local.protocol(), Error);
  if (!Error)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Local, Error);
  if (!Error)
    Acceptor.listen(tcp::acceptor::max_listen_connections, Error);
  if (Error)
    return fail(Error);
  Impl_->acceptNext();
  return Acceptor.local_endpoint().port();
}

void Relay::setMode(RelayMode Mode, Duration Delay) {
  asio::post(Impl_->Context_,
             [this, Mode, Delay] { Impl_->setMode(Mode, Delay); });
}

void Relay::run() { Impl_->Context_.run(); }

void Relay::stop() { Impl_->Context_.stop(); }

} // namespace filbertspring
