#include "filbertspring/transport/async_http_client.h"

#include "socket_address.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <fmt/format.h>
#include <http_parser.h>
#include <optional>
#include <unordered_map>

namespace filbertspring {
namespace {

using asio::ip::tcp;

/// A call that waits for a connection or an answer.
struct Call {
  std::string Bytes_;
  HttpCallback Callback_;
  TimePoint Deadline_;
};

std::string serialize(const std::string &Address, const HttpRequest &Request) {
  std::string Bytes = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n",
                                  Request.Method_, Request.Path_, Address);
  for (const HttpField &Field : Request.Headers_)
    Bytes += fmt::format("{}: {}\r\n", Field.Name_, Field.Value_);
  if (!Request.Body_.empty())
    Bytes += fmt::format("Content-Type: application/json\r\n"
                         "Content-Length: {}\r\n",
                         Request.Body_.size());
  Bytes += "\r\n";
  Bytes += Request.Body_;
  return Bytes;
}

} // namespace

struct AsyncHttpClient::Impl {
  struct Connection;
  /// The connections to one address and the calls that wait for one.
  struct Host {
    std::optional<tcp::endpoint> Endpoint_;
    std::vector<std::shared_ptr<Connection>> Idle_;
    std::size_t Open_ = 0;
    std::deque<Call> Queue_;
  };

  Impl(EventLoop &Loop, AsyncHttpLimits Limits) : Loop_(Loop), Limits_(Limits) {
    http_parser_settings_init(&Settings_);
    Settings_.on_body = &Impl::onBody;
    Settings_.on_header_field = &Impl::onHeaderField;
    Settings_.on_header_value = &Impl::onHeaderValue;
    Settings_.on_message_complete = &Impl::onComplete;
  }

  static int onBody(http_parser *Parser, const char *At, std::size_t Size);
  static int onHeaderField(http_parser *Parser, const char *At,
                           std::size_t Size);
  static int onHeaderValue(http_parser *Parser, const char *At,
                           std::size_t Size);
  static int onComplete(http_parser *Parser);

  void dispatch(const std::string &Address);
  void closeIdle(Host &Of);

  EventLoop &Loop_;
  AsyncHttpLimits Limits_;
  AsyncHttpCounts Counts_;
  http_parser_settings Settings_{};
  std::unordered_map<std::string, Host> Hosts_;
  /// Callbacks may outlive the client.
  std::shared_ptr<bool> IsAlive_ = std::make_shared<bool>(true);
};

