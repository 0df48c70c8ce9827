#include "filbertspring/scheduling/owner_lease.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::scheduling {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{100s};

OwnerRecord makeRecord(const char *Holder) {
  OwnerRecord Record;
  Record.Holder_ = Holder;
  Record.Nonce_ = std::string("nonce-") + Holder;
  Record.Tenure_ = 3;
  return Record;
}

OwnerLease candidate() { return OwnerLease(makeRecord("me"), {}); }

BOOST_AUTO_TEST_SUITE(a_candidate)

BOOST_AUTO_TEST_CASE(takes_a_cell_that_nobody_ever_owned_after_a_while) {
  OwnerLease Lease = candidate();
  BOOST_TEST(!Lease.shouldTakeOver(Start));
  Lease.rowRead({}, 0, Start);
  BOOST_TEST(!Lease.shouldTakeOver(Start));
  Lease.rowUnchanged(Start + 800ms);
  BOOST_TEST(Lease.shouldTakeOver(Start + 800ms));
}

BOOST_AUTO_TEST_CASE(leaves_the_cell_to_a_stronger_one_first) {
  OwnerLease Weak = candidate();
  Weak.setTakeoverDelay(takeoverDelay(0.07, 0.5));
  Weak.rowRead(makeRecord("other"), 5, Start);
  Weak.rowUnchanged(Start + 3900ms);
  BOOST_TEST(!Weak.shouldTakeOver(Start + 3900ms));
  Weak.rowUnchanged(Start + 4s);
  BOOST_TEST(Weak.shouldTakeOver(Start + 4s));
}

BOOST_AUTO_TEST_CASE(takes_the_cell_of_its_own_earlier_life_at_once) {
  OwnerRecord Before = makeRecord("me");
  Before.Nonce_ = "earlier";
  OwnerLease Lease = candidate();
  Lease.rowRead(Before, 5, Start);
  BOOST_TEST(!Lease.isOwner());
  BOOST_TEST(Lease.shouldTakeOver(Start));
  BOOST_TEST(Lease.takeoverRecord().Tenure_ == 4);
}

BOOST_AUTO_TEST_CASE(of_equal_strength_does_not_wait_longer) {
  BOOST_TEST((takeoverDelay(0.5, 0.5) == Duration::zero()));
  BOOST_TEST((takeoverDelay(0.25, 0.25) == Duration::zero()));
  BOOST_TEST((takeoverDelay(0.3, 0.5) > Duration::zero()));
  BOOST_TEST((takeoverDelay(0.07, 0.5) > takeoverDelay(0.3, 0.5)));
}

BOOST_AUTO_TEST_CASE(takes_a_cell_at_once_that_its_owner_gave_up) {
  OwnerLease Lease = candidate();
  Lease.rowRead(makeRecord("other"), 5, Start);
  OwnerLease Other(makeRecord("other"), {});
  Other.rowWritten(makeRecord("other"), 5, Start);
  Lease.rowRead(Other.releaseRecord(), 6, Start + 10ms);
  BOOST_TEST(Lease.shouldTakeOver(Start + 10ms));
  BOOST_TEST(Lease.takeoverRecord().Tenure_ == 4);
}

BOOST_AUTO_TEST_CASE(waits_until_the_row_was_silent_for_long) {
  OwnerLease Lease = candidate();
  Lease.rowRead(makeRecord("other"), 5, Start);
  Lease.rowUnchanged(Start + 2s);
  BOOST_TEST(!Lease.shouldTakeOver(Start + 2s));
  Lease.rowUnchanged(Start + 2600ms);
  BOOST_TEST(Lease.shouldTakeOver(Start + 2600ms));
  BOOST_TEST((Lease.unchangedDuration() == 2600ms));
}

BOOST_AUTO_TEST_CASE(does_not_count_time_in_which_the_store_was_away) {
  OwnerLease Lease = candidate();
  Lease.rowRead(makeRecord("other"), 5, Start);
  Lease.readFailed(Start + 5s);
  Lease.rowUnchanged(Start + 6s);
  BOOST_TEST(!Lease.shouldTakeOver(Start + 6s));
}

BOOST_AUTO_TEST_CASE(waits_afresh_when_the_store_takes_no_writes) {
  OwnerLease Lease = candidate();
  Lease.rowRead(makeRecord("other"), 5, Start);
  // Feeds go on, though the owner cannot write.
  Lease.rowUnchanged(Start + 3s);
  BOOST_TEST(Lease.shouldTakeOver(Start + 3s));
  Lease.takeoverFailed(Start + 3s);
  Lease.rowUnchanged(Start + 4s);
  BOOST_TEST(!Lease.shouldTakeOver(Start + 4s));
  Lease.rowUnchanged(Start + 5500ms);
  BOOST_TEST(Lease.shouldTakeOver(Start + 5500ms));
}

BOOST_AUTO_TEST_CASE(ignores_reads_that_were_overtaken) {
  OwnerLease Lease = candidate();
  Lease.rowRead(makeRecord("other"), 8, Start);
  Lease.rowRead(makeRecord("third"), 7, Start + 10ms);
  BOOST_TEST(Lease.version() == 8);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_owner)

BOOST_AUTO_TEST_CASE(is_trusted_for_a_while_without_the_store) {
  OwnerLease Lease = candidate();
  Lease.rowWritten(makeRecord("me"), 9, Start);
  BOOST_TEST(Lease.isOwner());
  BOOST_TEST(Lease.isValid(Start + 5900ms));
  BOOST_TEST(!Lease.isValid(Start + 6100ms));
}

BOOST_AUTO_TEST_CASE(is_none_after_another_instance_wrote_the_row) {
  OwnerLease Lease = candidate();
  Lease.rowWritten(makeRecord("me"), 9, Start);
  Lease.rowRead(makeRecord("other"), 10, Start + 1s);
  BOOST_TEST(!Lease.isOwner());
}

BOOST_AUTO_TEST_CASE(of_an_earlier_life_does_not_own_the_cell) {
  OwnerLease Lease = candidate();
  OwnerRecord Before = makeRecord("me");
  Before.Nonce_ = "another life";
  Lease.rowRead(Before, 9, Start);
  BOOST_TEST(!Lease.isOwner());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_owner_record)

BOOST_AUTO_TEST_CASE(is_read_as_it_was_written) {
  OwnerRecord Record = makeRecord("me");
  Record.Address_ = "10.0.0.1:7700";
  OwnerRecord Read = decodeOwnerRecord(encodeOwnerRecord(Record));
  BOOST_TEST(Read.Holder_ == "me");
  BOOST_TEST(Read.Nonce_ == Record.Nonce_);
  BOOST_TEST(Read.Address_ == Record.Address_);
  BOOST_TEST(Read.Tenure_ == 3);
}

BOOST_AUTO_TEST_CASE(of_another_form_has_no_holder) {
  for (const char *Text : {"", "[]", "{\"holder\":5}", "\xff\xfe", "null"})
    BOOST_TEST(decodeOwnerRecord(Text).Holder_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling
