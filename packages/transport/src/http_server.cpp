#include "filbertspring/transport/http_server.h"

#include "http_stream.h"
#include "http_thread_pool.h"

#include <atomic>
#include <string_view>
#include <thread>

namespace filbertspring {
namespace {

constexpr Duration IdleCheckInterval = std::chrono::milliseconds(100);

constexpr std::string_view OverloadAnswer =
    "HTTP/1.1 503 Service Unavailable\r\n"
    "x-outcome: not-run\r\n"
    "x-reason: too-many-connections\r\n"
    "retry-after-ms: 1000\r\n"
    "content-length: 0\r\n"
    "connection: close\r\n\r\n";

HttpRequest toRequest(const httplib::Request &Source) {
  HttpRequest Request;
  Request.Method_ = Source.method;
  Request.Path_ = Source.path;
  for (const auto &[Name, Value] : Source.params)
    Request.Query_.push_back({Name, Value});
  for (const auto &[Name, Value] : Source.headers)
    Request.Headers_.push_back({Name, Value});
  Request.Body_ = Source.body;
  return Request;
}

void fillResponse(const HttpAnswer &Answer, httplib::Response &Target) {
  Target.status = Answer.Status_;
  for (const HttpField &Field : Answer.Headers_)
    Target.set_header(Field.Name_, Field.Value_);
  Target.set_content(Answer.Body_, Answer.ContentType_);
}

/// Adds the headers of a "not run" outcome to an answer with which the library
/// rejected a request before it reached a handler.
void fillRejection(const httplib::Request &Source, httplib::Response &Target) {
  if (!Target.get_header_value("x-outcome").empty() || !Target.body.empty())
    return;
  if (Source.has_header("x-request-id"))
    Target.set_header("x-request-id", Source.get_header_value("x-request-id"));
  Target.set_header("x-outcome", "not-run");
  Target.set_header("x-reason", "malformed-request");
  Target.set_header("Connection", "close");
}

/// Set when the latest request of the connection that this thread serves
/// reached a handler. Otherwise the library may have left a part of the request
/// unread, so that the connection cannot be reused.
bool &handledFlag() {
  thread_local bool Handled = false;
  return Handled;
}

/// Replaces the library's loop over the requests of a connection by one that
/// enforces the limits of HttpServerOptions.
class BoundedServer final : public httplib::Server {
public:
  BoundedServer(const HttpServerOptions &Options) : Options_(Options) {}

  void beginDrain() { Draining_ = true; }
  void setPool(HttpThreadPool *Pool) { Pool_ = Pool; }

private:
  // NOLINTNEXTLINE(readability-identifier-naming)
  bool process_and_close_socket(socket_t Socket) override {
    StreamLimits Limits{Options_.ReadTimeout_, Options_.WriteTimeout_,
                        Options_.MaxHeaderBytes_ + Options_.MaxBodyBytes_};
    BoundedStream Stream(Socket, Limits);
    if (HttpThreadPool::isShedding())
      Stream.write(OverloadAnswer.data(), OverloadAnswer.size());
    else
      serveRequests(Stream);
    ::shutdown(Socket, SHUT_RDWR);
    ::close(Socket);
    return true;
  }

  void serveRequests(BoundedStream &Stream) {
    bool Closed = false;
    while (!Closed && waitForRequest(Stream)) {
      Stream.beginRequest();
      handledFlag() = false;
      bool Continue = process_request(Stream, Draining_, Closed, nullptr);
      if (!Continue || !handledFlag())
        return;
    }
  }

  /// Waits for the first byte of a request. Returns false when the server
  /// stops, the idle timeout expires or other connections wait for a thread.
  bool waitForRequest(const BoundedStream &Stream) const {
    TimePoint Deadline = SchedulerClock::now() + Options_.IdleTimeout_;
    while (svr_sock_ != INVALID_SOCKET && SchedulerClock::now() < Deadline) {
      if (Stream.waitReadable(IdleCheckInterval))
        return true;
      const HttpThreadPool *Pool = Pool_;
      if (Pool != nullptr && Pool->hasQueuedTasks())
        return false;
    }
    return false;
  }

  const HttpServerOptions Options_;
  std::atomic<bool> Draining_{false};
  std::atomic<HttpThreadPool *> Pool_{nullptr};
};

} // namespace

struct HttpServer::Impl {
  Impl(HttpServerOptions Options, Handler RequestHandler)
      : Options_(std::move(Options)),
        RequestHandler_(std::move(RequestHandler)), Server_(Options_) {}

  void configure();

  HttpServerOptions Options_;
  Handler RequestHandler_;
  BoundedServer Server_;
  int Port_ = 0;
  std::thread Acceptor_;
};

void HttpServer::Impl::configure() {
  Server_.set_payload_max_length(Options_.MaxBodyBytes_);
  Server_.set_tcp_nodelay(true);
  Server_.new_task_queue = [this]() -> httplib::TaskQueue * {
    // The library owns the pool and deletes it.
    auto *Pool =
        new HttpThreadPool(Options_.Threads_, Options_.MaxQueuedConnections_);
    Server_.setPool(Pool);
    return Pool;
  };
  auto Serve = [this](const httplib::Request &Source,
                      httplib::Response &Target) {
    handledFlag() = true;
    fillResponse(RequestHandler_(toRequest(Source)), Target);
  };
  constexpr const char *AnyPath = ".*";
  Server_.Get(AnyPath, Serve);
  Server_.Post(AnyPath, Serve);
  Server_.Put(AnyPath, Serve);
  Server_.Delete(AnyPath, Serve);
  Server_.set_error_handler(
      [](const httplib::Request &Source, httplib::Response &Target) {
        fillRejection(Source, Target);
      });
}

HttpServer::HttpServer(HttpServerOptions Options, Handler RequestHandler)
    : Impl_(std::make_unique<Impl>(std::move(Options),
                                   std::move(RequestHandler))) {}

HttpServer::~HttpServer() { stop(); }

Status HttpServer::start() {
  Impl_->configure();
  const Address &Listen = Impl_->Options_.Listen_;
  if (Listen.Port_ == 0) {
    Impl_->Port_ = Impl_->Server_.bind_to_any_port(Listen.Host_);
  } else if (Impl_->Server_.bind_to_port(Listen.Host_, Listen.Port_)) {
    Impl_->Port_ = Listen.Port_;
  }
  if (Impl_->Port_ <= 0)
    return fail(Errc::ConnectFailed);
  Impl_->Acceptor_ =
      std::thread([this] { Impl_->Server_.listen_after_bind(); });
  // A call of stop() before the accept loop runs would have no effect.
  while (!Impl_->Server_.is_running())
    std::this_thread::yield();
  return {};
}

std::uint16_t HttpServer::port() const {
  return static_cast<std::uint16_t>(Impl_->Port_);
}

void HttpServer::beginDrain() { Impl_->Server_.beginDrain(); }

void HttpServer::stop() {
  if (!Impl_->Acceptor_.joinable())
    return;
  Impl_->Server_.stop();
  Impl_->Acceptor_.join();
}

} // namespace filbertspring