/// One connection; it carries one call at a time.
struct AsyncHttpClient::Impl::Connection
    : std::enable_shared_from_this<Connection> {
  Connection(Impl &Owner, std::string Address)
      : Owner_(Owner), IsOwnerAlive_(Owner.IsAlive_),
        Address_(std::move(Address)), Socket_(Owner.Loop_.context()),
        Timer_(Owner.Loop_.context()) {
    resetParser();
  }

  void resetParser() {
    http_parser_init(&Parser_, HTTP_RESPONSE);
    Parser_.data = this;
    Answer_ = {};
    IsComplete_ = false;
    IsInValue_ = false;
  }

  void begin(Call Next, const tcp::endpoint &Endpoint) {
    Call_ = std::move(Next);
    Duration Limit = Owner_.Limits_.ConnectTimeout_;
    startTimer(Limit == Duration::zero()
                   ? Call_->Deadline_
                   : std::min(Call_->Deadline_, SchedulerClock::now() + Limit));
    Socket_.async_connect(
        Endpoint, [Self = shared_from_this()](const std::error_code &Error) {
          if (Self->isClosed())
            return;
          if (Error)
            return Self->finish(fail(Errc::ConnectFailed), false);
          Self->IsConnected_ = true;
          Self->startTimer(Self->Call_->Deadline_);
          std::error_code Ignored; // An optimization only.
          Self->Socket_.set_option(tcp::no_delay(true), Ignored);
          Self->write();
          Self->read();
        });
  }

  void reuse(Call Next) {
    Call_ = std::move(Next);
    startTimer(Call_->Deadline_);
    write();
  }

  /// Ends the call at \p End if it is not over by then.
  void startTimer(TimePoint End) {
    TimerEnd_ = End;
    Timer_.expires_after(
        std::max(End - SchedulerClock::now(), Duration::zero()));
    Timer_.async_wait([Self =
                           shared_from_this()](const std::error_code &Error) {
      if (Error || Self->isClosed() || !Self->Call_ ||
          SchedulerClock::now() < Self->TimerEnd_)
        return;
      Self->IsSilent_ = true;
      Self->finish(
          fail(Self->IsConnected_ ? Errc::OutcomeUnknown : Errc::ConnectFailed),
          false);
    });
  }

  void write() {
    resetParser();
    Owner_.Counts_.BytesSent_ += Call_->Bytes_.size();
    asio::async_write(
        Socket_, asio::buffer(Call_->Bytes_),
        [Self = shared_from_this()](const std::error_code &Error, std::size_t) {
          if (Error && !Self->isClosed())
            Self->finish(fail(Errc::OutcomeUnknown), false);
        });
  }

  /// Reads all the time, also to see that an idle connection was closed.
  void read() {
    Socket_.async_read_some(
        asio::buffer(Buffer_),
        [Self = shared_from_this()](const std::error_code &Error,
                                    std::size_t Size) {
          if (Self->isClosed())
            return;
          Self->received(Error, Size);
        });
  }

  void received(const std::error_code &Error, std::size_t Size) {
    if (Error || !Call_) {
      if (Call_ && !IsComplete_)
        http_parser_execute(&Parser_, &Owner_.Settings_, Buffer_.data(), 0);
      if (Call_ && IsComplete_)
        return finish(std::move(Answer_), false);
      return finish(fail(Errc::OutcomeUnknown), false);
    }
    Owner_.Counts_.BytesReceived_ += Size;
    std::size_t Parsed =
        http_parser_execute(&Parser_, &Owner_.Settings_, Buffer_.data(), Size);
    if (IsComplete_) {
      Answer_.Status_ = static_cast<int>(Parser_.status_code);
      bool CanReuse = Parsed == Size && http_should_keep_alive(&Parser_) != 0;
      if (CanReuse)
        read();
      return finish(std::move(Answer_), CanReuse);
    }
    bool IsTooLarge = Answer_.Body_.size() > Owner_.Limits_.MaxAnswerBytes_;
    if (Parsed != Size || IsTooLarge)
      return finish(fail(Errc::OutcomeUnknown), false);
    read();
  }

  bool isClosed() const { return IsClosed_ || !*IsOwnerAlive_; }

  /// Ends the call and keeps or closes the connection.
  void finish(Result<HttpAnswer> Outcome, bool CanReuse) {
    Timer_.cancel();
    std::optional<Call> Ended = std::move(Call_);
    Call_.reset();
    Host &Of = Owner_.Hosts_[Address_];
    if (CanReuse) {
      Of.Idle_.push_back(shared_from_this());
    } else {
      close();
      std::erase(Of.Idle_, shared_from_this());
      --Of.Open_;
      // What silenced this connection may have silenced its siblings.
      if (IsSilent_)
        Owner_.closeIdle(Of);
    }
    Owner_.dispatch(Address_);
    if (Ended)
      Ended->Callback_(std::move(Outcome));
  }

  void close() {
    IsClosed_ = true;
    Timer_.cancel();
    std::error_code Ignored; // Nothing is left to be done with the socket.
    Socket_.close(Ignored);
  }

  Impl &Owner_;
  std::shared_ptr<bool> IsOwnerAlive_;
  std::string Address_;
  tcp::socket Socket_;
  asio::steady_timer Timer_;
  TimePoint TimerEnd_{};
  std::optional<Call> Call_;
  http_parser Parser_{};
  HttpAnswer Answer_;
  bool IsConnected_ = false;
  bool IsComplete_ = false;
  bool IsInValue_ = false;
  bool IsClosed_ = false;
  bool IsSilent_ = false;
  std::array<char, 8192> Buffer_{};
};

