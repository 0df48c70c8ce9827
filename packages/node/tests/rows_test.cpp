#include "rows.h"

#include "filbertspring/scheduling/scheduler.h"
#include "job_cache.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::node {
namespace {

BOOST_AUTO_TEST_SUITE(a_stored_acceptance)

BOOST_AUTO_TEST_CASE(decodes_to_the_encoded_values) {
  StoredAcceptance Original;
  Original.Queue_ = "batch";
  Original.Service_ = "service";
  Original.AcceptedMs_ = 77;
  Original.Body_ = R"({"Spec":"text","Steps":[{"Count":2}]})";
  Original.Workspace_ = "team \"1\"";
  auto Decoded = decodeAcceptance("job", encodeAcceptance(Original));
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST(Decoded->Id_ == "job");
  BOOST_TEST(Decoded->Queue_ == "batch");
  BOOST_TEST(Decoded->Service_ == "service");
  BOOST_TEST(Decoded->AcceptedMs_ == 77);
  BOOST_TEST(Decoded->Spec_.Payload_ == "text");
  BOOST_TEST(Decoded->Workspace_ == "team \"1\"");
  BOOST_TEST((decodeAcceptedWorkspace(encodeAcceptance(Original)) ==
              Original.Workspace_));
}

BOOST_AUTO_TEST_CASE(of_an_earlier_version_belongs_to_no_workspace) {
  std::string Row = R"({"queue":"batch","service":"s","accepted_ms":1,)"
                    R"("body":"{\"Steps\":[{\"Count\":1}]}"})";
  auto Decoded = decodeAcceptance("job", Row);
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST(Decoded->Workspace_.empty());
  BOOST_TEST((decodeAcceptedWorkspace(Row) == ""));
}

// Deployments without workspaces keep the rows that earlier versions read.
BOOST_AUTO_TEST_CASE(without_a_workspace_is_stored_as_before) {
  BOOST_TEST(encodeAcceptance({"q", "s", 1, "b"}) ==
             R"({"accepted_ms":1,"body":"b","queue":"q","service":"s"})");
}

BOOST_AUTO_TEST_CASE(whose_workspace_is_no_text_is_rejected) {
  BOOST_TEST(!decodeAcceptedWorkspace(R"({"workspace":7})").has_value());
  BOOST_TEST(!decodeAcceptedWorkspace("").has_value());
  BOOST_TEST(!decodeAcceptedWorkspace("[]").has_value());
}

BOOST_AUTO_TEST_CASE(of_another_form_is_rejected) {
  for (const char *Text : {"", "{}", "[]", R"({"queue":1})", "\xff"})
    BOOST_TEST(!decodeAcceptance("job", Text).has_value());
}

// Its owner read beyond the list of steps, or ran out of memory.
BOOST_AUTO_TEST_CASE(of_a_job_that_no_caller_could_submit_is_rejected) {
  for (const char *Body :
       {R"({"Steps":[]})", R"({"Steps":[{"Count":0}]})",
        R"({"Steps":[{"Count":4294967295}]})",
        R"({"Steps":[{}],"RepeatCount":4294967295})",
        R"({"Steps":[{"After":[4294967295]}]})", R"({"Steps":[{"After":[0]}]})",
        R"({"Steps":[{"Count":4294967295},
                               {"Count":4294967295},{"Count":2}],
                               "RepeatCount":2147483648})"}) {
    StoredAcceptance Accepted{"batch", "service", 1, Body};
    BOOST_TEST(!decodeAcceptance("job", encodeAcceptance(Accepted)).has_value(),
               Body);
    auto Unusable = decodeUnusableAcceptance("job", encodeAcceptance(Accepted));
    BOOST_REQUIRE(Unusable.has_value());
    BOOST_TEST(Unusable->Queue_ == "batch");
    BOOST_TEST(scheduling::findSpecError(Unusable->Spec_).empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_key_of_a_cancellation)

BOOST_AUTO_TEST_CASE(identifies_its_job_and_sorts_behind_the_key_of_the_job) {
  BOOST_TEST((cancelledJobFromKey(cancellationKey("job").Key_) == "job"));
  BOOST_TEST(!cancelledJobFromKey("job").has_value());
  BOOST_TEST((cancellationKey("job").Key_ > jobKey("job").Key_));
}

