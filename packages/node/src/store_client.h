#ifndef FILBERTSPRING_NODE_STORE_CLIENT_H
#define FILBERTSPRING_NODE_STORE_CLIENT_H

/// \file
/// Client of the row store.

#include "bulk_read_pace.h"
#include "filbertspring/base/counters.h"
#include "filbertspring/base/result.h"
#include "filbertspring/scheduling/row_store.h"
#include "filbertspring/transport/async_http_client.h"
#include "filbertspring/transport/async_http_server.h"
#include "platform/store_codec.h"
#include "store_route.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace filbertspring::node {

using CommitCallback = std::function<void(scheduling::CommitResult)>;
using RowsCallback = std::function<void(Result<scheduling::RowPage>)>;

/// Calls the store directly, or relayed by other instances while the store does
/// not serve this one. Logs when direct calls stop being served and when they
/// are served again.
class StoreClient {
public:
  StoreClient(EventLoop &Loop, std::string Address, CounterRegistry &Counters);

  /// Replaces the addresses of the instances that may relay calls.
  void setRelays(std::vector<std::string> Addresses);
  /// Makes a store call on behalf of another instance. The call is never
  /// relayed further: an instance that does not reach the store itself
  /// immediately answers that the call was not sent.
  void serveRelayedCall(const HttpRequest &RelayRequest, HttpResponder Respond);
  /// Returns whether the store answers calls, directly or relayed.
  bool isStoreAvailable() const {
    return Route_.isStoreAvailable(SchedulerClock::now());
  }

  /// Commits \p Transaction and passes its outcome to \p Callback.
  void commit(const scheduling::RowTransaction &Transaction, Duration Timeout,
              CommitCallback Callback);
  /// Reads the first page of the rows in \p Range.
  void read(const platform::RowRange &Range, Duration Timeout,
            RowsCallback Callback);
  /// Reads all pages of the rows in \p Range. The result has the version of the
  /// first page, so a change feed that starts there misses no change. A page
  /// without an answer is read again some times. \p Timeout: of one page.
  void readAll(platform::RowRange Range, Duration Timeout,
               RowsCallback Callback);
  /// Reads all pages of several partitions of \p Table in parallel. The result
  /// has the lowest version of all first pages. Fails if any read fails.
  void readPartitions(std::string_view Table,
                      const std::vector<std::string> &Partitions,
                      Duration Timeout, RowsCallback Callback);
  /// Reads the changes of \p Table after version \p After, and waits at most
  /// \p Wait for the first one.
  void feed(std::string_view Table, std::uint64_t After, Duration Wait,
            RowsCallback Callback);

private:
  /// A call with the state of its attempts.
  struct PendingCall {
    HttpRequest Request_;
    const char *Name_ = "";
    TimePoint SentAt_{};
    TimePoint Deadline_{};
    /// The call may be repeated even if it may have been carried out.
    bool IsIdempotent_ = true;
    /// The store delays its answer until there is a change.
    bool IsFeed_ = false;
    unsigned RelayAttempts_ = 0;
    HttpCallback Callback_;
  };
  using CallPtr = std::shared_ptr<PendingCall>;

  struct PagedRead;
  void readNextPage(std::shared_ptr<PagedRead> Read);
  /// Reads as many of the waiting pages as may be read at once.
  void startPageReads();
  void handlePage(const std::shared_ptr<PagedRead> &Read, TimePoint SentAt,
                  Result<scheduling::RowPage> Page);
  void send(PendingCall NewCall, Duration Timeout);
  void sendDirect(const CallPtr &Call);
  void handleDirectAnswer(const CallPtr &Call, Result<HttpAnswer> Answer);
  /// Sends \p Call to a relay. Returns false if there is no relay or too little
  /// time left.
  bool sendRelayed(const CallPtr &Call);
  void handleRelayAnswer(const CallPtr &Call, const std::string &Relay,
                         Result<HttpAnswer> Answer);
  void complete(const CallPtr &Call, Result<HttpAnswer> Answer);
  /// Updates the route from the result of a direct call, and logs a change.
  void recordDirectResult(const char *CallName, TimePoint SentAt,
                          const Result<HttpAnswer> &Answer);
  void probeStore();

  EventLoop &Loop_;
  std::string Address_;
  CounterRegistry &Counters_;
  AsyncHttpClient DirectClient_;
  /// Separate from other calls, since feeds occupy connections while they wait.
  AsyncHttpClient FeedClient_;
  /// Calls to the store on behalf of other instances.
  AsyncHttpClient PeerCallClient_;
  /// Own calls that other instances relay.
  AsyncHttpClient RelayClient_;
  StoreRoute Route_;
  BulkReadPace ReadPace_;
  std::deque<std::shared_ptr<PagedRead>> WaitingReads_;
  std::size_t PageReadsInFlight_ = 0;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_STORE_CLIENT_H
