#ifndef FILBERTSPRING_PLATFORM_TABLE_CODEC_H
#define FILBERTSPRING_PLATFORM_TABLE_CODEC_H

/// \file
/// JSON documents of the table calls.

#include "filbertspring/base/result.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/platform/table_client.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring {

/// One answer to a read or scan.
struct RowPage {
  RowBatch Batch_;
  /// The text form of the last row's key, also when it was not decoded.
  std::string LastKey_;
  /// Whether rows follow; false when the answer does not say.
  bool More_ = false;
};

/// Where the next page of a scan starts.
struct ScanPosition {
  std::string Prefix_;
  /// The text form of the key before the page; may be empty.
  std::string After_;
  std::size_t Limit_ = 0;
};

/// Returns the body of a read. Errors: InvalidInput for a key not in UTF-8.
Result<std::string> encodeRead(const std::vector<RowKey> &Keys);
/// Returns the body of a scan. Errors: InvalidInput for text not in UTF-8.
Result<std::string> encodeScan(const ScanPosition &Position);
/// Returns the body of a commit. Errors: InvalidInput for a value that cannot
/// be encoded or is not of its key's kind.
Result<std::string> encodeCommit(const Transaction &Request);

/// Parses the answer to a read or scan. A row that cannot be decoded becomes a
/// finding. Errors: InvalidJson when the document is not a list of rows.
Result<RowPage> decodeRowPage(std::string_view Text);
/// Parses the answer to a commit that took effect. Errors: InvalidJson.
Result<RowVersion> decodeCommitted(std::string_view Text);
/// Parses the answer to a commit in conflict. Errors: InvalidJson.
Result<std::vector<RowKey>> decodeConflicts(std::string_view Text);

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_TABLE_CODEC_H
