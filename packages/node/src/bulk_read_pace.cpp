#include "bulk_read_pace.h"

#include <algorithm>

namespace filbertspring::node {
namespace {

/// After this many pages in time, more and larger ones are tried. A failed try
/// costs the time of a call.
constexpr std::size_t PagesBeforeIncrease = 8;
/// Pages that time out are made smaller by this factor, so that a page fits
/// after a few tries.
constexpr std::size_t PageReduction = 4;

} // namespace

void BulkReadPace::pageArrived() {
  if (++PagesInTime_ < PagesBeforeIncrease)
    return;
  PagesInTime_ = 0;
  PageRows_ = std::min(2 * PageRows_, MaxPageRows);
  ParallelReads_ = std::min(2 * ParallelReads_, MaxParallelReads);
}

void BulkReadPace::pageFailed(TimePoint SentAt, TimePoint Now) {
  if (SentAt < ReducedAt_)
    return;
  PagesInTime_ = 0;
  ReducedAt_ = Now;
  // Reads that run at once are the more likely cause than a large page.
  if (ParallelReads_ > 1)
    ParallelReads_ = 1;
  else
    PageRows_ = std::max(PageRows_ / PageReduction, MinPageRows);
}

} // namespace filbertspring::node
