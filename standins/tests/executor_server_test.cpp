#include "filbertspring/standins/executor_server.h"

#include "filbertspring/standins/platform_server.h"
#include "filbertspring/standins/running_server.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace filbertspring;
using Json = nlohmann::json;

namespace {

constexpr std::string_view SlowRequests = R"({"slow_factor":1e9})";

ExecutorSettings settings() {
  ExecutorSettings Settings;
  Settings.Listing_.Name_ = InstanceName("e1");
  Settings.Listing_.Zone_ = ZoneName("porto");
  Settings.Listing_.Service_ = ServiceName("lending");
  Settings.Listing_.Slots_ = 1;
  Settings.MeanServiceTime_ = Duration(10);
  Settings.Seed_ = 1;
  return Settings;
}

struct Fixture {
  RunningServer<ExecutorServer> Executor_{settings()};

  httplib::Result run(const std::string &Id, const std::string &Body = "b") {
    httplib::Client Client(Executor_.address().Host_,
                           Executor_.address().Port_);
    return Client.Post("/run", {{"x-request-id", Id}}, Body, "text/plain");
  }
  void control(std::string_view Body) {
    Executor_.post("/control", std::string(Body));
  }
  Json runs() { return Json::parse(Executor_.get("/runs"))["runs"]; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(executor_server, Fixture)

BOOST_AUTO_TEST_CASE(answers_with_the_request_id_and_counts_the_run) {
  auto Answer = run("r1");
  BOOST_REQUIRE(Answer);
  BOOST_TEST(Answer->get_header_value("x-request-id") == "r1");
  BOOST_TEST(Answer->get_header_value("x-slots") == "1");
  BOOST_TEST(Answer->get_header_value("x-in-flight") == "0");
  BOOST_TEST(Json::parse(Answer->body)["request"] == "r1");
  auto Other = run("r1", "c");
  BOOST_TEST(Json::parse(Other->body)["digest"] !=
             Json::parse(Answer->body)["digest"]);
  BOOST_TEST(runs()["r1"] == 2);
}

BOOST_AUTO_TEST_CASE(refuses_without_a_run_when_busy_or_leaving) {
  control(SlowRequests);
  httplib::Client Slow(Executor_.address().Host_, Executor_.address().Port_);
  std::thread First([&Slow] {
    Slow.Post("/run", {{"x-request-id", "r1"}}, "b", "text/plain");
  });
  while (!runs().contains("r1"))
    std::this_thread::yield();
  auto Busy = run("r2");
  BOOST_TEST(Busy->status == 503);
  BOOST_TEST(Busy->get_header_value("x-outcome") == "not-run");
  BOOST_TEST(Busy->get_header_value("x-reason") == "busy");
  Executor_.post("/leave", "");
  auto Leaving = run("r3");
  BOOST_TEST(Leaving->get_header_value("x-reason") == "leaving");
  BOOST_TEST(Leaving->get_header_value("x-state") == "leaving");
  BOOST_TEST(runs().size() == 1U);
  Slow.stop();
  First.join();
}

BOOST_AUTO_TEST_CASE(runs_a_request_whose_answer_is_cut_short_or_foreign) {
  control(R"({"truncate_next":1})");
  BOOST_TEST(!run("r1"));
  control(R"({"foreign_next":1})");
  BOOST_TEST(run("r2")->get_header_value("x-request-id") == "foreign-r2");
  BOOST_TEST(runs()["r1"] == 1);
  BOOST_TEST(runs()["r2"] == 1);
}

BOOST_AUTO_TEST_CASE(runs_held_requests_after_a_hang_ends) {
  control(R"({"hang":true})");
  int Status = 0;
  std::thread Held([this, &Status] { Status = run("r1")->status; });
  while (Json::parse(Executor_.get("/stats"))["held"] == 0)
    std::this_thread::yield();
  BOOST_TEST(runs().empty());
  control(R"({"hang":false})");
  Held.join();
  BOOST_TEST(Status == 200);
  BOOST_TEST(runs()["r1"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_leaving_executor_is_listed_as_leaving) {
  RunningServer<PlatformServer> Platform(Duration::zero());
  ExecutorSettings Settings = settings();
  Settings.Platform_ = Platform.address();
  RunningServer<ExecutorServer> Executor(Settings);
  auto State = [&Platform] {
    return Json::parse(Platform.get("/instances"))["instances"][0]["state"];
  };
  BOOST_TEST(State() == "live");
  Executor.post("/leave", "");
  BOOST_TEST(State() == "leaving");
}
