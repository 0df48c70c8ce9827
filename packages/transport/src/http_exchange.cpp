#include "filbertspring/transport/http_exchange.h"

#include <algorithm>
#include <httplib.h>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace filbertspring {
namespace {

constexpr std::size_t MaxAnswerBytes = std::size_t{8} << 20U;
constexpr Duration MaxConnectTime = std::chrono::milliseconds(500);

/// An open connection and when it was last used.
struct Connection {
  std::unique_ptr<httplib::Client> Client_;
  std::uint64_t Generation_ = 0;
  TimePoint LastUsed_;
};

/// The connections to one address.
struct Endpoint {
  std::uint64_t Generation_ = 0;
  std::vector<Connection> Idle_;
};

/// An answer while its body arrives.
struct Reception {
  TimePoint Deadline_;
  std::string Body_;

  /// Appends a part; returns false when the answer is too large or too late.
  bool append(const char *Data, std::size_t Size) {
    if (Body_.size() + Size > MaxAnswerBytes)
      return false;
    if (SchedulerClock::now() > Deadline_)
      return false;
    Body_.append(Data, Size);
    return true;
  }
};

httplib::Request toLibraryRequest(const HttpRequest &Source) {
  httplib::Request Target;
  Target.method = Source.Method_;
  Target.path = Source.Path_;
  for (const HttpField &Field : Source.Headers_)
    Target.headers.emplace(Field.Name_, Field.Value_);
  Target.body = Source.Body_;
  return Target;
}

HttpAnswer toAnswer(const httplib::Response &Source, std::string Body) {
  HttpAnswer Answer;
  Answer.Status_ = Source.status;
  for (const auto &[Name, Value] : Source.headers)
    Answer.Headers_.push_back({Name, Value});
  Answer.ContentType_ = Source.get_header_value("content-type");
  Answer.Body_ = std::move(Body);
  return Answer;
}

/// Returns true when the end of the answer can be told from its headers and it
/// names \p Request.
bool belongsTo(const httplib::Response &Answer, const RequestId &Request) {
  bool Framed = Answer.has_header("content-length") ||
                Answer.get_header_value("transfer-encoding") == "chunked";
  return Framed && Answer.get_header_value("x-request-id") == Request.str();
}

ExchangeOutcome outcomeOf(httplib::Error Error) {
  return Error == httplib::Error::Connection ? ExchangeOutcome::ConnectFailed
                                             : ExchangeOutcome::Lost;
}

} // namespace

struct ExchangePool::Impl {
  Connection take(const Address &Target, bool Fresh);
  void giveBack(const Address &Target, Connection Used);

  std::size_t MaxIdle_ = 0;
  Duration IdleLimit_{};
  std::mutex Mutex_;
  std::map<std::string, Endpoint> Endpoints_;
};

Connection ExchangePool::Impl::take(const Address &Target, bool Fresh) {
  TimePoint Oldest = SchedulerClock::now() - IdleLimit_;
  std::vector<Connection> Expired; // Closed after the lock is released.
  std::scoped_lock Lock(Mutex_);
  Endpoint &Entry = Endpoints_[Target.toString()];
  while (!Fresh && !Entry.Idle_.empty()) {
    Connection Last = std::move(Entry.Idle_.back());
    Entry.Idle_.pop_back();
    if (Last.LastUsed_ >= Oldest)
      return Last;
    Expired.push_back(std::move(Last));
  }
  return {nullptr, Entry.Generation_, {}};
}

void ExchangePool::Impl::giveBack(const Address &Target, Connection Used) {
  Used.LastUsed_ = SchedulerClock::now();
  std::scoped_lock Lock(Mutex_);
  Endpoint &Entry = Endpoints_[Target.toString()];
  bool Current = Used.Generation_ == Entry.Generation_;
  if (Current && Entry.Idle_.size() < MaxIdle_)
    Entry.Idle_.push_back(std::move(Used));
}

ExchangePool::ExchangePool(std::size_t MaxIdle, Duration IdleLimit)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->MaxIdle_ = MaxIdle;
  Impl_->IdleLimit_ = IdleLimit;
}

ExchangePool::~ExchangePool() = default;

ExchangeResult ExchangePool::exchange(const Address &Target,
                                      const HttpRequest &Request,
                                      const ExchangeOptions &Options) {
  Connection Used = Impl_->take(Target, Options.Fresh_);
  if (!Used.Client_) {
    Used.Client_ =
        std::make_unique<httplib::Client>(Target.Host_, Target.Port_);
    Used.Client_->set_keep_alive(true);
    Used.Client_->set_tcp_nodelay(true);
  }
  Used.Client_->set_connection_timeout(
      std::min(MaxConnectTime, Options.Timeout_));
  Used.Client_->set_read_timeout(Options.Timeout_);
  Used.Client_->set_write_timeout(Options.Timeout_);

  Reception Incoming{SchedulerClock::now() + Options.Timeout_, {}};
  httplib::Request Outgoing = toLibraryRequest(Request);
  Outgoing.content_receiver = [&Incoming](const char *Data, std::size_t Size,
                                          std::uint64_t, std::uint64_t) {
    return Incoming.append(Data, Size);
  };
  httplib::Response Answer;
  httplib::Error Error = httplib::Error::Success;
  if (!Used.Client_->send(Outgoing, Answer, Error))
    return {outcomeOf(Error), {}};
  if (!belongsTo(Answer, Options.Request_))
    return {ExchangeOutcome::Foreign, {}};
  if (Answer.get_header_value("connection") != "close")
    Impl_->giveBack(Target, std::move(Used));
  return {ExchangeOutcome::Answered,
          toAnswer(Answer, std::move(Incoming.Body_))};
}

void ExchangePool::dropConnections(const Address &Target) {
  std::vector<Connection> Dropped; // Closed after the lock is released.
  std::scoped_lock Lock(Impl_->Mutex_);
  Endpoint &Entry = Impl_->Endpoints_[Target.toString()];
  ++Entry.Generation_;
  Dropped.swap(Entry.Idle_);
}

} // namespace filbertspring
