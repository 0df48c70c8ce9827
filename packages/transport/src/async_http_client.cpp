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

/// A request that waits for a connection or its answer.
struct Call {
  std::string Bytes_;
  HttpCallback Callback_;
  CallLimits Limits_;
  LoopTime Deadline_;

  bool maySend() const { return SchedulerClock::now() < Limits_.SendBefore_; }
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
    std::size_t OpenCount_ = 0;
    std::deque<Call> Queue_;
  };

  Impl(EventLoop &Loop, AsyncHttpLimits Limits) : Loop_(Loop), Limits_(Limits) {
    http_parser_settings_init(&Settings_);
    Settings_.on_body = &Impl::onBody;
    Settings_.on_header_field = &Impl::onHeaderField;
    Settings_.on_header_value = &Impl::onHeaderValue;
    Settings_.on_message_complete = &Impl::onComplete;
  }

  static int onBody(http_parser *Parser, const char *Data, std::size_t Size);
  static int onHeaderField(http_parser *Parser, const char *Data,
                           std::size_t Size);
  static int onHeaderValue(http_parser *Parser, const char *Data,
                           std::size_t Size);
  static int onComplete(http_parser *Parser);

  void dispatch(const std::string &Address);
  void closeIdle(Host &HostEntry);

  EventLoop &Loop_;
  AsyncHttpLimits Limits_;
  AsyncHttpCounts Counts_;
  http_parser_settings Settings_{};
  std::unordered_map<std::string, Host> Hosts_;
  /// False after destruction; pending handlers, which may outlive the client,
  /// check it.
  std::shared_ptr<bool> IsAlive_ = std::make_shared<bool>(true);
};

/// A connection, which carries one call at a time.
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

  void connect(Call NextCall, const tcp::endpoint &Endpoint) {
    Call_ = std::move(NextCall);
    Duration ConnectTimeout = Owner_.Limits_.ConnectTimeout_;
    startTimer(ConnectTimeout == Duration::zero()
                   ? Call_->Deadline_
                   : std::min(Call_->Deadline_,
                              Owner_.Loop_.deadlineAfter(ConnectTimeout)));
    Socket_.async_connect(
        Endpoint, [Self = shared_from_this()](const std::error_code &Error) {
          if (Self->isClosed())
            return;
          if (Error)
            return Self->finish(fail(Errc::ConnectFailed), false);
          Self->IsConnected_ = true;
          Self->startTimer(Self->Call_->Deadline_);
          std::error_code Ignored; // Only affects latency.
          Self->Socket_.set_option(tcp::no_delay(true), Ignored);
          Self->write();
          Self->read();
        });
  }

  void reuse(Call NextCall) {
    Call_ = std::move(NextCall);
    startTimer(Call_->Deadline_);
    write();
  }

  /// Fails the call if it has not ended by \p Deadline.
  void startTimer(LoopTime Deadline) {
    TimerDeadline_ = Deadline;
    Timer_.expires_after(Owner_.Loop_.timeLeft(Deadline));
    Timer_.async_wait(
        [Self = shared_from_this()](const std::error_code &Error) {
          if (!Error && !Self->isClosed() && Self->Call_)
            Self->handleTimer();
        });
  }

  void handleTimer() {
    if (!Owner_.Loop_.hasPassed(TimerDeadline_))
      return startTimer(TimerDeadline_);
    HasTimedOut_ = true;
    finish(fail(IsConnected_ ? Errc::OutcomeUnknown : Errc::ConnectFailed),
           false);
  }

  /// Writes the request, unless the time for it has passed. All requests are
  /// written here.
  void write() {
    resetParser();
    if (!Call_->maySend())
      return failUnsent();
    Owner_.Counts_.BytesSent_ += Call_->Bytes_.size();
    asio::async_write(
        Socket_, asio::buffer(Call_->Bytes_),
        [Self = shared_from_this()](const std::error_code &Error, std::size_t) {
          if (Error && !Self->isClosed())
            Self->finish(fail(Errc::OutcomeUnknown), false);
        });
  }

  /// Ends the call, of which nothing was sent, and keeps the connection. The
  /// call may have been made by the caller of this function, so its callback
  /// runs later.
  void failUnsent() {
    Timer_.cancel();
    Owner_.Loop_.after(Duration::zero(), [Self = shared_from_this()] {
      if (!Self->isClosed() && Self->Call_)
        Self->finish(fail(Errc::DeadlineExceeded), true);
    });
  }

  /// Reads continuously, also to detect that the server closed an idle
  /// connection.
  void read() {
    Socket_.async_read_some(
        asio::buffer(Buffer_),
        [Self = shared_from_this()](const std::error_code &Error,
                                    std::size_t Size) {
          if (Self->isClosed())
            return;
          Self->handleRead(Error, Size);
        });
  }

  void handleRead(const std::error_code &Error, std::size_t Size) {
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
    // The timer waits on when it finds that this deadline has not passed.
    if (Owner_.Limits_.IsTimeoutForEachPart_)
      TimerDeadline_ = Owner_.Loop_.deadlineAfter(Call_->Limits_.Timeout_);
    read();
  }

  bool isClosed() const { return IsClosed_ || !*IsOwnerAlive_; }

  /// Ends the call and keeps or closes the connection.
  void finish(Result<HttpAnswer> Outcome, bool CanReuse) {
    Timer_.cancel();
    std::optional<Call> EndedCall = std::move(Call_);
    Call_.reset();
    Host &HostEntry = Owner_.Hosts_[Address_];
    if (CanReuse) {
      HostEntry.Idle_.push_back(shared_from_this());
    } else {
      close();
      std::erase(HostEntry.Idle_, shared_from_this());
      --HostEntry.OpenCount_;
      // The cause of this timeout may affect the idle connections to the same
      // address as well.
      if (HasTimedOut_)
        Owner_.closeIdle(HostEntry);
    }
    Owner_.dispatch(Address_);
    if (EndedCall)
      EndedCall->Callback_(std::move(Outcome));
  }

  void close() {
    IsClosed_ = true;
    Timer_.cancel();
    std::error_code Ignored; // The socket is not used any more.
    Socket_.close(Ignored);
  }

  Impl &Owner_;
  std::shared_ptr<bool> IsOwnerAlive_;
  std::string Address_;
  tcp::socket Socket_;
  asio::steady_timer Timer_;
  LoopTime TimerDeadline_{};
  std::optional<Call> Call_;
  http_parser Parser_{};
  HttpAnswer Answer_;
  bool IsConnected_ = false;
  bool IsComplete_ = false;
  bool IsInValue_ = false;
  bool IsClosed_ = false;
  bool HasTimedOut_ = false;
  std::array<char, 8192> Buffer_{};
};

