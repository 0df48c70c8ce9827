#ifndef FILBERTSPRING_ENTRY_THREADS_TABLE_CLIENT_POOL_H
#define FILBERTSPRING_ENTRY_THREADS_TABLE_CLIENT_POOL_H

/// \file
/// A pool of threads with connections to the platform's table.

#include "filbertspring/base/counters.h"
#include "filbertspring/base/ring.h"
#include "filbertspring/config/settings.h"
#include "filbertspring/platform/table_client.h"

#include <functional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace filbertspring {

/// Reads the rows of the given keys. \c Done_ is called on a thread of the
/// pool.
struct TableRead {
  std::vector<RowKey> Keys_;
  std::function<void(Result<RowBatch>)> Done_;
};

/// Reads all rows of a kind whose names start with a prefix.
struct TableScan {
  RowKind Kind_ = RowKind::Head;
  std::string Prefix_;
  std::function<void(Result<RowBatch>)> Done_;
};

/// Commits a transaction.
struct TableCommit {
  Transaction Request_;
  std::function<void(CommitResult)> Done_;
};

using TableOperation = std::variant<TableRead, TableScan, TableCommit>;

/// A fixed number of threads, each with its own connection, which perform the
/// operations of one bounded queue. Thread-safe.
class TableClientPool {
public:
  TableClientPool(const Settings &Values, std::size_t Threads,
                  CounterRegistry &Counters);
  ~TableClientPool();
  TableClientPool(const TableClientPool &) = delete;
  TableClientPool &operator=(const TableClientPool &) = delete;

  /// Queues \p Operation. If the queue is full, the callback is called at once
  /// on the calling thread with Unavailable or NotCommitted.
  void post(TableOperation Operation);

  /// Reads rows and waits for them. Errors: those of TableClient::read().
  Result<RowBatch> read(std::vector<RowKey> Keys);
  /// Reads one row and waits for it. Returns std::nullopt if it does not exist.
  Result<std::optional<StoredRow>> readRow(const RowKey &Key);
  /// Scans rows and waits for them. Errors: those of TableClient::scan().
  Result<RowBatch> scan(RowKind Kind, std::string Prefix = {});
  /// Commits a transaction and waits for the result.
  CommitResult commit(Transaction Request);

  /// Completes the queued operations and joins the threads.
  void stop();

private:
  void run(TableClient Client);

  static constexpr std::size_t RingCapacity = 1024;

  Ring<TableOperation> Operations_;
  std::vector<std::thread> Threads_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_TABLE_CLIENT_POOL_H
