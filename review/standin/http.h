#ifndef REVIEW_STANDIN_HTTP_H
#define REVIEW_STANDIN_HTTP_H

/// \file
/// A small HTTP/1.1 server and client on blocking sockets, one thread for each
/// connection.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Request {
  std::string Method_;
  std::string Path_;
  std::map<std::string, std::string> Query_;
  /// By names in lower case.
  std::map<std::string, std::string> Headers_;
  std::string Body_;
};

struct Answer {
  /// 0 if there was none.
  int Status_ = 0;
  std::string Body_;
};

/// Serves requests; a handler that returns nothing closes the connection
/// without an answer.
class Server {
public:
  using Handler = std::function<std::optional<Answer>(const Request &)>;

  explicit Server(Handler Handle) : Handle_(std::move(Handle)) {}
  ~Server() { stop(); }
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /// Listens on \p Port of \p Ip; 0 selects a free port. Exits with 2 if that
  /// fails.
  void start(const std::string &Ip, std::uint16_t Port);
  /// Closes the port and resets all connections, as the end of a process does.
  void stop();
  std::uint16_t port() const { return Port_; }

private:
  void acceptAll(int Listener);
  void serve(int Socket, std::uint64_t Life);

  Handler Handle_;
  std::uint16_t Port_ = 0;
  int Listener_ = -1;
  std::mutex Mutex_;
  std::set<int> Sockets_;
  std::atomic<std::uint64_t> Life_{0};
  std::atomic<int> Threads_{0};
  std::thread Acceptor_;
};

/// Sends one request on a connection of its own, and waits for the answer. The
/// connection is closed at the end of \p Timeout.
Answer call(const std::string &Ip, std::uint16_t Port,
            const std::string &Method, const std::string &Path,
            const std::string &Host, const std::string &Body,
            Milliseconds Timeout);

/// Returns a port that was free a moment ago.
std::uint16_t freePort(const std::string &Ip);

} // namespace review

#endif // REVIEW_STANDIN_HTTP_H
