#include "filbertspring/transport/async_http_server.h"

#include "socket_address.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <http_parser.h>
#include <unordered_set>

namespace filbertspring {
namespace {

using asio::ip::tcp;

/// Maximum number of connections that wait to be accepted.
constexpr int Backlog = 512;

std::string serialize(const HttpAnswer &Answer, bool KeepAlive) {
  std::string Bytes =
      fmt::format("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n", Answer.Status_,
                  http_status_str(static_cast<http_status>(Answer.Status_)),
                  Answer.Body_.size());
  if (!Answer.Body_.empty())
    Bytes += fmt::format("Content-Type: {}\r\n", Answer.ContentType_);
  for (const HttpField &Field : Answer.Headers_)
    Bytes += fmt::format("{}: {}\r\n", Field.Name_, Field.Value_);
  if (!KeepAlive)
    Bytes += "Connection: close\r\n";
  Bytes += "\r\n";
  Bytes += Answer.Body_;
  return Bytes;
}

} // namespace

struct AsyncHttpServer::Impl {
  struct Connection;

  Impl(EventLoop &Loop, AsyncServerLimits Limits, HttpHandler Handler)
      : Loop_(Loop), Limits_(Limits), Handler_(std::move(Handler)),
        Acceptor_(Loop.context()), RetryTimer_(Loop.context()) {
    http_parser_settings_init(&Settings_);
    Settings_.on_url = &Impl::onUrl;
    Settings_.on_body = &Impl::onBody;
    Settings_.on_header_field = &Impl::onHeaderField;
    Settings_.on_header_value = &Impl::onHeaderValue;
    Settings_.on_message_complete = &Impl::onComplete;
  }

  static int onUrl(http_parser *Parser, const char *Data, std::size_t Size);
  static int onBody(http_parser *Parser, const char *Data, std::size_t Size);
  static int onHeaderField(http_parser *Parser, const char *Data,
                           std::size_t Size);
  static int onHeaderValue(http_parser *Parser, const char *Data,
                           std::size_t Size);
  static int onComplete(http_parser *Parser);

  void accept();

