#ifndef FILBERTSPRING_PLATFORM_TABLE_CODEC_H
#define FILBERTSPRING_PLATFORM_TABLE_CODEC_H

/// \file
/// JSON documents of the calls to the platform's transactional table.

#include "filbertspring/base/result.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/platform/table_client.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring {

/// The decoded answer to a read or to one request of a scan.
struct RowPage {
  RowBatch Batch_;
  /// The text form of the key of the last row, even if that row could not be
  /// decoded.
  std::string LastKey_;
  /// Whether more rows follow; false when the field is absent.
  bool More_ = false;
};

/// The start and the size of the next page of a scan.
struct ScanPosition {
  std::string Prefix_;
  /// The text form of the last key of the previous page; empty for the first
  /// page.
  std::string After_;
  std::size_t Limit_ = 0;
};

/// Returns the body of a read. Errors: InvalidInput for a key not in UTF-8.
Result<std::string> encodeRead(const std::vector<RowKey> &Keys);
/// Returns the body of a scan. Errors: InvalidInput for text not in UTF-8.
Result<std::string> encodeScan(const ScanPosition &Position);
/// Returns the body of a commit. Errors: InvalidInput for a value that cannot
/// be encoded or whose kind is not that of its key.
Result<std::string> encodeCommit(const Transaction &Request);

/// Parses the answer to a read or scan. A row that cannot be decoded is
/// reported as a finding. Errors: InvalidJson when the document is not a list
/// of rows.
Result<RowPage> decodeRowPage(std::string_view Text);
/// Parses the answer to a commit that took effect and returns the new version.
/// Errors: InvalidJson.
Result<RowVersion> decodeCommittedVersion(std::string_view Text);
/// Parses the answer to a commit that conflicts with other changes and returns
/// the keys in conflict. Errors: InvalidJson.
Result<std::vector<RowKey>> decodeConflictingKeys(std::string_view Text);

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_TABLE_CODEC_H
