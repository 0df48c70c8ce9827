/// \file
/// Plays the usual load of a large cell and checks what callers get.

#include "cell_load_simulation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace filbertspring::benchmark {
namespace {

/// 1,100 workers, about 3,000 starts a second.
CellLoad largeCell() {
  CellLoad Load;
  Load.Workers_ = 1100;
  Load.TimedJobs_ = 25.7;
  Load.FillerJobs_ = 31.1;
  Load.LongRunningJobs_ = 1.2;
  Load.LongRunningFill_ = 0.7;
  Load.Seconds_ = 8;
  return Load;
}

double fraction(int Part, int Whole) {
  return static_cast<double>(Part) / std::max(1, Whole);
}

double percentile(std::vector<double> Values, double Part) {
  BOOST_REQUIRE(!Values.empty());
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Part * static_cast<double>(Values.size() - 1))];
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_large_cell_with_capacity_for_its_load)

BOOST_AUTO_TEST_CASE(serves_all_kinds_of_jobs) {
  CellResult Result = runCell(largeCell(), 1);
  // The target latency of the queues is 250 ms for two steps, of which the
  // store's transactions take some.
  constexpr double MaxWaitMs = 125;
  BOOST_TEST(percentile(Result.Timed_.WaitsMs_, 0.9) <= MaxWaitMs);
  BOOST_TEST(fraction(Result.Timed_.InTime_, Result.Timed_.Jobs_) >= 0.95);
  // Fillers may be slow, but none of them is worthless.
  BOOST_TEST(fraction(Result.Fillers_.InTime_ + Result.Fillers_.Late_,
                      Result.Fillers_.Jobs_) >= 0.95);
  BOOST_TEST(Result.LongRunningShare_ >= 0.95);
}

BOOST_AUTO_TEST_CASE(does_not_store_progress_anew_at_each_end) {
  CellResult Result = runCell(largeCell(), 1);
  // A row holds 64 KiB; a transaction takes the changes of a fraction of a
  // second and must not need several.
  double BytesPerCommit = static_cast<double>(Result.StoredBytes_) /
                          static_cast<double>(Result.Commits_);
  BOOST_TEST(BytesPerCommit <= 65536);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::benchmark