int AsyncHttpClient::Impl::onBody(http_parser *Parser, const char *At,
                                  std::size_t Size) {
  static_cast<Connection *>(Parser->data)->Answer_.Body_.append(At, Size);
  return 0;
}

int AsyncHttpClient::Impl::onHeaderField(http_parser *Parser, const char *At,
                                         std::size_t Size) {
  auto &Of = *static_cast<Connection *>(Parser->data);
  if (Of.IsInValue_ || Of.Answer_.Headers_.empty())
    Of.Answer_.Headers_.emplace_back();
  Of.IsInValue_ = false;
  Of.Answer_.Headers_.back().Name_.append(At, Size);
  return 0;
}

int AsyncHttpClient::Impl::onHeaderValue(http_parser *Parser, const char *At,
                                         std::size_t Size) {
  auto &Of = *static_cast<Connection *>(Parser->data);
  Of.IsInValue_ = true;
  Of.Answer_.Headers_.back().Value_.append(At, Size);
  return 0;
}

int AsyncHttpClient::Impl::onComplete(http_parser *Parser) {
  static_cast<Connection *>(Parser->data)->IsComplete_ = true;
  return 0;
}

/// Gives waiting calls to idle or new connections.
void AsyncHttpClient::Impl::dispatch(const std::string &Address) {
  Host &Of = Hosts_[Address];
  while (!Of.Queue_.empty()) {
    bool HasIdle = !Of.Idle_.empty();
    if (!HasIdle && Of.Open_ >= Limits_.ConnectionsPerAddress_)
      return;
    Call Next = std::move(Of.Queue_.front());
    Of.Queue_.pop_front();
    if (Next.Deadline_ <= SchedulerClock::now()) {
      Loop_.after(Duration::zero(), [Callback = std::move(Next.Callback_)] {
        Callback(fail(Errc::ConnectFailed));
      });
      continue;
    }
    if (HasIdle) {
      std::shared_ptr<Connection> Idle = std::move(Of.Idle_.back());
      Of.Idle_.pop_back();
      Idle->reuse(std::move(Next));
      continue;
    }
    ++Of.Open_;
    ++Counts_.Connections_;
    std::make_shared<Connection>(*this, Address)
        ->begin(std::move(Next), *Of.Endpoint_);
  }
}

void AsyncHttpClient::Impl::closeIdle(Host &Of) {
  for (const std::shared_ptr<Connection> &Idle : Of.Idle_)
    Idle->close();
  Of.Open_ -= Of.Idle_.size();
  Of.Idle_.clear();
}

AsyncHttpClient::AsyncHttpClient(EventLoop &Loop, AsyncHttpLimits Limits)
    : Impl_(std::make_unique<Impl>(Loop, Limits)) {}

AsyncHttpClient::~AsyncHttpClient() { *Impl_->IsAlive_ = false; }

const AsyncHttpCounts &AsyncHttpClient::counts() const {
  return Impl_->Counts_;
}

void AsyncHttpClient::send(const std::string &Address,
                           const HttpRequest &Request, Duration Timeout,
                           HttpCallback Callback) {
  Impl::Host &Of = Impl_->Hosts_[Address];
  if (!Of.Endpoint_)
    Of.Endpoint_ = parseAddress(Address);
  if (!Of.Endpoint_) {
    Impl_->Loop_.after(Duration::zero(), [Callback = std::move(Callback)] {
      Callback(fail(Errc::ConnectFailed));
    });
    return;
  }
  ++Impl_->Counts_.Calls_;
  Call Next;
  Next.Bytes_ = serialize(Address, Request);
  Next.Callback_ = std::move(Callback);
  Next.Deadline_ = SchedulerClock::now() + Timeout;
  Of.Queue_.push_back(std::move(Next));
  Impl_->dispatch(Address);
}

} // namespace filbertspring
