#include "http_channel.h"

#include "deadline_stream.h"

#include <poll.h>
#include <utility>

namespace filbertspring {
namespace {

constexpr std::size_t MaxAnswerBytes = std::size_t{64} << 20U;

/// The library's client with a deadline for all reads and writes of a call.
class BoundedClient final : public httplib::ClientImpl {
public:
  explicit BoundedClient(const Address &Server)
      : ClientImpl(Server.Host_, Server.Port_) {
    set_keep_alive(true);
    set_tcp_nodelay(true);
    set_decompress(false);
  }

  /// Begins a call: drops a kept connection that was closed or carries bytes
  /// that no call asked for.
  void begin(TimePoint Deadline) {
    Deadline_ = Deadline;
    TimedOut_ = false;
    HasUnreadBytes_ = false;
    set_connection_timeout(Deadline - SchedulerClock::now());
    bool Open = is_socket_open() != 0;
    if (Open && waitForSocket(socket(), POLLIN, TimePoint()))
      stop();
  }

  bool timedOut() const { return TimedOut_; }
  bool hasUnreadBytes() const { return HasUnreadBytes_; }

private:
  bool
  process_socket(const Socket &Connection, // NOLINT
                 std::function<bool(httplib::Stream &)> Callback) override {
    DeadlineStream Stream(Connection.sock, Deadline_);
    bool Done = Callback(Stream);
    TimedOut_ = Stream.timedOut();
    HasUnreadBytes_ = Stream.hasUnreadBytes();
    return Done;
  }

  TimePoint Deadline_;
  bool TimedOut_ = false;
  bool HasUnreadBytes_ = false;
};

bool connectFailed(httplib::Error Error) {
  return Error == httplib::Error::Connection ||
         Error == httplib::Error::ConnectionTimeout;
}

/// Returns true when the end of the answer can be told from its headers.
bool isFramed(const httplib::Response &Answer) {
  return Answer.has_header("content-length") ||
         Answer.get_header_value("transfer-encoding") == "chunked";
}

} // namespace

struct HttpChannel::Impl {
  Impl(const Address &Server, std::string Zone, Duration Timeout)
      : Client_(Server), Zone_(std::move(Zone)), Timeout_(Timeout) {}

  Result<ChannelAnswer> exchange(const ChannelCall &Call);

  BoundedClient Client_;
  std::string Zone_;
  Duration Timeout_;
};

Result<ChannelAnswer> HttpChannel::Impl::exchange(const ChannelCall &Call) {
  ChannelAnswer Answer;
  bool TooLarge = false;
  httplib::Request Outgoing;
  Outgoing.method = Call.Method_;
  Outgoing.path = Call.Path_;
  Outgoing.body = Call.Body_;
  Outgoing.headers = {{"x-zone", Zone_}, {"content-type", "application/json"}};
  Outgoing.content_receiver = [&](const char *Data, std::size_t Size,
                                  std::uint64_t, std::uint64_t) {
    TooLarge = Answer.Body_.size() + Size > MaxAnswerBytes;
    if (!TooLarge)
      Answer.Body_.append(Data, Size);
    return !TooLarge;
  };
  httplib::Response Incoming;
  httplib::Error Error = httplib::Error::Success;
  bool Done = Client_.send(Outgoing, Incoming, Error);
  if (!Done && connectFailed(Error))
    return fail(Errc::ConnectFailed);
  if (TooLarge)
    return fail(Errc::MessageTooLarge);
  if (!Done)
    return fail(Client_.timedOut() ? Errc::Timeout : Errc::ConnectionLost);
  if (!isFramed(Incoming))
    return fail(Errc::TruncatedMessage);
  if (Client_.hasUnreadBytes())
    Client_.stop();
  Answer.Status_ = Incoming.status;
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
  Impl_->Client_.begin(Deadline);
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
