#include "filbertspring/transport/async_http_server.h"

#include "http_connection.h"
#include "socket_address.h"

#include <asio/steady_timer.hpp>
#include <vector>

namespace filbertspring {
namespace {

using asio::ip::tcp;

/// Maximum number of connections that wait to be accepted.
constexpr int Backlog = 512;
/// The pause after a connection could not be accepted.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

struct AsyncHttpServer::Impl {
  Impl(EventLoop &Loop, AsyncServerLimits Limits, HttpHandler Handler,
       AsyncServerHooks Hooks, ClientBudget *Budget)
      : Acceptor_(Loop.context()), RetryTimer_(Loop.context()),
        CheckTimer_(Loop.context()) {
    State_.Limits_ = Limits;
    State_.Handler_ = std::move(Handler);
    State_.Hooks_ = std::move(Hooks);
    State_.Budget_ = Budget ? Budget : &Unlimited_;
  }

  ~Impl() {
    for (const std::shared_ptr<HttpConnection> &Each : State_.Connections_)
      Each->leaveBudget();
    *State_.IsAlive_ = false;
  }

  void accept();
  void retryAccept();
  void checkPeriodically();
  bool makeRoom();
  Status setOptions();

  ClientBudget Unlimited_;
  HttpServerState State_;
  tcp::acceptor Acceptor_;
  asio::steady_timer RetryTimer_;
  asio::steady_timer CheckTimer_;
};

/// Closes a connection in favour of a new one. Returns whether one could be
/// closed.
bool AsyncHttpServer::Impl::makeRoom() {
  State_.report(ClientRefusal::Connections);
  std::vector<std::shared_ptr<HttpConnection>> Connections(
      State_.Connections_.begin(), State_.Connections_.end());
  std::vector<ConnectionLoad> Loads;
  Loads.reserve(Connections.size());
  for (const std::shared_ptr<HttpConnection> &Each : Connections)
    Loads.push_back(Each->load());
  std::optional<std::size_t> Chosen = chooseForConnection(Loads);
  if (Chosen)
    Connections[*Chosen]->close();
  return Chosen.has_value();
}

void AsyncHttpServer::Impl::retryAccept() {
  // Probably out of file descriptors. Connections wait in the backlog until the
  // next try.
  makeRoom();
  RetryTimer_.expires_after(AcceptRetryDelay);
  RetryTimer_.async_wait(
      [this, IsAlive = State_.IsAlive_](const std::error_code &Error) {
        if (*IsAlive && !Error)
          accept();
      });
}

void AsyncHttpServer::Impl::accept() {
  Acceptor_.async_accept([this, IsAlive = State_.IsAlive_](
                             const std::error_code &Error, tcp::socket Socket) {
    if (!*IsAlive || Error == asio::error::operation_aborted)
      return;
    if (Error)
      return retryAccept();
    if (State_.Connections_.size() < State_.Limits_.MaxConnections_ ||
        makeRoom()) {
      std::error_code Ignored; // Only affects latency.
      Socket.set_option(tcp::no_delay(true), Ignored);
      auto NewConnection =
          std::make_shared<HttpConnection>(State_, std::move(Socket));
      State_.Connections_.insert(NewConnection);
      NewConnection->start();
    }
    accept();
  });
}

void AsyncHttpServer::Impl::checkPeriodically() {
  CheckTimer_.expires_after(ClientBudget::CheckInterval);
  CheckTimer_.async_wait(
      [this, IsAlive = State_.IsAlive_](const std::error_code &Error) {
        if (!*IsAlive || Error)
          return;
        State_.Budget_->check(SchedulerClock::now());
        std::vector<std::shared_ptr<HttpConnection>> Connections(
            State_.Connections_.begin(), State_.Connections_.end());
        for (const std::shared_ptr<HttpConnection> &Each : Connections)
          Each->check();
        checkPeriodically();
      });
}

Status AsyncHttpServer::Impl::setOptions() {
  std::error_code Error;
  Acceptor_.set_option(tcp::acceptor::reuse_address(true), Error);
  // Connections inherit the sizes of the buffers.
  if (!Error && State_.Limits_.ReceiveBufferBytes_ > 0)
    Acceptor_.set_option(asio::socket_base::receive_buffer_size(
                             State_.Limits_.ReceiveBufferBytes_),
                         Error);
  if (!Error && State_.Limits_.SendBufferBytes_ > 0)
    Acceptor_.set_option(
        asio::socket_base::send_buffer_size(State_.Limits_.SendBufferBytes_),
        Error);
  return Error ? fail(Error) : Status();
}

AsyncHttpServer::AsyncHttpServer(EventLoop &Loop, AsyncServerLimits Limits,
                                 HttpHandler Handler, AsyncServerHooks Hooks,
                                 ClientBudget *Budget)
    : Impl_(std::make_unique<Impl>(Loop, Limits, std::move(Handler),
                                   std::move(Hooks), Budget)) {}

AsyncHttpServer::~AsyncHttpServer() = default;

Status AsyncHttpServer::listen(const std::string &Address) {
  std::optional<tcp::endpoint> Endpoint = parseAddress(Address);
  if (!Endpoint)
    return fail(Errc::InvalidInput);
  std::error_code Error;
  Impl_->Acceptor_.open(Endpoint->protocol(), Error);
  if (Error)
    return fail(Error);
  if (Status Options = Impl_->setOptions(); !Options)
    return Options;
  Impl_->Acceptor_.bind(*Endpoint, Error);
  if (!Error)
    Impl_->Acceptor_.listen(Backlog, Error);
  if (Error)
    return fail(Error);
  Impl_->accept();
  Impl_->checkPeriodically();
  return {};
}

void AsyncHttpServer::beginDrain() { Impl_->State_.IsDraining_ = true; }

std::size_t AsyncHttpServer::inFlight() const {
  return Impl_->State_.InFlight_;
}

} // namespace filbertspring
