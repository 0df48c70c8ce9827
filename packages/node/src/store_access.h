#ifndef FILBERTSPRING_NODE_STORE_ACCESS_H
#define FILBERTSPRING_NODE_STORE_ACCESS_H

/// \file
/// Defaults shared by all callers of the store.

#include "filbertspring/base/time.h"
#include "platform/store_codec.h"

#include <string>
#include <string_view>

namespace filbertspring::node {

/// The timeout of one store call: twelve times the usual time of an answer and
/// a commit together. Short enough that a lost answer is noticed well before
/// candidates take the cell over and before a caller's deadline.
inline constexpr Duration StoreCallTimeout = std::chrono::milliseconds(900);
/// The pause after a call that the store refused or did not answer.
inline constexpr Duration StoreRetryDelay = std::chrono::milliseconds(150);

/// Returns the range that contains all rows of a partition.
inline platform::RowRange wholePartition(std::string_view Table,
                                         std::string Partition) {
  platform::RowRange Range;
  Range.Table_ = Table;
  Range.Partition_ = std::move(Partition);
  return Range;
}

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_STORE_ACCESS_H
