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

BOOST_AUTO_TEST_CASE(takes_over_a_cell_without_an_owner_after_a_delay) {
  OwnerLease Lease = candidate();
  BOOST_TEST(!Lease.shouldTakeOver(Start));
  Lease.rowRead({}, 0, Start);
  BOOST_TEST(!Lease.shouldTakeOver(Start));
  Lease.rowUnchanged(Start + 800ms);
  BOOST_TEST(Lease.shouldTakeOver(Start + 800ms));
}

BOOST_AUTO_TEST_CASE(waits_longer_if_another_instance_is_stronger) {
  OwnerLease Weak = candidate();
  Weak.setTakeoverDelay(takeoverDelay(0.07, 0.5));
  Weak.rowRead(makeRecord("other"), 5, Start);
  Weak.rowUnchanged(Start + 3900ms);
  BOOST_TEST(!Weak.shouldTakeOver(Start + 3900ms));
  Weak.rowUnchanged(Start + 4s);
  BOOST_TEST(Weak.shouldTakeOver(Start + 4s));
}

BOOST_AUTO_TEST_CASE(takes_over_from_its_own_previous_process_at_once) {
  OwnerRecord Before = makeRecord("me");
  Before.Nonce_ = "earlier";
  OwnerLease Lease = candidate();
  Lease.rowRead(Before, 5, Start);
  BOOST_TEST(!Lease.isOwner());
  BOOST_TEST(Lease.shouldTakeOver(Start));
  BOOST_TEST(Lease.takeoverRecord().Tenure_ == 4);
}

// Fencing does not protect workers that have restarted.
BOOST_AUTO_TEST_CASE(takes_over_only_after_the_owner_sends_no_starts) {
  OwnerLease Owner = candidate();
  OwnerRecord Record = makeRecord("me");
  // The write takes effect between the call and its answer.
  Owner.rowWritten(Record, 5, Start);
  OwnerLease Successor(makeRecord("other"), {});
  Successor.rowRead(Record, 5, Start + 30ms);
  TimePoint ExclusiveUntil = Owner.commandLimits().ExclusiveUntil_;
  BOOST_TEST((ExclusiveUntil > Start));
  for (TimePoint Now = Start + 30ms; Now < ExclusiveUntil; Now += 10ms) {
    Successor.rowUnchanged(Now);
    BOOST_TEST(!Successor.shouldTakeOver(Now));
  }
}

BOOST_AUTO_TEST_CASE(has_no_additional_delay_at_equal_strength) {
  BOOST_TEST((takeoverDelay(0.5, 0.5) == Duration::zero()));
  BOOST_TEST((takeoverDelay(0.25, 0.25) == Duration::zero()));
  BOOST_TEST((takeoverDelay(0.3, 0.5) > Duration::zero()));
  BOOST_TEST((takeoverDelay(0.07, 0.5) > takeoverDelay(0.3, 0.5)));
}

BOOST_AUTO_TEST_CASE(takes_over_a_released_cell_at_once) {
  OwnerLease Lease = candidate();
  Lease.rowRead(makeRecord("other"), 5, Start);
  OwnerLease Other(makeRecord("other"), {});
  Other.rowWritten(makeRecord("other"), 5, Start);
  Lease.rowRead(Other.releaseRecord(), 6, Start + 10ms);
  BOOST_TEST(Lease.shouldTakeOver(Start + 10ms));
  BOOST_TEST(Lease.takeoverRecord().Tenure_ == 4);
}

BOOST_AUTO_TEST_CASE(waits_until_the_row_is_unchanged_for_the_takeover_time) {
  OwnerLease Lease = candidate();
  Lease.rowRead(makeRecord("other"), 5, Start);
  Lease.rowUnchanged(Start + 2s);
  BOOST_TEST(!Lease.shouldTakeOver(Start + 2s));
  Lease.rowUnchanged(Start + 2600ms);
  BOOST_TEST(Lease.shouldTakeOver(Start + 2600ms));
  BOOST_TEST((Lease.unchangedDuration() == 2600ms));
}

