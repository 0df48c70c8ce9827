#include "filbertspring/standins/loopback_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <optional>
#include <utility>

namespace filbertspring {
namespace {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using net::ip::tcp;

constexpr std::uint64_t MaxBodyBytes = std::uint64_t{64} << 20U;

LoopbackRequest toRequest(http::request<http::string_body> &&Source) {
  LoopbackRequest Request;
  Request.Method_ = std::string(Source.method_string());
  Request.Path_ = std::string(Source.target());
  for (const auto &Field : Source)
    Request.Fields_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body_ = std::move(Source.body());
  return Request;
}

http::response<http::string_body> toResponse(LoopbackReply &&Source) {
  http::response<http::string_body> Response;
  Response.result(static_cast<unsigned>(Source.Status_));
  for (const LoopbackField &Field : Source.Fields_)
    Response.set(Field.Name_, Field.Value_);
  Response.body() = std::move(Source.Body_);
  Response.prepare_payload();
  return Response;
}

/// One connection; it lives as long as an operation or a sender refers to it.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Socket, const LoopbackHandler &Handler)
      : Stream_(std::move(Socket)), Handler_(Handler) {
    beast::error_code Ignored;
    Stream_.socket().set_option(tcp::no_delay(true), Ignored);
  }

  void readNext() {
    Parser_.emplace();
    Parser_->body_limit(MaxBodyBytes);
    http::async_read(
        Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (!Error)
            Self->handle();
        });
  }

private:
  void handle() {
    KeepAlive_ = Parser_->get().keep_alive();
    Handler_(toRequest(Parser_->release()),
             [Self = shared_from_this()](LoopbackReply Reply) {
               Self->reply(std::move(Reply));
             });
  }

  void reply(LoopbackReply &&Reply) {
    ReplyFault Fault = Reply.Fault_;
    if (Fault == ReplyFault::Close)
      return close();
    Response_ = toResponse(std::move(Reply));
    Response_.keep_alive(KeepAlive_);
    if (Fault == ReplyFault::Truncate)
      return writeHalf();
    http::async_write(
        Stream_, Response_,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (!Error && Self->KeepAlive_)
            Self->readNext();
          else
            Self->close();
        });
  }

  void writeHalf() {
    Half_ = Response_.body().substr(0, Response_.body().size() / 2);
    Header_.emplace(Response_);
    http::async_write_header(
        Stream_, *Header_,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (Error)
            return Self->close();
          net::async_write(
              Self->Stream_, net::buffer(Self->Half_),
              [Self](beast::error_code, std::size_t) { Self->close(); });
        });
  }

  void close() {
    beast::error_code Ignored;
    Stream_.socket().shutdown(tcp::socket::shutdown_both, Ignored);
    Stream_.socket().close(Ignored);
  }

  beast::tcp_stream Stream_;
  const LoopbackHandler &Handler_;
  beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  http::response<http::string_body> Response_;
  std::optional<http::response_serializer<http::string_body>> Header_;
  std::string Half_;
  bool KeepAlive_ = false;
};

} // namespace

std::string LoopbackRequest::field(std::string_view Name) const {
  for (const LoopbackField &Each : Fields_)
    if (beast::iequals(Each.Name_,
                       beast::string_view(Name.data(), Name.size())))
      return Each.Value_;
  return {};
}

struct LoopbackServer::Impl {
  explicit Impl(LoopbackHandler Handler) : Handler_(std::move(Handler)) {}

  void acceptNext() {
    Acceptor_.async_accept([this](beast::error_code Error, tcp::socket Socket) {
      if (!Error)
        std::make_shared<Session>(std::move(Socket), Handler_)->readNext();
      if (Error != net::error::operation_aborted)
        acceptNext();
    });
  }

  LoopbackHandler Handler_;
  net::io_context Context_{1};
  tcp::acceptor Acceptor_{Context_};
  net::signal_set Signals_{Context_};
};

LoopbackServer::LoopbackServer(LoopbackHandler Handler)
    : Impl_(std::make_unique<Impl>(std::move(Handler))) {}

LoopbackServer::~LoopbackServer() = default;

Result<std::uint16_t> LoopbackServer::listen(std::uint16_t Port) {
  tcp::acceptor &Acceptor = Impl_->Acceptor_;
  tcp::endpoint Local(net::ip::address_v4::loopback(), Port);
  beast::error_code Error;
  Acceptor.open(Local.protocol(), Error);
  if (!Error)
    Acceptor.set_option(net::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Local, Error);
  if (!Error)
    Acceptor.listen(net::socket_base::max_listen_connections, Error);
  if (Error)
    return fail(std::error_code(Error.value(), std::system_category()));
  Impl_->acceptNext();
  return Acceptor.local_endpoint().port();
}

void LoopbackServer::stopOnSignal() {
  Impl_->Signals_.add(SIGTERM);
  Impl_->Signals_.add(SIGINT);
  Impl_->Signals_.async_wait([this](beast::error_code Error, int) {
    if (!Error)
      stop();
  });
}

void LoopbackServer::after(Duration Delay, std::function<void()> Action) {
  auto Timer = std::make_shared<net::steady_timer>(Impl_->Context_, Delay);
  Timer->async_wait(
      [Timer, Action = std::move(Action)](beast::error_code Error) {
        if (!Error)
          Action();
      });
}

void LoopbackServer::run() { Impl_->Context_.run(); }

void LoopbackServer::stop() { Impl_->Context_.stop(); }

} // namespace filbertspring
