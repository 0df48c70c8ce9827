#ifndef FILBERTSPRING_ENTRY_DESKS_TABLE_DESK_H
#define FILBERTSPRING_ENTRY_DESKS_TABLE_DESK_H

/// \file
/// Threads that speak to the platform's table.

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

/// Reads single rows; \c Done_ is called on a table thread.
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

/// Sends a transaction.
struct TableCommit {
  Transaction Request_;
  std::function<void(CommitResult)> Done_;
};

using TableJob = std::variant<TableRead, TableScan, TableCommit>;

/// A number of threads, each with a connection of its own, behind one bounded
/// ring. Thread-safe.
class TableDesk {
public:
  TableDesk(const Settings &Values, std::size_t Threads,
            CounterRegistry &Counters);
  ~TableDesk();
  TableDesk(const TableDesk &) = delete;
  TableDesk &operator=(const TableDesk &) = delete;

  /// Queues \p Job. When the ring is full its callback is called at once, on
  /// this thread, with Unavailable or NotCommitted.
  void post(TableJob Job);

  /// Reads rows and waits for them. Errors: those of TableClient::read().
  Result<RowBatch> read(std::vector<RowKey> Keys);
  /// Reads one row and waits for it; nothing when it does not exist.
  Result<std::optional<StoredRow>> readRow(const RowKey &Key);
  /// Scans rows and waits for them. Errors: those of TableClient::scan().
  Result<RowBatch> scan(RowKind Kind, std::string Prefix = {});
  /// Sends a transaction and waits for its end.
  CommitResult commit(Transaction Request);

  /// Waits for the queued jobs and joins the threads.
  void stop();

private:
  void run(TableClient Client);

  static constexpr std::size_t RingCapacity = 1024;

  Ring<TableJob> Jobs_;
  std::vector<std::thread> Threads_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_TABLE_DESK_H