int AsyncHttpClient::Impl::onBody(http_parser *Parser, const char *Data,
                                  std::size_t Size) {
  static_cast<Connection *>(Parser->data)->Answer_.Body_.append(Data, Size);
  return 0;
}

int AsyncHttpClient::Impl::onHeaderField(http_parser *Parser, const char *Data,
                                         std::size_t Size) {
  auto &Self = *static_cast<Connection *>(Parser->data);
  if (Self.IsInValue_ || Self.Answer_.Headers_.empty())
    Self.Answer_.Headers_.emplace_back();
  Self.IsInValue_ = false;
  Self.Answer_.Headers_.back().Name_.append(Data, Size);
  return 0;
}

int AsyncHttpClient::Impl::onHeaderValue(http_parser *Parser, const char *Data,
                                         std::size_t Size) {
  auto &Self = *static_cast<Connection *>(Parser->data);
  Self.IsInValue_ = true;
  Self.Answer_.Headers_.back().Value_.append(Data, Size);
  return 0;
}

int AsyncHttpClient::Impl::onComplete(http_parser *Parser) {
  static_cast<Connection *>(Parser->data)->IsComplete_ = true;
  return 0;
}

/// Assigns queued calls to idle or new connections.
void AsyncHttpClient::Impl::dispatch(const std::string &Address) {
  Host &HostEntry = Hosts_[Address];
  while (!HostEntry.Queue_.empty()) {
    bool HasIdle = !HostEntry.Idle_.empty();
    if (!HasIdle && HostEntry.OpenCount_ >= Limits_.ConnectionsPerAddress_)
      return;
    Call NextCall = std::move(HostEntry.Queue_.front());
    HostEntry.Queue_.pop_front();
    bool MaySend = NextCall.maySend();
    if (!MaySend || Loop_.hasPassed(NextCall.Deadline_)) {
      Errc Cause = MaySend ? Errc::ConnectFailed : Errc::DeadlineExceeded;
      Loop_.after(Duration::zero(),
                  [Cause, Callback = std::move(NextCall.Callback_)] {
                    Callback(fail(Cause));
                  });
      continue;
    }
    if (HasIdle) {
      std::shared_ptr<Connection> Idle = std::move(HostEntry.Idle_.back());
      HostEntry.Idle_.pop_back();
      Idle->reuse(std::move(NextCall));
      continue;
    }
    ++HostEntry.OpenCount_;
    ++Counts_.Connections_;
    std::make_shared<Connection>(*this, Address)
        ->connect(std::move(NextCall), *HostEntry.Endpoint_);
  }
}

void AsyncHttpClient::Impl::closeIdle(Host &HostEntry) {
  for (const std::shared_ptr<Connection> &Idle : HostEntry.Idle_)
    Idle->close();
  HostEntry.OpenCount_ -= HostEntry.Idle_.size();
  HostEntry.Idle_.clear();
}

AsyncHttpClient::AsyncHttpClient(EventLoop &Loop, AsyncHttpLimits Limits)
    : Impl_(std::make_unique<Impl>(Loop, Limits)) {}

AsyncHttpClient::~AsyncHttpClient() { *Impl_->IsAlive_ = false; }

const AsyncHttpCounts &AsyncHttpClient::counts() const {
  return Impl_->Counts_;
}

void AsyncHttpClient::send(const std::string &Address,
                           const HttpRequest &Request, const CallLimits &Limits,
                           HttpCallback Callback) {
  Impl::Host &HostEntry = Impl_->Hosts_[Address];
  if (!HostEntry.Endpoint_)
    HostEntry.Endpoint_ = parseAddress(Address);
  if (!HostEntry.Endpoint_ || Limits.Timeout_ <= Duration::zero()) {
    Impl_->Loop_.after(Duration::zero(), [Callback = std::move(Callback)] {
      Callback(fail(Errc::ConnectFailed));
    });
    return;
  }
  ++Impl_->Counts_.Calls_;
  Call NextCall;
  NextCall.Bytes_ = serialize(Address, Request);
  NextCall.Callback_ = std::move(Callback);
  NextCall.Limits_ = Limits;
  NextCall.Deadline_ = Impl_->Loop_.deadlineAfter(Limits.Timeout_);
  HostEntry.Queue_.push_back(std::move(NextCall));
  Impl_->dispatch(Address);
}

} // namespace filbertspring
