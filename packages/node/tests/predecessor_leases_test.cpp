#include "predecessor_leases.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

/// The longest lease with what it may exceed it by, and the time for which an
/// owner grants leases without a confirmation.
constexpr Duration LongestLease = 6500ms;
constexpr Duration Validity = 6s;

/// An instance that reads the owner's row.
struct Reader {
  void read(std::uint64_t Tenure, const char *Holder) {
    scheduling::OwnerRecord Record;
    Record.Holder_ = Holder;
    Record.Nonce_ = "nonce";
    Record.Tenure_ = Tenure;
    Leases_.rowRead(Record, Now_);
  }
  Duration limit(Duration Silence = 0ms) {
    return Leases_.limit(Now_, Silence, LongestLease);
  }

  TimePoint Now_{100s};
  PredecessorLeases Leases_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_leases_of_a_previous_owner)

BOOST_FIXTURE_TEST_CASE(end_within_nine_seconds_of_its_release, Reader) {
  read(1, "first");
  Now_ += 20s;
  read(1, "");
  Now_ += 200ms;
  BOOST_TEST((limit() <= 9s));
  BOOST_TEST((limit() >= LongestLease - 200ms));
}

BOOST_FIXTURE_TEST_CASE(may_last_longer_if_it_was_cut_off, Reader) {
  read(1, "first");
  Now_ += 20s;
  BOOST_TEST((limit(2500ms) >= Validity + LongestLease - 2500ms));
}

BOOST_FIXTURE_TEST_CASE(may_last_longer_if_it_had_just_taken_over, Reader) {
  read(1, "first");
  Now_ += 20s;
  // The first owner may have been valid until now.
  read(2, "second");
  TimePoint Until = Now_ + Validity + LongestLease;
  Now_ += 1s;
  read(2, "");
  BOOST_TEST((Now_ + limit() >= Until));
  read(3, "third");
  read(3, "");
  BOOST_TEST((Now_ + limit() >= Until));
}

BOOST_FIXTURE_TEST_CASE(may_last_longer_if_the_release_is_all_that_was_read,
                        Reader) {
  read(4, "");
  BOOST_TEST((limit() >= Validity + LongestLease));
}

BOOST_FIXTURE_TEST_CASE(may_last_longer_if_its_row_is_unreadable, Reader) {
  read(1, "first");
  Now_ += 20s;
  Leases_.rowRead(scheduling::decodeOwnerRecord("?"), Now_);
  BOOST_TEST((limit() >= Validity + LongestLease));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
