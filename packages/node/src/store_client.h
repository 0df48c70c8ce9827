#ifndef FILBERTSPRING_NODE_STORE_CLIENT_H
#define FILBERTSPRING_NODE_STORE_CLIENT_H

/// \file
/// The store of rows, called over the network.

#include "filbertspring/base/counters.h"
#include "filbertspring/base/result.h"
#include "filbertspring/scheduling/row_store.h"
#include "filbertspring/transport/async_http_client.h"
#include "platform/store_codec.h"

#include <functional>
#include <string>

namespace filbertspring::node {

using CommitCallback = std::function<void(scheduling::CommitResult)>;
using RowsCallback = std::function<void(Result<scheduling::RowPage>)>;

/// Calls the store. Logs when it is lost and when it is back.
class StoreClient {
public:
  StoreClient(EventLoop &Loop, std::string Address, CounterRegistry &Counters);

  void commit(const scheduling::RowTransaction &Transaction, Duration Timeout,
              CommitCallback Callback);
  /// Reads one page.
  void read(const platform::RowRange &Range, Duration Timeout,
            RowsCallback Callback);
  /// Reads all pages; Version_ is that of the first, so a feed from there
  /// misses nothing.
  void readAll(platform::RowRange Range, Duration Timeout,
               RowsCallback Callback);
  /// Waits for changes of a table, at most \p Wait.
  void feed(std::string_view Table, std::uint64_t After, Duration Wait,
            RowsCallback Callback);

private:
  void readNext(platform::RowRange Range, Duration Timeout,
                scheduling::RowPage Before, RowsCallback Callback);
  void count(const char *Call, TimePoint SentAt, bool HasAnswer);

  std::string Address_;
  CounterRegistry &Counters_;
  AsyncHttpClient Calls_;
  /// Feeds wait at the store and must not block other calls.
  AsyncHttpClient Feeds_;
  bool IsLost_ = false;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_STORE_CLIENT_H
