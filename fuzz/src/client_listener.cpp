/// \file
/// Feeds a listener with split, slow and endless requests of several clients
/// under a small budget. Each byte of the input that chooses an action is
/// followed by what the action needs.

#include "filbertspring/transport/async_http_server.h"
#include "require.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <optional>

using namespace filbertspring;

namespace {

using asio::ip::tcp;

constexpr const char *Address = "127.0.0.1:17451";
constexpr std::uint16_t Port = 17451;
constexpr std::size_t MaxBodyBytes = 4096;
constexpr std::size_t Capacity = 64U << 10U;
/// One piece that is read may exceed the budget; its fields take up to 16 times
/// their bytes, and the list of fields twice that.
constexpr std::size_t PieceBytes = 2U * 16U * 8192U;
constexpr std::size_t Clients = 6;

class Harness {
public:
  Harness()
      : Budget_(Capacity),
        Server_(
            Loop_, limits(),
            [](const HttpRequest &Request, const HttpResponder &Respond) {
              // A request that was refused at its head is never handled.
              require(Request.Path_ != "/refused");
              require(Request.Body_.size() <= MaxBodyBytes);
              HttpAnswer Answer;
              Answer.Body_ = std::string(512, 'x');
              Respond(Answer);
            },
            hooks(), &Budget_) {
    require(Server_.listen(Address).has_value());
  }

  void run(std::string_view Input) {
    while (!Input.empty()) {
      auto Action = static_cast<std::uint8_t>(Input.front());
      Input.remove_prefix(1);
      std::optional<tcp::socket> &Socket = Sockets_[Action % Clients];
      if (Action >= 250) {
        passTime();
      } else if (Action >= 240) {
        Socket.reset();
      } else {
        std::size_t Size = std::min<std::size_t>(Input.size(), Action / 4 + 1);
        // The last clients repeat their bytes, so that requests become long.
        int Repeats = Action % Clients >= 4 ? 64 : 1;
        for (int Number = 0; Number < Repeats; ++Number)
          send(Socket, Input.substr(0, Size));
        Input.remove_prefix(Size);
      }
      poll();
    }
    for (std::optional<tcp::socket> &Socket : Sockets_)
      Socket.reset();
    poll();
    poll();
    require(Server_.inFlight() == 0);
  }

private:
  static AsyncServerLimits limits() {
    AsyncServerLimits Limits;
    Limits.MaxBodyBytes_ = MaxBodyBytes;
    Limits.MaxConnections_ = Clients - 1;
    return Limits;
  }

  static AsyncServerHooks hooks() {
    AsyncServerHooks Hooks;
    Hooks.CheckHead_ = [](const HttpRequest &Head) {
      HeadDecision Decision;
      Decision.MaxBodyBytes_ = MaxBodyBytes;
      if (Head.Path_ == "/refused")
        Decision.Refusal_.emplace().Status_ = 404;
      return Decision;
    };
    return Hooks;
  }

  void send(std::optional<tcp::socket> &Socket, std::string_view Bytes) {
    std::error_code Error;
    if (!Socket) {
      Socket.emplace(Loop_.context());
      Socket->connect({asio::ip::address_v4::loopback(), Port}, Error);
      Socket->non_blocking(true, Error);
    }
    Socket->write_some(asio::buffer(Bytes), Error); // It may be closed.
  }

  void passTime() {
    Budget_.check(Now_ += ClientBudget::CheckInterval);
    require(Budget_.used() <= Capacity + PieceBytes);
  }

  void poll() {
    Loop_.context().poll();
    Loop_.context().restart();
    require(Budget_.used() <= Capacity + PieceBytes);
  }

  EventLoop Loop_;
  ClientBudget Budget_;
  AsyncHttpServer Server_;
  TimePoint Now_ = SchedulerClock::now();
  std::array<std::optional<tcp::socket>, Clients> Sockets_;
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput( // NOLINT
    const std::uint8_t *Data, std::size_t Size) {
  Harness().run(toText(Data, Size));
  return 0;
}