// The owner removes it by the name in its key. All rows of a job have to be in
// one partition, since a transaction cannot cover several.
BOOST_AUTO_TEST_CASE(within_a_workspace_is_that_of_another_name) {
  for (const char *Workspace : {"", "a", "team/\"1\".cancel"}) {
    scheduling::RowKey Key = cancellationKeyWithin(Workspace, "abcdef");
    auto Name = cancelledJobFromKey(Key.Key_);
    BOOST_REQUIRE(Name.has_value());
    BOOST_TEST(*Name != "abcdef");
    BOOST_TEST(cancellationKey(*Name).Key_ == Key.Key_);
    BOOST_TEST(cancellationKey(*Name).Partition_ == Key.Partition_);
    BOOST_TEST(Key.Partition_ == jobKey("abcdef").Partition_);
    BOOST_TEST(Key.Key_.starts_with("abcdef."));
  }
  BOOST_TEST(cancellationKeyWithin("a", "job").Key_ !=
             cancellationKeyWithin("b", "job").Key_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_announcement)

BOOST_AUTO_TEST_CASE(decodes_to_the_encoded_values) {
  Announcement Original{"10.0.0.1:7000", "zone-a", 0.5};
  auto Decoded = decodeAnnouncement(encodeAnnouncement(Original));
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST((*Decoded == Original));
  BOOST_TEST(!decodeAnnouncement("10.0.0.1:7000").has_value());
}

BOOST_AUTO_TEST_CASE(of_no_instance_that_can_be_called_is_rejected) {
  for (const char *Address : {"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536",
                              "10.0.0.1:99999999999999999999", "localhost:80"})
    BOOST_TEST(!decodeAnnouncement(encodeAnnouncement({Address, "z", 0.5}))
                    .has_value(),
               Address);
}

// An instance that seems to be stronger than all others delays takeovers.
BOOST_AUTO_TEST_CASE(with_cores_that_no_machine_has_is_rejected) {
  for (double Cores : {-1.0, 1e300, 1e7})
    BOOST_TEST(
        !decodeAnnouncement(encodeAnnouncement({"10.0.0.1:7", "z", Cores}))
             .has_value(),
        Cores);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_status_of_a_cell)

BOOST_AUTO_TEST_CASE(decodes_to_the_encoded_values) {
  CellStatus Status;
  Status.Tenure_ = 4;
  Status.Pending_ = {{"a", 3}, {"b", 0}};
  auto Decoded = decodeStatus(encodeStatus(Status));
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST(Decoded->Tenure_ == 4);
  BOOST_TEST((Decoded->Pending_ == Status.Pending_));
}

BOOST_AUTO_TEST_CASE(of_another_form_is_rejected) {
  for (const char *Text : {"", "5", R"({"pending":{"a":"x"}})"})
    BOOST_TEST(!decodeStatus(Text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_job_cache)

BOOST_AUTO_TEST_CASE(evicts_the_oldest_job_first) {
  constexpr int MoreThanCapacity = 10'001;
  JobCache Cache;
  for (int Number = 0; Number < MoreThanCapacity; ++Number)
    Cache.insertFinalState(std::to_string(Number),
                           {scheduling::JobState::Failed, "cause"});
  BOOST_TEST(!Cache.finalState("0").has_value());
  BOOST_REQUIRE(Cache.finalState("1").has_value());
  BOOST_TEST((Cache.finalState("1")->State_ == scheduling::JobState::Failed));
  BOOST_TEST(Cache.finalState("1")->Cause_ == "cause");
}

// Later, the id may be that of another workspace's job.
BOOST_AUTO_TEST_CASE(forgets_the_workspace_of_a_job_before_its_rows_are_gone) {
  TimePoint Seen{std::chrono::hours(1)};
  JobCache Cache;
  Cache.insertOwner("job", "a", Seen);
  BOOST_TEST((Cache.owner("job", Seen) == "a"));
  BOOST_TEST(!Cache.owner("other", Seen).has_value());
  BOOST_TEST(!Cache.owner("job", Seen + JobCache::OwnerValidity).has_value());
  BOOST_TEST((JobCache::OwnerValidity <
              scheduling::SchedulerSettings().FinalStateRetention_));
}

BOOST_AUTO_TEST_CASE(evicts_the_oldest_workspace_first) {
  constexpr int MoreThanCapacity = 10'001;
  TimePoint Seen{std::chrono::hours(1)};
  JobCache Cache;
  for (int Number = 0; Number < MoreThanCapacity; ++Number)
    Cache.insertOwner(std::to_string(Number), "a", Seen);
  BOOST_TEST(!Cache.owner("0", Seen).has_value());
  BOOST_TEST(Cache.owner("1", Seen).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::node
