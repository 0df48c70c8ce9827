/// \file
/// Tests of what the owner knows of the rows of jobs, and of their removal.

#include "job_rows.h"
#include "rows.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace filbertspring::node {
namespace {

using News = JobRows::News;

constexpr const char *Job = "00000000000000a1";

scheduling::Row rowAt(scheduling::RowKey Key, std::uint64_t Version,
                      bool IsRemoved = false) {
  scheduling::Row Stored;
  Stored.Key_ = std::move(Key);
  Stored.Version_ = Version;
  Stored.IsRemoved_ = IsRemoved;
  return Stored;
}

struct KnownRows {
  News accept(std::uint64_t Version) {
    return Rows_.note(rowAt(jobKey(Job), Version));
  }
  News cancel(std::uint64_t Version) {
    return Rows_.note(rowAt(cancellationKey(Job), Version));
  }
  std::vector<JobRemoval> removal() const {
    return Rows_.removals({Job}).front();
  }

  JobRows Rows_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_row_of_a_job)

BOOST_FIXTURE_TEST_CASE(is_handled_once, KnownRows) {
  BOOST_TEST((accept(10) == News::New));
  BOOST_TEST((accept(10) == News::Old));
  BOOST_TEST((cancel(11) == News::New));
  BOOST_TEST((cancel(11) == News::Old));
  // A repeated cancellation is a new promise.
  BOOST_TEST((cancel(12) == News::New));
}

BOOST_FIXTURE_TEST_CASE(cancels_the_job_also_if_it_is_read_first, KnownRows) {
  BOOST_TEST((cancel(11) == News::New));
  BOOST_TEST((accept(10) == News::New));
  BOOST_TEST(Rows_.isCancelled(Job));
}

BOOST_FIXTURE_TEST_CASE(belongs_to_a_new_job_if_it_was_accepted_later,
                        KnownRows) {
  accept(10);
  cancel(11);
  BOOST_TEST((accept(20) == News::NewJob));
  BOOST_TEST(!Rows_.isCancelled(Job));
  BOOST_TEST((cancel(11) == News::Old));
  BOOST_TEST((cancel(21) == News::New));
}

BOOST_FIXTURE_TEST_CASE(belongs_to_a_new_job_after_a_cancellation_alone,
                        KnownRows) {
  cancel(11);
  BOOST_TEST((accept(20) == News::NewJob));
  BOOST_TEST(!Rows_.isCancelled(Job));
}

BOOST_FIXTURE_TEST_CASE(keeps_the_cancellation_of_the_new_job, KnownRows) {
  accept(10);
  cancel(21);
  BOOST_TEST((accept(20) == News::NewJob));
  BOOST_TEST(Rows_.isCancelled(Job));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_rows_of_an_expired_job)

// An unconditional removal that the store carries out late, or one by an owner
// that was suspended, would remove a later cancellation or job.
BOOST_FIXTURE_TEST_CASE(are_removed_as_they_are_known, KnownRows) {
  accept(10);
  cancel(11);
  scheduling::RowTransaction Removal = makeRemoval(removal());
  BOOST_REQUIRE(Removal.Conditions_.size() == 2U);
  BOOST_TEST((Removal.Conditions_[0].Key_ == jobKey(Job)));
  BOOST_TEST(Removal.Conditions_[0].Version_ == 10U);
  BOOST_TEST((Removal.Conditions_[1].Key_ == cancellationKey(Job)));
  BOOST_TEST(Removal.Conditions_[1].Version_ == 11U);
  BOOST_TEST(Removal.Removals_.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(are_not_removed_if_they_are_not_stored, KnownRows) {
  accept(10);
  Rows_.noteAbsent(jobKey(Job));
  BOOST_TEST(makeRemoval(removal()).Removals_.empty());
  BOOST_TEST(Rows_.noteRemoved(removal().front()));
}

BOOST_FIXTURE_TEST_CASE(are_kept_if_one_was_stored_during_the_removal,
                        KnownRows) {
  cancel(11);
  JobRemoval Sent = removal().front();
  cancel(12);
  BOOST_TEST(!Rows_.noteRemoved(Sent));
  BOOST_TEST(Rows_.isCancelled(Job));
}

BOOST_FIXTURE_TEST_CASE(are_forgotten_when_the_feed_brings_the_removal_later,
                        KnownRows) {
  cancel(11);
  BOOST_TEST(Rows_.noteRemoved(removal().front()));
  Rows_.note(rowAt(cancellationKey(Job), 30, true));
  BOOST_TEST(makeRemoval(removal()).Removals_.empty());
  BOOST_TEST((accept(40) == News::New));
}

BOOST_AUTO_TEST_CASE(fit_into_the_transactions_of_the_store) {
  JobRows Rows;
  std::vector<std::string> Jobs;
  for (std::uint64_t Number = 1; Number <= 1000; ++Number) {
    Jobs.push_back(fmt::format("{:016x}", Number));
    Rows.note(rowAt(jobKey(Jobs.back()), Number));
    Rows.note(rowAt(cancellationKey(Jobs.back()), Number));
  }
  std::size_t Removed = 0;
  for (const std::vector<JobRemoval> &Group : Rows.removals(Jobs)) {
    scheduling::RowTransaction Removal = makeRemoval(Group);
    BOOST_TEST(Removal.Conditions_.size() + Removal.Removals_.size() <= 100U);
    for (const scheduling::RowKey &Key : Removal.Removals_)
      BOOST_TEST(Key.Partition_ == Removal.Removals_.front().Partition_);
    Removed += Group.size();
  }
  BOOST_TEST(Removed == Jobs.size());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
