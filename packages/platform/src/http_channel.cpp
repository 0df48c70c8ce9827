#include "http_channel.h"

#include "deadline_stream.h"

#include <poll.h>
#include <utility>

namespace filbertspring {
namespace {

constexpr std::size_t MaxAnswerBytes = std::size_t{64} << 20U;

/// An httplib client with one deadline for all reads and writes of a call.
class DeadlineClient final : public httplib::ClientImpl {
public:
  explicit DeadlineClient(const Address &Server)
      : ClientImpl(Server.Host_, Server.Port_) {
    set_keep_alive(true);
    set_tcp_nodelay(true);
    set_decompress(false);
  }

  /// Sets the deadline of a call and closes a connection of earlier calls that
  /// the server has closed or on which unsolicited bytes have arrived.
  void beginCall(TimePoint Deadline) {
    Deadline_ = Deadline;
    TimedOut_ = false;
    HasUnreadBytes_ = false;
    set_connection_timeout(Deadline - SchedulerClock::now());
    bool IsOpen = is_socket_open() != 0;
    if (IsOpen && waitForSocket(socket(), POLLIN, TimePoint()))
      stop();
  }

  bool timedOut() const { return TimedOut_; }
  bool hasUnreadBytes() const { return HasUnreadBytes_; }

private:
  bool
  process_socket(const Socket &Connection, // NOLINT
                 std::function<bool(httplib::Stream &)> Callback) override {
    DeadlineStream Stream(Connection.sock, Deadline_);
    bool Succeeded = Callback(Stream);
    TimedOut_ = Stream.timedOut();
    HasUnreadBytes_ = Stream.hasUnreadBytes();
    return Succeeded;
  }

  TimePoint Deadline_;
  bool TimedOut_ = false;
  bool HasUnreadBytes_ = false;
};

bool isConnectError(httplib::Error Error) {
  return Error == httplib::Error::Connection ||
         Error == httplib::Error::ConnectionTimeout;
}

/// Returns true when the headers of \p Answer determine where its body ends.
/// Otherwise a truncated body cannot be distinguished from a complete one.
bool hasDelimitedBody(const httplib::Response &Answer) {
  return Answer.has_header("content-length") ||
         Answer.get_header_value("transfer-encoding") == "chunked";
}

} // namespace

struct HttpChannel::Impl {
  Impl(const Address &Server, std::string Zone, Duration Timeout)
      : Client_(Server), Zone_(std::move(Zone)), Timeout_(Timeout) {}

  Result<ChannelAnswer> exchange(const ChannelCall &Call);

  DeadlineClient Client_;
  std::string Zone_;
  Duration Timeout_;
};

Result<ChannelAnswer> HttpChannel::Impl::exchange(const ChannelCall &Call) {
  ChannelAnswer Answer;
  bool TooLarge = false;
  httplib::Request HttpRequest;
  HttpRequest.method = Call.Method_;
  HttpRequest.path = Call.Path_;
  HttpRequest.body = Call.Body_;
  HttpRequest.headers = {{"x-zone", Zone_},
                         {"content-type", "application/json"}};
  HttpRequest.content_receiver = [&](const char *Data, std::size_t Size,
                                     std::uint64_t, std::uint64_t) {
    TooLarge = Answer.Body_.size() + Size > MaxAnswerBytes;
    if (!TooLarge)
      Answer.Body_.append(Data, Size);
    return !TooLarge;
  };
  httplib::Response HttpResponse;
  httplib::Error Error = httplib::Error::Success;
  bool Succeeded = Client_.send(HttpRequest, HttpResponse, Error);
  if (!Succeeded && isConnectError(Error))
    return fail(Errc::ConnectFailed);
  if (TooLarge)
    return fail(Errc::MessageTooLarge);
  if (!Succeeded)
    return fail(Client_.timedOut() ? Errc::Timeout : Errc::ConnectionLost);
  if (!hasDelimitedBody(HttpResponse))
    return fail(Errc::TruncatedMessage);
  if (Client_.hasUnreadBytes())
    Client_.stop();
  Answer.Status_ = HttpResponse.status;
  return Answer;
}

HttpChannel::HttpChannel(const Address &Server, const ZoneName &Zone,
                         Duration Timeout)
    : Impl_(std::make_unique<Impl>(Server, Zone.str(), Timeout)) {}

HttpChannel::~HttpChannel() = default;
HttpChannel::HttpChannel(HttpChannel &&) noexcept = default;
HttpChannel &HttpChannel::operator=(HttpChannel &&) noexcept = default;

TimePoint HttpChannel::deadline() const {
  return SchedulerClock::now() + Impl_->Timeout_;
}

Result<ChannelAnswer> HttpChannel::send(const ChannelCall &Call,
                                        TimePoint Deadline) {
  if (SchedulerClock::now() >= Deadline)
    return fail(Errc::ConnectFailed);
  Impl_->Client_.beginCall(Deadline);
  Result<ChannelAnswer> Answer = fail(Errc::ConnectionLost);
  try {
    Answer = Impl_->exchange(Call);
  } catch (const std::exception &) {
    Answer = fail(Errc::ConnectionLost);
  }
  if (!Answer)
    Impl_->Client_.stop();
  return Answer;
}

} // namespace filbertspring
