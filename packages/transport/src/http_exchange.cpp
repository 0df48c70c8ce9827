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

/// A connection and the time of its last use. A connection whose generation
/// is older than that of its endpoint is not reused.
struct Connection {
  std::unique_ptr<httplib::Client> Client_;
  std::uint64_t Generation_ = 0;
  TimePoint LastUsed_;
};

/// The idle connections to one endpoint. dropConnections() increments the
/// generation.
struct EndpointConnections {
  std::uint64_t Generation_ = 0;
  std::vector<Connection> Idle_;
};

/// Collects the body of an answer.
struct AnswerReceiver {
  TimePoint Deadline_;
  std::string Body_;

  /// Appends a chunk; returns false when the answer is too large or too late.
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

/// Returns true when the headers of the answer delimit its body and repeat the
/// id \p Request.
bool matchesRequest(const httplib::Response &Answer, const RequestId &Request) {
  bool IsFramed = Answer.has_header("content-length") ||
                  Answer.get_header_value("transfer-encoding") == "chunked";
  return IsFramed && Answer.get_header_value("x-request-id") == Request.str();
}

ExchangeOutcome outcomeOfError(httplib::Error Error) {
  return Error == httplib::Error::Connection ? ExchangeOutcome::ConnectFailed
                                             : ExchangeOutcome::Lost;
}

} // namespace

struct ExchangePool::Impl {
  Connection acquire(const Address &Target, bool ForceNewConnection);
  void release(const Address &Target, Connection Borrowed);

  std::size_t MaxIdle_ = 0;
  Duration IdleTimeout_{};
  std::mutex Mutex_;
  std::map<std::string, EndpointConnections> Endpoints_;
};

Connection ExchangePool::Impl::acquire(const Address &Target,
                                       bool ForceNewConnection) {
  TimePoint OldestUse = SchedulerClock::now() - IdleTimeout_;
  std::vector<Connection> Expired; // Closed after the lock is released.
  std::scoped_lock Lock(Mutex_);
  EndpointConnections &Entry = Endpoints_[Target.toString()];
  while (!ForceNewConnection && !Entry.Idle_.empty()) {
    Connection Candidate = std::move(Entry.Idle_.back());
    Entry.Idle_.pop_back();
    if (Candidate.LastUsed_ >= OldestUse)
      return Candidate;
    Expired.push_back(std::move(Candidate));
  }
  return {nullptr, Entry.Generation_, {}};
}

void ExchangePool::Impl::release(const Address &Target, Connection Borrowed) {
  Borrowed.LastUsed_ = SchedulerClock::now();
  std::scoped_lock Lock(Mutex_);
  EndpointConnections &Entry = Endpoints_[Target.toString()];
  bool IsCurrent = Borrowed.Generation_ == Entry.Generation_;
  if (IsCurrent && Entry.Idle_.size() < MaxIdle_)
    Entry.Idle_.push_back(std::move(Borrowed));
}

ExchangePool::ExchangePool(std::size_t MaxIdle, Duration IdleTimeout)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->MaxIdle_ = MaxIdle;
  Impl_->IdleTimeout_ = IdleTimeout;
}

ExchangePool::~ExchangePool() = default;

ExchangeResult ExchangePool::exchange(const Address &Target,
                                      const HttpRequest &Request,
                                      const ExchangeOptions &Options) {
  Connection Borrowed = Impl_->acquire(Target, Options.ForceNewConnection_);
  if (!Borrowed.Client_) {
    Borrowed.Client_ =
        std::make_unique<httplib::Client>(Target.Host_, Target.Port_);
    Borrowed.Client_->set_keep_alive(true);
    Borrowed.Client_->set_tcp_nodelay(true);
  }
  Borrowed.Client_->set_connection_timeout(
      std::min(MaxConnectTime, Options.Timeout_));
  Borrowed.Client_->set_read_timeout(Options.Timeout_);
  Borrowed.Client_->set_write_timeout(Options.Timeout_);

  AnswerReceiver Receiver{SchedulerClock::now() + Options.Timeout_, {}};
  httplib::Request Outgoing = toLibraryRequest(Request);
  Outgoing.content_receiver = [&Receiver](const char *Data, std::size_t Size,
                                          std::uint64_t, std::uint64_t) {
    return Receiver.append(Data, Size);
  };
  httplib::Response Answer;
  httplib::Error Error = httplib::Error::Success;
  if (!Borrowed.Client_->send(Outgoing, Answer, Error))
    return {outcomeOfError(Error), {}};
  if (!matchesRequest(Answer, Options.Request_))
    return {ExchangeOutcome::RequestIdMismatch, {}};
  if (Answer.get_header_value("connection") != "close")
    Impl_->release(Target, std::move(Borrowed));
  return {ExchangeOutcome::Answered,
          toAnswer(Answer, std::move(Receiver.Body_))};
}

void ExchangePool::dropConnections(const Address &Target) {
  std::vector<Connection> Dropped; // Closed after the lock is released.
  std::scoped_lock Lock(Impl_->Mutex_);
  EndpointConnections &Entry = Impl_->Endpoints_[Target.toString()];
  ++Entry.Generation_;
  Dropped.swap(Entry.Idle_);
}

} // namespace filbertspring
