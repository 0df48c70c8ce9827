#define BOOST_TEST_MODULE path_system
#include "cluster.h"
#include "oracle.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring::tests;
using nlohmann::json;

namespace {

struct Fixture {
  Cluster System_{{}};
  Node &Entry_ = System_.entries()[0];
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_whole_path, Fixture)

BOOST_AUTO_TEST_SUITE(requests)

BOOST_AUTO_TEST_CASE(are_answered_whole_by_an_executor_of_the_same_zone) {
  Reply Answer = System_.request(Entry_, "r-1");
  BOOST_TEST(Answer.Status_ == 200);
  BOOST_TEST(Answer.header("x-request-id") == "r-1");
  BOOST_TEST(Answer.header("x-outcome") == "completed");
  BOOST_TEST(Answer.header("x-zone") == "bodrum");
  BOOST_TEST(Answer.Body_.find("r-1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(to_services_that_no_contract_names_are_not_run) {
  Reply Answer = call(Entry_.Port_, "POST", "/v1/requests/tours/nothing", "x");
  BOOST_TEST(Answer.Status_ == 404);
  BOOST_TEST(Answer.header("x-outcome") == "not-run");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(jobs)

BOOST_AUTO_TEST_CASE(are_accepted_placed_and_finished) {
  Reply Accepted = System_.submit(Entry_, "permit-1", 3, 300);
  BOOST_TEST(Accepted.Status_ == 201);
  std::string Job = Accepted.json()["job"];
  BOOST_TEST(eventually(
      [&] { return countTaskStates(Entry_, Job)["finished"] == 3; }));
  BOOST_TEST(taskRunIntervals(System_).size() == 3U);
}

BOOST_AUTO_TEST_CASE(submitted_again_are_the_same_job) {
  std::string First = System_.submit(Entry_, "permit-2", 1, 100).json()["job"];
  Reply Again = System_.submit(System_.entries()[1], "permit-2", 1, 100);
  BOOST_TEST(Again.Status_ == 200);
  BOOST_TEST(Again.json()["job"] == First);
  Reply Other = System_.submit(Entry_, "permit-2", 2, 100);
  BOOST_TEST(Other.Status_ == 409);
}

BOOST_AUTO_TEST_CASE(that_break_the_contract_are_refused_with_all_reasons) {
  json Body = {{"contract", "tours"},
               {"kind", "nothing"},
               {"tasks", 0},
               {"size", {{"cpu_millicores", -1}}}};
  Reply Answer = call(Entry_.Port_, "POST", "/v1/jobs", Body.dump());
  BOOST_TEST(Answer.Status_ == 400);
  BOOST_TEST(Answer.json()["findings"].size() >= 4U);
}

BOOST_AUTO_TEST_CASE(that_are_cancelled_stop_and_stay_stopped) {
  std::string Job =
      System_.submit(Entry_, "album-1", 2, 600000, "album").json()["job"];
  BOOST_TEST(
      eventually([&] { return countTaskStates(Entry_, Job)["claimed"] == 2; }));
  BOOST_TEST(
      call(Entry_.Port_, "POST", "/v1/jobs/" + Job + "/cancel", "").Status_ ==
      200);
  BOOST_TEST(countTaskStates(Entry_, Job)["cancelled"] == 2);
  BOOST_TEST(eventually([&] {
    auto Runs = taskRunIntervals(System_);
    return std::ranges::all_of(Runs, [](const RunInterval &Run) {
      return Run.Until_ < std::numeric_limits<std::int64_t>::max();
    });
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(watches)

BOOST_AUTO_TEST_CASE(deliver_events_through_any_instance) {
  json Body = {{"contract", "tours"},
               {"subject", "telescope-7"},
               {"idempotency_key", "w-1"},
               {"duration_ms", 3600000}};
  Reply Opened = call(Entry_.Port_, "POST", "/v1/watches", Body.dump());
  BOOST_TEST(Opened.Status_ == 201);
  std::string Path = "/v1/watches/" + Opened.json()["watch"].get<std::string>();
  std::uint16_t Other = System_.entries()[1].Port_;
  BOOST_TEST(
      call(Other, "POST", Path + "/events", R"({"payload":"damp"})").Status_ ==
      200);
  json Events = call(Other, "GET", Path + "?cursor=0&wait_ms=5000").json();
  BOOST_TEST(Events["events"][0]["payload"] == "damp");
  BOOST_TEST(Events["cursor"] == 1);
  json After = call(Entry_.Port_, "GET", Path + "?cursor=1&wait_ms=0").json();
  BOOST_TEST(After["events"].empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(operators)

BOOST_AUTO_TEST_CASE(
    with_conflicting_changes_receive_the_stored_version_and_author) {
  json Now = call(Entry_.Port_, "GET", "/v1/admin/zones").json();
  json Change = {{"state", "out-of-service"},
                 {"expected_version", Now["zones"][0]["version"]},
                 {"changed_by", "first"}};
  std::string Path = "/v1/admin/zones/bodrum";
  Reply First = call(Entry_.Port_, "POST", Path, Change.dump());
  BOOST_TEST(First.Status_ == 200);
  Change["changed_by"] = "second";
  Reply Second = call(System_.entries()[1].Port_, "POST", Path, Change.dump());
  BOOST_TEST(Second.Status_ == 409);
  BOOST_TEST(Second.json()["version"] == First.json()["version"]);
  BOOST_TEST(Second.json()["changed_by"] == "first");
}

BOOST_AUTO_TEST_CASE(take_a_zone_out_and_its_work_moves_to_another_zone) {
  std::string Job =
      System_.submit(Entry_, "album-2", 6, 600000, "album").json()["job"];
  BOOST_TEST(
      eventually([&] { return countTaskStates(Entry_, Job)["claimed"] == 6; }));
  BOOST_TEST(System_.setZone(Entry_, "bodrum", "out-of-service").Status_ ==
             200);
  auto RunningIn = [&](const std::string &Zone) {
    json Body = call(Entry_.Port_, "GET", "/v1/jobs/" + Job).json();
    return std::ranges::count_if(
        Body["tasks"], [&](const json &Task) { return Task["zone"] == Zone; });
  };
  BOOST_TEST(eventually(
      [&] { return RunningIn("bodrum") == 0 && RunningIn("kusadasi") == 6; }));
  BOOST_TEST(findOverlaps(taskRunIntervals(System_)).empty());
  BOOST_TEST(eventually([&] {
    return System_.request(Entry_, "r-zone").header("x-zone") == "kusadasi";
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
