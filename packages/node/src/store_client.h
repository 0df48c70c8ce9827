#ifndef FILBERTSPRING_NODE_STORE_CLIENT_H
#define FILBERTSPRING_NODE_STORE_CLIENT_H

/// \file
/// The store of rows, called over the network.

#include "filbertspring/base/counters.h"
#include "filbertspring/base/result.h"
#include "filbertspring/scheduling/row_store.h"
#include "filbertspring/transport/async_http_client.h"
#include "filbertspring/transport/async_http_server.h"
#include "platform/store_codec.h"
#include "store_route.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertspring::node {

using CommitCallback = std::function<void(scheduling::CommitResult)>;
using RowsCallback = std::function<void(Result<scheduling::RowPage>)>;

/// Calls the store, through other instances while it does not serve this one.
/// Logs when the store itself is lost and when it is back.
class StoreClient {
public:
  StoreClient(EventLoop &Loop, std::string Address, CounterRegistry &Counters);

  /// Replaces the addresses of the instances that may relay calls.
  void setRelays(std::vector<std::string> Addresses);
  /// Makes a call for another instance, never through a third one. An
  /// instance that is cut off itself answers at once that nothing was sent.
  void serveRelayedCall(const HttpRequest &RelayRequest, HttpResponder Respond);
  /// Whether the store answers, directly or through others.
  bool isStoreAvailable() const {
    return Route_.isStoreAvailable(SchedulerClock::now());
  }

  void commit(const scheduling::RowTransaction &Transaction, Duration Timeout,
              CommitCallback Callback);
  /// Reads one page.
  void read(const platform::RowRange &Range, Duration Timeout,
            RowsCallback Callback);
  /// Reads all pages; Version_ is that of the first, so a feed from there
  /// misses nothing.
  void readAll(platform::RowRange Range, Duration Timeout,
               RowsCallback Callback);
  /// Reads all pages of several partitions of \p Table at once; Version_ is the
  /// lowest of their first ones. Fails if one of them fails.
  void readPartitions(std::string_view Table,
                      const std::vector<std::string> &Partitions,
                      Duration Timeout, RowsCallback Callback);
  /// Waits for changes of a table, at most \p Wait.
  void feed(std::string_view Table, std::uint64_t After, Duration Wait,
            RowsCallback Callback);

private:
  /// One call with its ways and its end.
  struct PendingCall {
    HttpRequest Request_;
    const char *Name_ = "";
    TimePoint SentAt_{};
    TimePoint Deadline_{};
    /// Doing it twice does no harm.
    bool IsIdempotent_ = true;
    /// It waits at the store, and must not block others.
    bool IsFeed_ = false;
    unsigned RelayAttempts_ = 0;
    HttpCallback Callback_;
  };
  using CallPtr = std::shared_ptr<PendingCall>;

  void readRemaining(platform::RowRange Range, Duration Timeout,
                     scheduling::RowPage Accumulated, RowsCallback Callback);
  void send(PendingCall NewCall, Duration Timeout);
  void sendDirect(const CallPtr &Call);
  void handleDirectAnswer(const CallPtr &Call, Result<HttpAnswer> Answer);
  /// Returns false if there is no way or no time.
  bool sendRelayed(const CallPtr &Call);
  void handleRelayAnswer(const CallPtr &Call, const std::string &Relay,
                         Result<HttpAnswer> Answer);
  void complete(const CallPtr &Call, Result<HttpAnswer> Answer);
  /// Notes what a direct call says about the way to the store.
  void recordDirectResult(const char *CallName, TimePoint SentAt,
                          const Result<HttpAnswer> &Answer);
  void probeStore();

  std::string Address_;
  CounterRegistry &Counters_;
  AsyncHttpClient DirectClient_;
  /// Feeds wait at the store and must not block other calls.
  AsyncHttpClient FeedClient_;
  /// Calls of other instances to the store, and own calls through them.
  AsyncHttpClient PeerCallClient_;
  AsyncHttpClient RelayClient_;
  StoreRoute Route_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_STORE_CLIENT_H
