#include "http_connection.h"

#include <algorithm>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <utility>

namespace filbertspring {
namespace {

/// Fields of a query that are kept. No request to these servers has as many. A
/// request line of short ones would take a hundred times its size, which the
/// budget does not count.
constexpr std::size_t MaxQueryFields = 64;

using asio::ip::tcp;

/// Memory of a connection beside its messages: the connection, its socket and
/// its entries in the event loop and the sets, rounded up.
constexpr std::size_t BaseBytes = 2048;
/// How many times its size the body of a request takes while it is handled: as
/// it was read, in the job's row, escaped in the transaction, and in the call
/// to the store, which a repeat copies.
constexpr std::size_t HandlingFactor = 6;
/// After a refusal, what the client still sends is read and dropped, since a
/// connection that is closed with unread bytes loses the response. This is
/// bounded: at least a body of legal size that was on its way.
constexpr std::size_t MaxDroppedBytes = 512U << 10U;
constexpr Duration LingerTimeout = std::chrono::seconds(2);
/// What clients are told to wait after a refusal for want of memory.
constexpr const char *MemoryRetryAfterSeconds = "1";

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

/// Separates the names and values of fields, which have no line ends.
constexpr char FieldSeparator = '\n';

enum TextPart { Url, FieldName, FieldValue };

} // namespace

HttpConnection::HttpConnection(HttpServerState &Server, tcp::socket Socket)
    : Server_(Server), IsServerAlive_(Server.IsAlive_),
      Socket_(std::move(Socket)) {
  Entry_.Bytes_ = BaseBytes;
  Entry_.Shed_ = [this] { shed(); };
  Entry_.Resume_ = [this] { resume(); };
}

void HttpConnection::start() {
  Server_.Budget_->add(Entry_);
  std::error_code Error;
  // The sockets are read once they are ready, into a shared buffer.
  Socket_.non_blocking(true, Error);
  if (Error)
    return close();
  beginRequest();
  read();
}

ConnectionLoad HttpConnection::load() const {
  Duration Pipelined = Unparsed_.empty()
                           ? Duration::zero()
                           : Server_.Budget_->now() - PipelinedSince_;
  return {Entry_.Phase_, Entry_.Bytes_, Server_.Budget_->age(Entry_),
          Pipelined};
}

void HttpConnection::beginRequest() {
  http_parser_init(&Parser_, HTTP_REQUEST);
  Parser_.data = this;
  Request_ = {};
  Refusal_.reset();
  Rejection_.reset();
  FieldText_ = {};
  FieldCount_ = 0;
  FieldBytes_ = 0;
  HeadBytes_ = 0;
  BodyBytes_ = 0;
  MaxBodyBytes_ = Server_.Limits_.MaxBodyBytes_;
  Waited_ = {};
  IsInValue_ = false;
  IsHeadDone_ = false;
  IsComplete_ = false;
  ++Number_;
  Server_.Budget_->enterPhase(Entry_, ConnectionPhase::Idle);
  charge();
}

void HttpConnection::charge() {
  std::size_t Bytes = BaseBytes + Unparsed_.capacity() + Output_.capacity() +
                      FieldText_.capacity() + FieldBytes_;
  if (Entry_.Phase_ == ConnectionPhase::Handling)
    Bytes += BodyBytes_ * HandlingFactor;
  else
    Bytes += Request_.Path_.capacity() + Request_.Body_.capacity();
  Server_.Budget_->charge(Entry_, Bytes);
}

void HttpConnection::read() {
  IsReadPending_ = true;
  Socket_.async_wait(tcp::socket::wait_read,
                     [Self = shared_from_this()](const std::error_code &Error) {
                       Self->IsReadPending_ = false;
                       if (!Self->isClosed())
                         Self->handleReadable(Error);
                     });
}

void HttpConnection::handleReadable(const std::error_code &Error) {
  // Others may have taken memory since the read began.
  if (!Error && Entry_.Phase_ != ConnectionPhase::Lingering && !isAdmitted())
    return waitForMemory();
  std::error_code ReadError = Error;
  std::size_t Size = 0;
  if (!ReadError)
    Size = Socket_.read_some(asio::buffer(Server_.ReadBuffer_), ReadError);
  if (ReadError == asio::error::would_block ||
      ReadError == asio::error::try_again)
    return read();
  if (ReadError)
    return close();
  if (Entry_.Phase_ == ConnectionPhase::Lingering)
    return dropUnread(Size);
  PipelinedSince_ = Server_.Budget_->now();
  receive(std::string_view(Server_.ReadBuffer_.data(), Size));
}

void HttpConnection::receive(std::string_view Data) {
  if (Entry_.Phase_ == ConnectionPhase::Idle)
    Server_.Budget_->enterPhase(Entry_, ConnectionPhase::Receiving);
  if (!IsHeadDone_)
    HeadBytes_ += Data.size();
  std::size_t Parsed = http_parser_execute(&Parser_, &parserSettings(),
                                           Data.data(), Data.size());
  if (Rejection_ && Refusal_)
    return refuse(*Refusal_, *Rejection_);
  if (Rejection_)
    return refuse(413, *Rejection_);
  if (IsComplete_) {
    Unparsed_.assign(Data.substr(Parsed));
    charge();
    return complete();
  }
  if (HTTP_PARSER_ERRNO(&Parser_) != HPE_OK)
    return refuse(400, ClientRefusal::Malformed);
  if (!IsHeadDone_ && HeadBytes_ > Server_.Limits_.MaxHeaderBytes_)
    return refuse(431, ClientRefusal::HeaderSize);
  charge();
  readOnceAdmitted();
}

bool HttpConnection::isAdmitted() const {
  // The list of the fields is made when the headers end.
  std::size_t Fields = IsHeadDone_ ? 0 : FieldCount_ * sizeof(HttpField);
  return Server_.Budget_->admits(Entry_, Server_.ReadBuffer_.size() + Fields);
}

void HttpConnection::readOnceAdmitted() {
  if (isAdmitted())
    return read();
  waitForMemory();
}

void HttpConnection::waitForMemory() {
  WaitBeganAt_ = Server_.Budget_->now();
  Server_.Budget_->wait(Entry_);
}

void HttpConnection::resume() {
  auto Self = shared_from_this(); // It may be closed below.
  Waited_ += Server_.Budget_->now() - WaitBeganAt_;
  if (Entry_.Phase_ == ConnectionPhase::Waiting)
    return complete();
  readOnceAdmitted();
}

/// Handles a complete request, once there is memory for it.
void HttpConnection::complete() {
  setInFlight(true);
  if (Refusal_) {
    Server_.report(ClientRefusal::Head);
    return sendAnswer(*Refusal_);
  }
  if (!Server_.Budget_->admits(Entry_, BodyBytes_ * (HandlingFactor - 1))) {
    if (Entry_.Phase_ != ConnectionPhase::Waiting)
      Server_.Budget_->enterPhase(Entry_, ConnectionPhase::Waiting);
    return waitForMemory();
  }
  dispatch();
}

void HttpConnection::dispatch() {
  Server_.Budget_->enterPhase(Entry_, ConnectionPhase::Handling);
  charge();
  Server_.Handler_(
      std::move(Request_),
      [Self = shared_from_this(), Number = Number_](const HttpAnswer &Answer) {
        if (!Self->isClosed() && Self->Number_ == Number &&
            Self->Entry_.Phase_ == ConnectionPhase::Handling)
          Self->sendAnswer(Answer);
      });
}

void HttpConnection::sendAnswer(const HttpAnswer &Answer) {
  bool KeepAlive =
      http_should_keep_alive(&Parser_) != 0 && !Server_.IsDraining_;
  Output_ = serialize(Answer, KeepAlive);
  Request_ = {};
  FieldBytes_ = 0;
  Server_.Budget_->enterPhase(Entry_, ConnectionPhase::Responding);
  charge();
  asio::async_write(Socket_, asio::buffer(Output_),
                    [Self = shared_from_this(),
                     KeepAlive](const std::error_code &Error, std::size_t) {
                      if (!Self->isClosed())
                        Self->handleWritten(Error, KeepAlive);
                    });
}

void HttpConnection::handleWritten(const std::error_code &Error,
                                   bool KeepAlive) {
  setInFlight(false);
  if (Error || !KeepAlive) {
    close();
  } else {
    Output_ = {};
    std::string Next = std::exchange(Unparsed_, {});
    beginRequest();
    if (Next.empty())
      read();
    else
      receive(Next);
  }
  Server_.Budget_->resumeWaiting();
}

void HttpConnection::refuse(int Status, ClientRefusal Reason) {
  HttpAnswer Answer;
  Answer.Status_ = Status;
  if (Status == 503)
    Answer.Headers_.push_back({"Retry-After", MemoryRetryAfterSeconds});
  refuse(Answer, Reason);
}

/// Refuses the request that is being received, which is not run, and frees its
/// memory at once.
void HttpConnection::refuse(const HttpAnswer &Answer, ClientRefusal Reason) {
  Server_.report(Reason);
  std::string Bytes = serialize(Answer, false);
  Request_ = {};
  Unparsed_ = {};
  FieldText_ = {};
  FieldBytes_ = 0;
  setInFlight(false);
  Server_.Budget_->stopWaiting(Entry_);
  std::error_code Error;
  std::size_t Written = Socket_.write_some(asio::buffer(Bytes), Error);
  if (!Error)
    Socket_.shutdown(tcp::socket::shutdown_send, Error);
  // The client does not read its earlier responses.
  if (Error || Written < Bytes.size())
    return close();
  Server_.Budget_->enterPhase(Entry_, ConnectionPhase::Lingering);
  charge();
  if (!IsReadPending_)
    read();
}

void HttpConnection::dropUnread(std::size_t Size) {
  DroppedBytes_ += Size;
  if (DroppedBytes_ > MaxDroppedBytes)
    return close();
  read();
}

void HttpConnection::shed() {
  auto Self = shared_from_this(); // It may be closed below.
  bool IsUnanswered = Entry_.Phase_ == ConnectionPhase::Receiving ||
                      Entry_.Phase_ == ConnectionPhase::Waiting;
  if (IsUnanswered)
    return refuse(503, ClientRefusal::Memory);
  Server_.report(ClientRefusal::Memory);
  close();
}

void HttpConnection::check() {
  if (isClosed())
    return;
  const AsyncServerLimits &Limits = Server_.Limits_;
  Duration Age = Server_.Budget_->age(Entry_);
  if (Entry_.IsWaiting_) {
    if (Server_.Budget_->now() - WaitBeganAt_ > Limits.MemoryTimeout_)
      refuse(503, ClientRefusal::Memory);
    return;
  }
  switch (Entry_.Phase_) {
  case ConnectionPhase::Idle:
    if (Age > Limits.IdleTimeout_)
      close();
    return;
  case ConnectionPhase::Receiving: {
    if (!IsHeadDone_) {
      if (Age - Waited_ > Limits.HeaderTimeout_)
        refuse(408, ClientRefusal::HeaderTimeout);
      return;
    }
    Duration Late =
        Server_.Budget_->now() - HeadDoneAt_ - Waited_ - Limits.BodyGrace_;
    double Due = std::chrono::duration<double>(Late).count() *
                 static_cast<double>(Limits.MinBodyRate_);
    if (static_cast<double>(BodyBytes_) < Due)
      refuse(408, ClientRefusal::BodyRate);
    return;
  }
  case ConnectionPhase::Responding:
    if (Age <= Limits.WriteTimeout_)
      return;
    Server_.report(ClientRefusal::UnreadResponse);
    return close();
  case ConnectionPhase::Lingering:
    if (Age > LingerTimeout)
      close();
    return;
  case ConnectionPhase::Waiting:
  case ConnectionPhase::Handling:
    return;
  }
}

void HttpConnection::setInFlight(bool IsInFlight) {
  if (std::exchange(IsInFlight_, IsInFlight) == IsInFlight)
    return;
  if (IsInFlight)
    ++Server_.InFlight_;
  else
    --Server_.InFlight_;
}

void HttpConnection::close() {
  if (isClosed())
    return;
  IsClosed_ = true;
  setInFlight(false);
  leaveBudget();
  std::error_code Ignored; // The socket is not used any more.
  Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  Socket_.close(Ignored);
  Request_ = {};
  Unparsed_ = {};
  Server_.Connections_.erase(shared_from_this());
}

int HttpConnection::onText(http_parser *Parser, const char *Data,
                           std::size_t Size, int Part) {
  auto &Self = *static_cast<HttpConnection *>(Parser->data);
  HttpRequest &Request = Self.Request_;
  if (Part == Url) {
    Request.Path_.append(Data, Size);
    return 0;
  }
  // Fields after a chunked body are not used.
  if (Self.IsHeadDone_)
    return 0;
  bool IsNewField =
      Part == FieldName && (Self.IsInValue_ || Self.FieldCount_ == 0);
  bool IsNewValue = Part == FieldValue && !Self.IsInValue_;
  if (IsNewValue || (IsNewField && Self.FieldCount_ > 0))
    Self.FieldText_ += FieldSeparator;
  Self.FieldCount_ += IsNewField ? 1 : 0;
  Self.IsInValue_ = Part == FieldValue;
  Self.FieldText_.append(Data, Size);
  return 0;
}

/// Makes the fields of the request from their text.
void HttpConnection::splitFields() {
  std::string Text = std::exchange(FieldText_, {});
  Request_.Headers_.reserve(FieldCount_);
  std::string_view Rest = Text;
  auto TakeItem = [&Rest] {
    std::size_t End = Rest.find(FieldSeparator);
    std::string Item(Rest.substr(0, End));
    Rest.remove_prefix(End == std::string_view::npos ? Rest.size() : End + 1);
    return Item;
  };
  for (std::size_t Number = 0; Number < FieldCount_; ++Number) {
    std::string Name = TakeItem();
    Request_.Headers_.push_back({std::move(Name), TakeItem()});
  }
  FieldBytes_ = FieldCount_ * sizeof(HttpField) + HeadBytes_;
}

/// Examines the headers of the request. Returns -1, which ends the parser, if
/// the request is refused before its body.
int HttpConnection::handleHead() {
  IsHeadDone_ = true;
  splitFields();
  HeadDoneAt_ = Server_.Budget_->now();
  Request_.Method_ = http_method_str(static_cast<http_method>(Parser_.method));
  std::size_t QueryStart = Request_.Path_.find('?');
  if (QueryStart != std::string::npos) {
    Request_.Query_ =
        parseQuery(std::string_view(Request_.Path_).substr(QueryStart + 1),
                   MaxQueryFields);
    Request_.Path_.resize(QueryStart);
  }
  if (Server_.Hooks_.CheckHead_) {
    HeadDecision Decision = Server_.Hooks_.CheckHead_(Request_);
    Refusal_ = std::move(Decision.Refusal_);
    MaxBodyBytes_ = Decision.MaxBodyBytes_;
  }
  constexpr auto Unknown = static_cast<std::uint64_t>(-1);
  bool IsTooLarge = Parser_.content_length != Unknown &&
                    Parser_.content_length > MaxBodyBytes_;
  if (!IsTooLarge)
    return 0;
  Rejection_ = Refusal_ ? ClientRefusal::Head : ClientRefusal::BodySize;
  return -1;
}

int HttpConnection::handleBody(std::string_view Data) {
  BodyBytes_ += Data.size();
  if (BodyBytes_ > MaxBodyBytes_) {
    Rejection_ = Refusal_ ? ClientRefusal::Head : ClientRefusal::BodySize;
    return -1;
  }
  if (Refusal_)
    return 0;
  std::string &Body = Request_.Body_;
  // The remaining length is known without chunks; a string that grows by itself
  // takes up to twice its size.
  if (Body.size() + Data.size() > Body.capacity())
    Body.reserve(
        std::max(BodyBytes_, std::min(2 * Body.capacity(), MaxBodyBytes_)));
  Body.append(Data);
  return 0;
}

const http_parser_settings &HttpConnection::parserSettings() {
  static const http_parser_settings Settings = [] {
    http_parser_settings Made;
    http_parser_settings_init(&Made);
    Made.on_url = [](http_parser *Parser, const char *Data, std::size_t Size) {
      return onText(Parser, Data, Size, Url);
    };
    Made.on_header_field = [](http_parser *Parser, const char *Data,
                              std::size_t Size) {
      return onText(Parser, Data, Size, FieldName);
    };
    Made.on_header_value = [](http_parser *Parser, const char *Data,
                              std::size_t Size) {
      return onText(Parser, Data, Size, FieldValue);
    };
    Made.on_headers_complete = [](http_parser *Parser) {
      return static_cast<HttpConnection *>(Parser->data)->handleHead();
    };
    Made.on_body = [](http_parser *Parser, const char *Data, std::size_t Size) {
      return static_cast<HttpConnection *>(Parser->data)
          ->handleBody(std::string_view(Data, Size));
    };
    Made.on_message_complete = [](http_parser *Parser) {
      static_cast<HttpConnection *>(Parser->data)->IsComplete_ = true;
      // Bytes of the next request stay unparsed.
      http_parser_pause(Parser, 1);
      return 0;
    };
    return Made;
  }();
  return Settings;
}

} // namespace filbertspring
