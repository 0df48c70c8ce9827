#include "filbertspring/scheduling/predecessor_leases.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::scheduling {
namespace {

using namespace std::chrono_literals;

/// The time for which an owner grants leases without a confirmation.
constexpr Duration Validity = 6s;

OwnerRecord makeRecord(const char *Holder, const char *Nonce) {
  OwnerRecord Record;
  Record.Holder_ = Holder;
  Record.Nonce_ = Nonce;
  Record.Address_ = std::string(Holder) + ":1";
  return Record;
}

/// A process of the instance "reader" that reads the owner's row.
struct Reader {
  void read(OwnerRecord Record, std::uint64_t Tenure) {
    Record.Tenure_ = Tenure;
    Leases_.rowRead(Record, ++Version_, Now_);
  }
  void read(std::uint64_t Tenure, const char *Holder) {
    read(makeRecord(Holder, "nonce"), Tenure);
  }
  /// Returns for how long grants may follow a takeover now.
  Duration grants() { return Leases_.grantsEnd(Now_) - Now_; }

  TimePoint StartedAt_{90s};
  TimePoint Now_{100s};
  std::uint64_t Version_ = 0;
  PredecessorLeases Leases_{makeRecord("reader", "own"), StartedAt_};
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_leases_of_a_previous_owner)

BOOST_FIXTURE_TEST_CASE(are_not_granted_after_its_release, Reader) {
  read(1, "first");
  Now_ += 20s;
  read(1, "");
  Now_ += 200ms;
  BOOST_TEST((grants() == -200ms));
}

BOOST_FIXTURE_TEST_CASE(may_be_granted_while_it_is_cut_off, Reader) {
  read(1, "first");
  Now_ += 20s;
  read(1, "first");
  Now_ += 2500ms;
  // Other reads of the same version, after failed ones, show nothing new.
  Leases_.rowRead(makeRecord("first", "nonce"), Version_, Now_);
  BOOST_TEST((grants() == Validity - 2500ms));
}

BOOST_AUTO_TEST_SUITE(if_it_was_a_process_of_the_same_instance)

BOOST_FIXTURE_TEST_CASE(are_not_granted_after_the_start_of_the_next_one,
                        Reader) {
  OwnerRecord Former = makeRecord("reader", "former");
  Former.EarlierGrants_ = 0ms;
  read(Former, 1);
  Now_ += 7s;
  BOOST_TEST((grants() == -7s));
}

BOOST_FIXTURE_TEST_CASE(may_be_granted_if_its_machine_was_replaced, Reader) {
  OwnerRecord Replaced = makeRecord("reader", "former");
  Replaced.Address_ = "elsewhere:1";
  read(Replaced, 1);
  Now_ += 1s;
  BOOST_TEST((grants() == Validity - 1s));
}

BOOST_FIXTURE_TEST_CASE(end_with_its_tenure_if_it_is_this_process, Reader) {
  read(makeRecord("reader", "own"), 1);
  Now_ += 20s;
  BOOST_TEST((grants() == 0s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(if_it_had_just_taken_over)

BOOST_FIXTURE_TEST_CASE(may_be_those_of_the_owner_before_it, Reader) {
  read(1, "first");
  Now_ += 20s;
  // The first owner may have been valid until now.
  read(2, "second");
  TimePoint Until = Now_ + Validity;
  Now_ += 1s;
  read(2, "");
  BOOST_TEST((Now_ + grants() == Until));
  read(3, "third");
  read(3, "");
  BOOST_TEST((Now_ + grants() >= Until));
}

BOOST_FIXTURE_TEST_CASE(end_when_its_row_says_so, Reader) {
  read(1, "first");
  Now_ += 20s;
  OwnerRecord Second = makeRecord("second", "nonce");
  Second.EarlierGrants_ = 800ms;
  read(Second, 2);
  // Without a note that the previous row had.
  Second.EarlierGrants_ = 1s;
  read(Second, 2);
  TimePoint Until = Now_ + 1s;
  Second.Holder_ = "";
  read(Second, 2);
  BOOST_TEST((Now_ + grants() == Until));
}

BOOST_FIXTURE_TEST_CASE(may_be_granted_if_the_release_is_all_that_was_read,
                        Reader) {
  read(4, "");
  BOOST_TEST((grants() >= Validity));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(may_be_granted_if_its_row_is_unreadable, Reader) {
  read(1, "first");
  Now_ += 20s;
  Leases_.rowRead(decodeOwnerRecord("?"), ++Version_, Now_);
  BOOST_TEST((grants() >= Validity));
}

// Guards against starts in doubt that end too early.
BOOST_FIXTURE_TEST_CASE(belong_to_no_known_tenure_after_an_unreadable_row,
                        Reader) {
  read(5, "first");
  BOOST_TEST((Leases_.tenureStarts() == TenureStarts{{5, Now_}}));
  Leases_.rowRead(decodeOwnerRecord("?"), ++Version_, Now_);
  read(1, "second");
  BOOST_TEST((Leases_.tenureStarts() == TenureStarts{{1, Now_}}));
}

BOOST_AUTO_TEST_SUITE(of_a_worker)

BOOST_FIXTURE_TEST_CASE(end_when_the_row_notes_it, Reader) {
  OwnerRecord Record = makeRecord("first", "nonce");
  Record.Notes_ = {{"w1", 5, 3s}};
  read(Record, 1);
  TimePoint End = Now_ + 3s;
  Now_ += 1s;
  BOOST_TEST((Leases_.notedLeases().at("w1").End_ == End));
  // Another read of the same row says nothing new.
  Leases_.rowRead(Record, Version_, Now_);
  BOOST_TEST((Leases_.notedLeases().at("w1").End_ == End));
  BOOST_TEST((makeLeaseNotes(Leases_.notedLeases(), Now_)[0].Left_ == 2s));
  read(1, "first");
  BOOST_TEST(Leases_.notedLeases().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling
