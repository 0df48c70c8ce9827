#include "peer_connection.h"

#include <algorithm>
#include <utility>

namespace filbertspring {

namespace {

constexpr std::size_t MaxWriteBytes = 65536;

std::string_view viewOf(const std::uint8_t *Bytes, std::size_t Length) {
  return {reinterpret_cast<const char *>(Bytes), Length};
}

nghttp2_nv makeHeader(std::string_view Name, std::string_view Value) {
  // nghttp2 copies both and does not write through these pointers.
  auto *NameBytes =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data()));
  auto *ValueBytes =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data()));
  return {NameBytes, ValueBytes, Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

PeerConnection &connectionOf(void *User) {
  return *static_cast<PeerConnection *>(User);
}

} // namespace

PeerConnection::PeerConnection(asio::ip::tcp::socket Socket, PeerRole Role,
                               std::uint32_t MaxStreams,
                               PeerConnectionHooks Hooks)
    : Socket_(std::move(Socket)), Role_(Role), MaxStreams_(MaxStreams),
      Hooks_(std::move(Hooks)), LastReceived_(SchedulerClock::now()) {}

PeerConnection::~PeerConnection() { nghttp2_session_del(Session_); }

int PeerConnection::onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                             const std::uint8_t *Name, std::size_t NameLength,
                             const std::uint8_t *Value, std::size_t ValueLength,
                             std::uint8_t, void *User) {
  const auto &Hook = connectionOf(User).Hooks_.OnHeader_;
  const bool Accepted =
      !Hook || Hook(Frame->hd.stream_id, viewOf(Name, NameLength),
                    viewOf(Value, ValueLength));
  return Accepted ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

int PeerConnection::onData(nghttp2_session *, std::uint8_t, std::int32_t Stream,
                           const std::uint8_t *Bytes, std::size_t Length,
                           void *User) {
  const auto &Hook = connectionOf(User).Hooks_.OnData_;
  const bool Accepted = !Hook || Hook(Stream, viewOf(Bytes, Length));
  return Accepted ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

int PeerConnection::onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                            void *User) {
  const bool CanEndStream =
      Frame->hd.type == NGHTTP2_DATA || Frame->hd.type == NGHTTP2_HEADERS;
  const bool HasEndStream = (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  const auto &Hook = connectionOf(User).Hooks_.OnEnd_;
  if (CanEndStream && HasEndStream && Hook)
    Hook(Frame->hd.stream_id);
  return 0;
}

int PeerConnection::onStreamClose(nghttp2_session *, std::int32_t Stream,
                                  std::uint32_t, void *User) {
  PeerConnection &Self = connectionOf(User);
  Self.OutgoingMessages_.erase(Stream);
  if (Self.Hooks_.OnStreamClosed_)
    Self.Hooks_.OnStreamClosed_(Stream);
  return 0;
}

ssize_t PeerConnection::readBody(nghttp2_session *, std::int32_t Stream,
                                 std::uint8_t *Buffer, std::size_t Length,
                                 std::uint32_t *Flags, nghttp2_data_source *,
                                 void *User) {
  auto &Messages = connectionOf(User).OutgoingMessages_;
  auto It = Messages.find(Stream);
  if (It == Messages.end())
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  OutgoingMessage &Message = It->second;
  const std::size_t Remaining = Message.Bytes_.size() - Message.Offset_;
  const std::size_t Count = std::min(Length, Remaining);
  std::copy_n(Message.Bytes_.data() + Message.Offset_, Count, Buffer);
  Message.Offset_ += Count;
  if (Message.Offset_ == Message.Bytes_.size())
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(Count);
}

bool PeerConnection::createSession() {
  nghttp2_session_callbacks *Callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&Callbacks) != 0)
    return false;
  nghttp2_session_callbacks_set_on_header_callback(Callbacks, onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks, onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks, onFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks,
                                                         onStreamClose);
  const int Status =
      Role_ == PeerRole::Server
          ? nghttp2_session_server_new(&Session_, Callbacks, this)
          : nghttp2_session_client_new(&Session_, Callbacks, this);
  nghttp2_session_callbacks_del(Callbacks);
  if (Status != 0)
    return false;
  const std::array<nghttp2_settings_entry, 2> Settings{
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams_},
       {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}}};
  // A server must not send SETTINGS_ENABLE_PUSH.
  const std::size_t Count = Role_ == PeerRole::Server ? 1 : 2;
  return nghttp2_submit_settings(Session_, NGHTTP2_FLAG_NONE, Settings.data(),
                                 Count) == 0;
}

void PeerConnection::start() {
  if (!createSession()) {
    close();
    return;
  }
  read();
  flush();
}

void PeerConnection::close() {
  if (IsClosed_)
    return;
  IsClosed_ = true;
  std::error_code Ignored;
  Socket_.close(Ignored);
  asio::post(Socket_.get_executor(), [Self = shared_from_this()] {
    if (Self->Hooks_.OnClosed_)
      Self->Hooks_.OnClosed_();
  });
}

void PeerConnection::read() {
  Socket_.async_read_some(
      asio::buffer(ReadBuffer_),
      [Self = shared_from_this()](std::error_code Error, std::size_t Count) {
        if (Error || Self->IsClosed_)
          Self->close();
        else
          Self->receive(Count);
      });
}

void PeerConnection::receive(std::size_t Count) {
  LastReceived_ = SchedulerClock::now();
  if (Hooks_.OnReceived_)
    Hooks_.OnReceived_(Count);
  if (nghttp2_session_mem_recv(Session_, ReadBuffer_.data(), Count) < 0) {
    if (Hooks_.OnViolation_)
      Hooks_.OnViolation_();
    close();
    return;
  }
  flush();
  if (!IsClosed_)
    read();
}

void PeerConnection::flush() {
  if (IsWriting_ || IsClosed_)
    return;
  WriteBuffer_.clear();
  while (WriteBuffer_.size() < MaxWriteBytes) {
    const std::uint8_t *Bytes = nullptr;
    const ssize_t Count = nghttp2_session_mem_send(Session_, &Bytes);
    if (Count < 0) {
      close();
      return;
    }
    if (Count == 0)
      break;
    WriteBuffer_.append(viewOf(Bytes, static_cast<std::size_t>(Count)));
  }
  if (WriteBuffer_.empty()) {
    const bool IsDone = nghttp2_session_want_read(Session_) == 0 &&
                        nghttp2_session_want_write(Session_) == 0;
    if (IsDone)
      close();
    return;
  }
  IsWriting_ = true;
  asio::async_write(
      Socket_, asio::buffer(WriteBuffer_),
      [Self = shared_from_this()](std::error_code Error, std::size_t Count) {
        Self->IsWriting_ = false;
        if (Self->Hooks_.OnSent_)
          Self->Hooks_.OnSent_(Count);
        if (Error)
          Self->close();
        else
          Self->flush();
      });
}

bool PeerConnection::sendMessage(const InstanceName &From,
                                 std::string Message) {
  if (IsClosed_ || !Session_)
    return false;
  const std::array<nghttp2_nv, 5> Headers{
      {makeHeader(":method", "POST"), makeHeader(":scheme", "http"),
       makeHeader(":authority", "peer"), makeHeader(":path", "/peer"),
       makeHeader(PeerNameHeader, From.str())}};
  nghttp2_data_provider Body{};
  Body.read_callback = readBody;
  const std::int32_t Stream = nghttp2_submit_request(
      Session_, nullptr, Headers.data(), Headers.size(), &Body, nullptr);
  if (Stream < 0) {
    // A connection runs out of stream ids after 2^30 messages.
    if (Stream == NGHTTP2_ERR_STREAM_ID_NOT_AVAILABLE)
      close();
    return false;
  }
  OutgoingMessages_.emplace(Stream, OutgoingMessage{std::move(Message), 0});
  flush();
  return true;
}

void PeerConnection::acknowledge(std::int32_t Stream) {
  const nghttp2_nv Status = makeHeader(":status", "204");
  nghttp2_submit_response(Session_, Stream, &Status, 1, nullptr);
}

void PeerConnection::ping() {
  if (IsClosed_ || !Session_)
    return;
  nghttp2_submit_ping(Session_, NGHTTP2_FLAG_NONE, nullptr);
  flush();
}

} // namespace filbertspring
