#ifndef FILBERTSPRING_PLATFORM_TABLE_CLIENT_H
#define FILBERTSPRING_PLATFORM_TABLE_CLIENT_H

/// \file
/// A client of the platform's transactional table.

#include "filbertspring/base/counters.h"
#include "filbertspring/base/finding.h"
#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/domain/store.h"

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace filbertspring {

/// Rows as they were read.
struct RowBatch {
  std::vector<StoredRow> Rows_;
  /// Rows that exist but could not be decoded; the place is the row's key.
  Findings Findings_;
};

/// Reads and writes rows over one connection, which is kept open between calls
/// and replaced after any failure. Used by one thread at a time; each call
/// blocks for at most the timeout, however many exchanges it needs.
class TableClient {
public:
  static constexpr std::size_t DefaultPageSize = 500;

  /// Makes a client that connects at its first call. \p Zone is the caller's
  /// availability zone. \p Counters must live longer than the client.
  TableClient(const Address &Platform, ZoneName Zone, Duration Timeout,
              CounterRegistry &Counters);
  ~TableClient();
  TableClient(TableClient &&) noexcept;
  TableClient &operator=(TableClient &&) noexcept;

  /// Reads the rows of \p Keys; rows that do not exist are left out. Errors:
  /// ConnectFailed; Timeout; ConnectionLost; Unavailable when the service
  /// refuses; InvalidJson for an answer that is not a list of rows;
  /// InvalidInput for a key that is not UTF-8.
  Result<RowBatch> read(const std::vector<RowKey> &Keys);

  /// Reads all rows of \p Kind whose names start with \p NamePrefix, in key
  /// order, by pages of \p PageSize rows. The pages are read one after the
  /// other and are no snapshot. Errors: as read().
  Result<RowBatch> scan(RowKind Kind, std::string_view NamePrefix = {},
                        std::size_t PageSize = DefaultPageSize);

  /// Sends \p Request once. NotCommitted when no byte of it was sent or the
  /// service refused it; Unknown when its answer was lost, late or garbled.
  CommitResult commit(const Transaction &Request);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_TABLE_CLIENT_H
