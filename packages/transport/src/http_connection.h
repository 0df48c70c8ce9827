#ifndef FILBERTSPRING_TRANSPORT_HTTP_CONNECTION_H
#define FILBERTSPRING_TRANSPORT_HTTP_CONNECTION_H

/// \file
/// One connection of an AsyncHttpServer.

#include "filbertspring/transport/async_http_server.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <http_parser.h>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace filbertspring {

class HttpConnection;

/// What the connections of one server share.
struct HttpServerState {
  AsyncServerLimits Limits_;
  HttpHandler Handler_;
  AsyncServerHooks Hooks_;
  ClientBudget *Budget_ = nullptr;
  std::unordered_set<std::shared_ptr<HttpConnection>> Connections_;
  std::size_t InFlight_ = 0;
  bool IsDraining_ = false;
  std::shared_ptr<bool> IsAlive_ = std::make_shared<bool>(true);
  /// Shared, so that a connection without data takes no buffer.
  std::array<char, 8192> ReadBuffer_{};

  void report(ClientRefusal Reason) const {
    if (Hooks_.Refused_)
      Hooks_.Refused_(Reason);
  }
};

/// Reads the requests of one client and writes the responses. Bytes of the next
/// request stay unparsed until the current one is answered.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(HttpServerState &Server, asio::ip::tcp::socket Socket);

  void start();
  /// Enforces the limits of time.
  void check();
  void close();
  /// Returns the memory to the budget. Must be called before the server is
  /// destroyed.
  void leaveBudget() { Server_.Budget_->remove(Entry_); }
  ConnectionLoad load() const;

private:
  static const http_parser_settings &parserSettings();
  static int onText(http_parser *Parser, const char *Data, std::size_t Size,
                    int Part);
  void splitFields();
  int handleHead();
  int handleBody(std::string_view Data);
  void beginRequest();
  void read();
  void handleReadable(const std::error_code &Error);
  void receive(std::string_view Data);
  bool isAdmitted() const;
  void readOnceAdmitted();
  void resume();
  void shed();
  void complete();
  void dispatch();
  void sendAnswer(const HttpAnswer &Answer);
  void handleWritten(const std::error_code &Error, bool KeepAlive);
  void refuse(const HttpAnswer &Answer, ClientRefusal Reason);
  void refuse(int Status, ClientRefusal Reason);
  void dropUnread(std::size_t Size);
  void waitForMemory();
  void setInFlight(bool IsInFlight);
  void charge();
  bool isClosed() const { return IsClosed_ || !*IsServerAlive_; }

  HttpServerState &Server_;
  std::shared_ptr<bool> IsServerAlive_;
  asio::ip::tcp::socket Socket_;
  ClientBudget::Entry Entry_;
  http_parser Parser_{};
  HttpRequest Request_;
  std::string Unparsed_;
  std::string Output_;
  /// The answer to a request that was refused at the end of its headers.
  std::optional<HttpAnswer> Refusal_;
  /// Set by a callback of the parser that refuses the request at once.
  std::optional<ClientRefusal> Rejection_;
  /// The names and values of the fields until the headers end. A list of fields
  /// takes up to 16 times the memory.
  std::string FieldText_;
  std::size_t FieldCount_ = 0;
  /// The memory of the list of fields.
  std::size_t FieldBytes_ = 0;
  std::size_t HeadBytes_ = 0;
  std::size_t BodyBytes_ = 0;
  std::size_t MaxBodyBytes_ = 0;
  std::size_t DroppedBytes_ = 0;
  /// The number of the current request.
  std::uint64_t Number_ = 0;
  Duration HeadDoneAt_{};
  Duration WaitBeganAt_{};
  /// When the first of the pipelined requests was read.
  Duration PipelinedSince_{};
  /// How long the current request has waited for memory.
  Duration Waited_{};
  bool IsInValue_ = false;
  bool IsHeadDone_ = false;
  bool IsComplete_ = false;
  bool IsReadPending_ = false;
  bool IsInFlight_ = false;
  bool IsClosed_ = false;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_HTTP_CONNECTION_H
