#include "rows.h"

#include "job_cache.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::node {
namespace {

BOOST_AUTO_TEST_SUITE(an_acceptance)

BOOST_AUTO_TEST_CASE(is_read_as_it_was_stored) {
  StoredAcceptance Stored;
  Stored.Queue_ = "batch";
  Stored.Service_ = "service";
  Stored.AcceptedMs_ = 77;
  Stored.Body_ = R"({"Spec":"text","Steps":[{"Count":2}]})";
  auto Read = decodeAcceptance("job", encodeAcceptance(Stored));
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->Id_ == "job");
  BOOST_TEST(Read->Queue_ == "batch");
  BOOST_TEST(Read->Service_ == "service");
  BOOST_TEST(Read->AcceptedMs_ == 77);
  BOOST_TEST(Read->Spec_.Payload_ == "text");
}

BOOST_AUTO_TEST_CASE(of_another_form_is_an_error) {
  for (const char *Text : {"", "{}", "[]", R"({"queue":1})", "\xff"})
    BOOST_TEST(!decodeAcceptance("job", Text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_key_of_a_cancellation)

BOOST_AUTO_TEST_CASE(names_its_job_and_sorts_beside_it) {
  BOOST_TEST((cancelledJobFromKey(cancellationKey("job").Key_) == "job"));
  BOOST_TEST(!cancelledJobFromKey("job").has_value());
  BOOST_TEST((cancellationKey("job").Key_ > jobKey("job").Key_));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_announcement)

BOOST_AUTO_TEST_CASE(is_read_as_it_was_stored) {
  Announcement Announced{"10.0.0.1:7000", 0.5};
  auto Read = decodeAnnouncement(encodeAnnouncement(Announced));
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST((*Read == Announced));
  BOOST_TEST(!decodeAnnouncement("10.0.0.1:7000").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_status_of_a_cell)

BOOST_AUTO_TEST_CASE(is_read_as_it_was_stored) {
  CellStatus Status;
  Status.Tenure_ = 4;
  Status.Pending_ = {{"a", 3}, {"b", 0}};
  BOOST_TEST(decodeStatus(encodeStatus(Status)).Tenure_ == 4);
  BOOST_TEST((decodeStatus(encodeStatus(Status)).Pending_ == Status.Pending_));
}

BOOST_AUTO_TEST_CASE(of_another_form_has_no_counts) {
  for (const char *Text : {"", "5", R"({"pending":{"a":"x"}})"})
    BOOST_TEST(decodeStatus(Text).Pending_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_job_cache)

BOOST_AUTO_TEST_CASE(forgets_the_oldest_job_first) {
  constexpr int MoreThanItKeeps = 10'001;
  JobCache Cache;
  for (int Number = 0; Number < MoreThanItKeeps; ++Number)
    Cache.insertFinalState(std::to_string(Number),
                           scheduling::JobState::Completed);
  BOOST_TEST(!Cache.finalState("0").has_value());
  BOOST_TEST((Cache.finalState("1") == scheduling::JobState::Completed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::node
