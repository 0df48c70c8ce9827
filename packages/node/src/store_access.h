#ifndef FILBERTSPRING_NODE_STORE_ACCESS_H
#define FILBERTSPRING_NODE_STORE_ACCESS_H

/// \file
/// What readings and writings of the cell's rows share.

#include "filbertspring/base/time.h"
#include "platform/store_codec.h"

#include <string>
#include <string_view>

namespace filbertspring::node {

/// The longest wait for one call of the store: twelve times its usual answer
/// and commit together. A lost answer is noticed well before candidates take
/// the cell over, and before a caller's deadline.
inline constexpr Duration StoreCallTimeout = std::chrono::milliseconds(900);
/// The pause after a call that the store refused or lost.
inline constexpr Duration StoreRetryDelay = std::chrono::milliseconds(150);

/// Returns the range of all rows of a partition.
inline platform::RowRange wholePartition(std::string_view Table,
                                         std::string Partition) {
  platform::RowRange Range;
  Range.Table_ = Table;
  Range.Partition_ = std::move(Partition);
  return Range;
}

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_STORE_ACCESS_H