BOOST_AUTO_TEST_CASE(does_not_count_time_in_which_reads_failed) {
  OwnerLease Lease = candidate();
  Lease.rowRead(makeRecord("other"), 5, Start);
  Lease.readFailed(Start + 5s);
  Lease.rowUnchanged(Start + 6s);
  BOOST_TEST(!Lease.shouldTakeOver(Start + 6s));
}

BOOST_AUTO_TEST_CASE(waits_again_after_a_failed_takeover) {
  OwnerLease Lease = candidate();
  Lease.rowRead(makeRecord("other"), 5, Start);
  // The change feed still responds although the owner cannot write.
  Lease.rowUnchanged(Start + 3s);
  BOOST_TEST(Lease.shouldTakeOver(Start + 3s));
  Lease.takeoverFailed(Start + 3s);
  Lease.rowUnchanged(Start + 4s);
  BOOST_TEST(!Lease.shouldTakeOver(Start + 4s));
  Lease.rowUnchanged(Start + 5500ms);
  BOOST_TEST(Lease.shouldTakeOver(Start + 5500ms));
}

BOOST_AUTO_TEST_CASE(ignores_responses_that_arrive_out_of_order) {
  OwnerLease Lease = candidate();
  Lease.rowRead(makeRecord("other"), 8, Start);
  Lease.rowRead(makeRecord("third"), 7, Start + 10ms);
  BOOST_TEST(Lease.version() == 8);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_owner)

BOOST_AUTO_TEST_CASE(is_valid_for_a_limited_time_without_the_store) {
  OwnerLease Lease = candidate();
  Lease.rowWritten(makeRecord("me"), 9, Start);
  BOOST_TEST(Lease.isOwner());
  BOOST_TEST(Lease.isValid(Start + 5900ms));
  BOOST_TEST(!Lease.isValid(Start + 6100ms));
}

BOOST_AUTO_TEST_CASE(loses_the_cell_when_another_instance_writes_the_row) {
  OwnerLease Lease = candidate();
  Lease.rowWritten(makeRecord("me"), 9, Start);
  Lease.rowRead(makeRecord("other"), 10, Start + 1s);
  BOOST_TEST(!Lease.isOwner());
}

BOOST_AUTO_TEST_CASE(of_a_previous_process_does_not_own_the_cell) {
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
  BOOST_TEST(!Read.EarlierGrants_);
  BOOST_TEST(Read.Notes_.empty());
}

BOOST_AUTO_TEST_CASE(has_bounds_of_leases_that_are_not_shortened) {
  OwnerRecord Record = makeRecord("me");
  Record.EarlierGrants_ = std::chrono::microseconds(1500);
  Record.Notes_ = {{"w1", 7, std::chrono::microseconds(2001)}};
  OwnerRecord Read = decodeOwnerRecord(encodeOwnerRecord(Record));
  BOOST_TEST((Read.EarlierGrants_ == std::chrono::milliseconds(2)));
  BOOST_REQUIRE(Read.Notes_.size() == 1);
  BOOST_TEST(Read.Notes_[0].Worker_ == "w1");
  BOOST_TEST(Read.Notes_[0].StartedAtMs_ == 7);
  BOOST_TEST((Read.Notes_[0].Left_ == std::chrono::milliseconds(3)));
}

BOOST_AUTO_TEST_CASE(has_no_bounds_that_no_owner_writes) {
  OwnerRecord Read = decodeOwnerRecord(
      R"({"holder":"me","earlier_ms":-1,"notes":[["w1",7,-5],["w2",7,1e9],)"
      R"(["w3",7],[4,7,5],"w4",["w5",7,99999999],["w6",7,5]]})");
  BOOST_TEST(Read.Holder_ == "me");
  BOOST_TEST(!Read.EarlierGrants_);
  BOOST_REQUIRE(Read.Notes_.size() == 1);
  BOOST_TEST(Read.Notes_[0].Worker_ == "w6");
}

BOOST_AUTO_TEST_CASE(of_another_form_has_no_holder) {
  for (const char *Text : {"", "[]", "{\"holder\":5}", "\xff\xfe", "null"})
    BOOST_TEST(decodeOwnerRecord(Text).Holder_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling
