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

/// The rows that a read or a scan returned.
struct RowBatch {
  std::vector<StoredRow> Rows_;
  /// Rows that exist but could not be decoded; the place of a finding is the
  /// row's key.
  Findings Findings_;
};

/// Reads and writes rows over one connection, which is kept open between calls
/// and replaced after any failure. Used by one thread at a time; each call
/// blocks for at most the timeout, regardless of how many HTTP requests it
/// sends.
class TableClient {
public:
  static constexpr std::size_t DefaultPageSize = 500;

  /// Creates a client that connects on its first call. \p Zone is the
  /// availability zone of the caller. \p Counters must outlive the client.
  TableClient(const Address &Platform, const ZoneName &Zone, Duration Timeout,
              CounterRegistry &Counters);
  ~TableClient();
  TableClient(TableClient &&) noexcept;
  TableClient &operator=(TableClient &&) noexcept;

  /// Reads the rows of \p Keys; rows that do not exist are omitted. Errors:
  /// ConnectFailed; Timeout; ConnectionLost; Unavailable when the service
  /// refuses; InvalidJson for an answer that is not a list of rows;
  /// InvalidInput for a key that is not UTF-8.
  Result<RowBatch> read(const std::vector<RowKey> &Keys);

  /// Reads all rows of \p Kind whose names start with \p NamePrefix, in key
  /// order, in pages of \p PageSize rows. Each page is a separate read, so the
  /// result is not a consistent snapshot. Errors: as for read().
  Result<RowBatch> scan(RowKind Kind, std::string_view NamePrefix = {},
                        std::size_t PageSize = DefaultPageSize);

  /// Sends \p Request once, without retries. The outcome is NotCommitted when
  /// no byte of the request was sent or the service refused it, and Unknown
  /// when the answer was lost, late or malformed.
  CommitResult commit(const Transaction &Request);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_TABLE_CLIENT_H