  EventLoop &Loop_;
  AsyncServerLimits Limits_;
  HttpHandler Handler_;
  tcp::acceptor Acceptor_;
  asio::steady_timer RetryTimer_;
  http_parser_settings Settings_{};
  std::unordered_set<std::shared_ptr<Connection>> Connections_;
  std::size_t InFlight_ = 0;
  bool IsDraining_ = false;
  std::shared_ptr<bool> IsAlive_ = std::make_shared<bool>(true);
};

/// The connection of one caller. Bytes of the next request stay unparsed until
/// the current one is answered.
struct AsyncHttpServer::Impl::Connection
    : std::enable_shared_from_this<Connection> {
  Connection(Impl &Owner, tcp::socket Socket)
      : Owner_(Owner), IsOwnerAlive_(Owner.IsAlive_),
        Socket_(std::move(Socket)), IdleTimer_(Owner.Loop_.context()) {
    beginRequest();
  }

  void beginRequest() {
    http_parser_init(&Parser_, HTTP_REQUEST);
    Parser_.data = this;
    Request_ = {};
    IsInValue_ = false;
    IsComplete_ = false;
  }

  void read() {
    IdleTimer_.expires_after(Owner_.Limits_.IdleTimeout_);
    IdleTimer_.async_wait(
        [Self = shared_from_this()](const std::error_code &Error) {
          if (!Error && !Self->isClosed() && !Self->IsAnswering_)
            Self->close();
        });
    Socket_.async_read_some(
        asio::buffer(Buffer_),
        [Self = shared_from_this()](const std::error_code &Error,
                                    std::size_t Size) {
          if (Self->isClosed())
            return;
          Self->IdleTimer_.cancel();
          if (Error)
            return Self->close();
          Self->Unparsed_.append(Self->Buffer_.data(), Size);
          Self->parse();
        });
  }

  void parse() {
    std::size_t Parsed = http_parser_execute(
        &Parser_, &Owner_.Settings_, Unparsed_.data(), Unparsed_.size());
    if (IsComplete_) {
      Unparsed_.erase(0, Parsed);
      return dispatch();
    }
    bool IsMalformed = HTTP_PARSER_ERRNO(&Parser_) != HPE_OK;
    if (IsMalformed || Request_.Body_.size() > Owner_.Limits_.MaxBodyBytes_)
      return reject(IsMalformed ? 400 : 413);
    Unparsed_.clear();
    read();
  }

  void reject(int Status) {
    HttpAnswer Answer;
    Answer.Status_ = Status;
    IsAnswering_ = true;
    MustClose_ = true;
    ++Owner_.InFlight_;
    sendAnswer(Answer);
  }

  void dispatch() {
    IsAnswering_ = true;
    KeepAlive_ = http_should_keep_alive(&Parser_) != 0;
    ++Owner_.InFlight_;
    Request_.Method_ =
        http_method_str(static_cast<http_method>(Parser_.method));
    std::size_t QueryStart = Request_.Path_.find('?');
    if (QueryStart != std::string::npos) {
      Request_.Query_ =
          parseQuery(std::string_view(Request_.Path_).substr(QueryStart + 1));
      Request_.Path_.resize(QueryStart);
    }
    Owner_.Handler_(std::move(Request_),
                    [Self = shared_from_this()](const HttpAnswer &Answer) {
                      if (!Self->isClosed() && Self->IsAnswering_)
                        Self->sendAnswer(Answer);
                    });
  }

  void sendAnswer(const HttpAnswer &Answer) {
    bool KeepAlive = KeepAlive_ && !MustClose_ && !Owner_.IsDraining_;
    Output_ = serialize(Answer, KeepAlive);
    asio::async_write(Socket_, asio::buffer(Output_),
                      [Self = shared_from_this(),
                       KeepAlive](const std::error_code &Error, std::size_t) {
                        if (Self->isClosed())
                          return;
                        --Self->Owner_.InFlight_;
                        Self->IsAnswering_ = false;
                        if (Error || !KeepAlive)
                          return Self->close();
                        Self->beginRequest();
                        if (Self->Unparsed_.empty())
                          Self->read();
                        else
                          Self->parse();
                      });
  }

  bool isClosed() const { return IsClosed_ || !*IsOwnerAlive_; }

  void close() {
    IsClosed_ = true;
    IdleTimer_.cancel();
    std::error_code Ignored; // The socket is not used any more.
    Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
    Socket_.close(Ignored);
    Owner_.Connections_.erase(shared_from_this());
  }

  Impl &Owner_;
  std::shared_ptr<bool> IsOwnerAlive_;
  tcp::socket Socket_;
  asio::steady_timer IdleTimer_;
  http_parser Parser_{};
  HttpRequest Request_;
  std::string Unparsed_;
  std::string Output_;
  bool IsInValue_ = false;
  bool IsComplete_ = false;
  bool IsAnswering_ = false;
  bool KeepAlive_ = true;
  bool MustClose_ = false;
  bool IsClosed_ = false;
  std::array<char, 4096> Buffer_{};
};

int AsyncHttpServer::Impl::onUrl(http_parser *Parser, const char *Data,
                                 std::size_t Size) {
  static_cast<Connection *>(Parser->data)->Request_.Path_.append(Data, Size);
  return 0;
}

int AsyncHttpServer::Impl::onBody(http_parser *Parser, const char *Data,
                                  std::size_t Size) {
  static_cast<Connection *>(Parser->data)->Request_.Body_.append(Data, Size);
  return 0;
}

int AsyncHttpServer::Impl::onHeaderField(http_parser *Parser, const char *Data,
                                         std::size_t Size) {
  auto &Self = *static_cast<Connection *>(Parser->data);
  if (Self.IsInValue_ || Self.Request_.Headers_.empty())
    Self.Request_.Headers_.emplace_back();
  Self.IsInValue_ = false;
  Self.Request_.Headers_.back().Name_.append(Data, Size);
  return 0;
}

int AsyncHttpServer::Impl::onHeaderValue(http_parser *Parser, const char *Data,
                                         std::size_t Size) {
  auto &Self = *static_cast<Connection *>(Parser->data);
  Self.IsInValue_ = true;
  Self.Request_.Headers_.back().Value_.append(Data, Size);
  return 0;
}

int AsyncHttpServer::Impl::onComplete(http_parser *Parser) {
  static_cast<Connection *>(Parser->data)->IsComplete_ = true;
  // Bytes of the next request stay unparsed.
  http_parser_pause(Parser, 1);
  return 0;
}

void AsyncHttpServer::Impl::accept() {
  Acceptor_.async_accept([this, IsAlive = IsAlive_](
                             const std::error_code &Error, tcp::socket Socket) {
    if (!*IsAlive || Error == asio::error::operation_aborted)
      return;
    if (Error) {
      // Probably out of file descriptors. Connections wait in the backlog until
      // the next try.
      RetryTimer_.expires_after(std::chrono::milliseconds(50));
      RetryTimer_.async_wait(
          [this, IsAlive](const std::error_code &TimerError) {
            if (*IsAlive && !TimerError)
              accept();
          });
      return;
    }
    if (Connections_.size() < Limits_.MaxConnections_) {
      std::error_code Ignored; // Only affects latency.
      Socket.set_option(tcp::no_delay(true), Ignored);
      auto NewConnection =
          std::make_shared<Connection>(*this, std::move(Socket));
      Connections_.insert(NewConnection);
      NewConnection->read();
    }
    accept();
  });
}

AsyncHttpServer::AsyncHttpServer(EventLoop &Loop, AsyncServerLimits Limits,
                                 HttpHandler Handler)
    : Impl_(std::make_unique<Impl>(Loop, Limits, std::move(Handler))) {}

AsyncHttpServer::~AsyncHttpServer() { *Impl_->IsAlive_ = false; }

Status AsyncHttpServer::listen(const std::string &Address) {
  std::optional<tcp::endpoint> Endpoint = parseAddress(Address);
  if (!Endpoint)
    return fail(Errc::InvalidInput);
  std::error_code Error;
  Impl_->Acceptor_.open(Endpoint->protocol(), Error);
  if (!Error)
    Impl_->Acceptor_.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Impl_->Acceptor_.bind(*Endpoint, Error);
  if (!Error)
    Impl_->Acceptor_.listen(Backlog, Error);
  if (Error)
    return fail(Error);
  Impl_->accept();
  return {};
}

void AsyncHttpServer::beginDrain() { Impl_->IsDraining_ = true; }

std::size_t AsyncHttpServer::inFlight() const { return Impl_->InFlight_; }

} // namespace filbertspring
