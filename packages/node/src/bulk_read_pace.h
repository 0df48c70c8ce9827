#ifndef FILBERTSPRING_NODE_BULK_READ_PACE_H
#define FILBERTSPRING_NODE_BULK_READ_PACE_H

/// \file
/// Decides how large the pages of a bulk read are and how many are read at
/// once.
///
/// All pages share the link of the instance. On a slow link, large pages that
/// are read at once delay each other beyond the timeout of a call, so that none
/// of them ever arrives.

#include "filbertspring/base/time.h"

#include <cstddef>

namespace filbertspring::node {

/// The pace of an instance's bulk reads. Pages become smaller and fewer when
/// one does not arrive, and larger again after a series that did. Does no I/O
/// itself.
class BulkReadPace {
public:
  /// The most rows that the store returns in one page.
  static constexpr std::size_t MaxPageRows = 500;
  /// The fewest rows of a page.
  static constexpr std::size_t MinPageRows = 1;
  /// The number of reads at once that hides the round trips to the store.
  static constexpr std::size_t MaxParallelReads = 4;

  std::size_t pageRows() const { return PageRows_; }
  std::size_t parallelReads() const { return ParallelReads_; }

  /// Notes a page that arrived in time.
  void pageArrived();
  /// Notes at \p Now that a page which was requested at \p SentAt did not
  /// arrive, because it was too late or too large. Pages that were requested
  /// before the last reduction change nothing.
  void pageFailed(TimePoint SentAt, TimePoint Now);

private:
  std::size_t PageRows_ = MaxPageRows;
  std::size_t ParallelReads_ = MaxParallelReads;
  /// The number of pages that arrived in time since the last change.
  std::size_t PagesInTime_ = 0;
  TimePoint ReducedAt_{};
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_BULK_READ_PACE_H
