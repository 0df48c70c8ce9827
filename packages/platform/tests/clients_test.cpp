#include "filbertspring/platform/instance_list_client.h"
#include "filbertspring/platform/object_client.h"
#include "filbertspring/platform/worker_client.h"

#include "filbertspring/standins/platform_server.h"
#include "filbertspring/standins/registration.h"
#include "filbertspring/standins/running_server.h"
#include "filbertspring/standins/worker_server.h"
#include "unused_address.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

namespace {

constexpr Duration AmpleTimeout = std::chrono::seconds(20);
constexpr Duration BriefTimeout = std::chrono::milliseconds(100);
const ZoneName Zone("porto");

ListedInstance workerListing() {
  ListedInstance Listing;
  Listing.Name_ = InstanceName("w1");
  Listing.Role_ = InstanceRole::Worker;
  Listing.Zone_ = Zone;
  Listing.Rack_ = RackName("r1");
  Listing.Capacity_ = {Millicores(4000), Mebibytes(1000), Accelerators(0)};
  Listing.Http_ = {"127.0.0.1", 1};
  return Listing;
}

} // namespace

BOOST_AUTO_TEST_SUITE(object_client)

BOOST_AUTO_TEST_CASE(returns_the_bytes_that_it_stored) {
  RunningServer<PlatformServer> Platform(Duration::zero());
  ObjectClient Client(Platform.address(), Zone, AmpleTimeout);
  std::string Bytes("\0\xff album", 8);
  BOOST_TEST(Client.put("jobs/j1/0", Bytes).has_value());
  BOOST_TEST((Client.get("jobs/j1/0").value() == Bytes));
  BOOST_TEST((Client.get("jobs/j1/1").error() == Errc::NotFound));
  BOOST_TEST((Client.get("a b").error() == Errc::InvalidInput));
  BOOST_TEST((Client.put("", Bytes).error() == Errc::InvalidInput));
}

BOOST_AUTO_TEST_CASE(distinguishes_not_stored_from_possibly_stored) {
  RunningServer<PlatformServer> Platform(Duration::zero());
  Platform.post("/faults", R"({"down":true})");
  ObjectClient Client(Platform.address(), Zone, AmpleTimeout);
  BOOST_TEST((Client.put("a", "b").error() == Errc::OutcomeUnknown));
  BOOST_TEST((Client.get("a").error() == Errc::ConnectionLost));
  ObjectClient UnreachableClient(unusedAddress(), Zone, AmpleTimeout);
  BOOST_TEST((UnreachableClient.put("a", "b").error() == Errc::ConnectFailed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(instance_list_client)

BOOST_AUTO_TEST_CASE(reads_the_list_and_reports_invalid_entries) {
  RunningServer<PlatformServer> Platform(Duration::zero());
  BOOST_TEST(registerInstance(Platform.address(), workerListing()).has_value());
  Platform.post("/instances", R"({"name":"broken"})");
  InstanceListClient Client(Platform.address(), Zone, AmpleTimeout);
  InstanceList List = Client.read().value();
  BOOST_REQUIRE(List.Instances_.size() == 1U);
  BOOST_TEST(List.Instances_[0].Rack_.str() == "r1");
  BOOST_TEST(List.Findings_.items().size() == 1U);
}

BOOST_AUTO_TEST_CASE(returns_changes_only_after_the_lag) {
  RunningServer<PlatformServer> Platform(std::chrono::hours(1));
  BOOST_TEST(registerInstance(Platform.address(), workerListing()).has_value());
  InstanceListClient Client(Platform.address(), Zone, AmpleTimeout);
  BOOST_TEST(Client.read().value().Instances_.empty());
  Platform.post("/faults", R"({"list_lag_ms":0})");
  BOOST_TEST(Client.read().value().Instances_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(worker_client)

BOOST_AUTO_TEST_CASE(starts_an_attempt_and_reads_its_report) {
  RunningServer<WorkerServer> Worker(
      WorkerServerSettings{workerListing(), std::nullopt, Duration::zero()});
  WorkerClient Client(Worker.address(), Zone, AmpleTimeout);
  WorkerReport InitialReport = Client.report().value();
  WorkerCommands Commands;
  Commands.Epoch_ = 1;
  Commands.Boot_ = InitialReport.Boot_;
  StartCommand Start;
  Start.Attempt_ = {{JobId("j"), 0}, 1};
  Start.DeclaredRunTime_ = std::chrono::hours(1);
  Start.StartBefore_ = InitialReport.Clock_ + AmpleTimeout.count();
  Start.LeaseUntil_ = Start.StartBefore_;
  Commands.Starts_ = {Start};
  WorkerAnswer Answer = Client.send(Commands).value();
  BOOST_TEST(Answer.Accepted_);
  BOOST_REQUIRE(Answer.Report_.Attempts_.size() == 1U);
  BOOST_TEST((Answer.Report_.Attempts_[0].State_ == AttemptState::Running));
  Worker.post("/control", R"({"restart":true})");
  BOOST_TEST(!Client.send(Commands).value().Accepted_);
  BOOST_TEST(Client.report().value().Attempts_.empty());
}

BOOST_AUTO_TEST_CASE(distinguishes_not_received_from_possibly_received) {
  WorkerClient UnreachableClient(unusedAddress(), Zone, AmpleTimeout);
  BOOST_TEST((UnreachableClient.send({}).error() == Errc::ConnectFailed));
  BOOST_TEST((UnreachableClient.report().error() == Errc::ConnectFailed));
  RunningServer<WorkerServer> Worker(
      WorkerServerSettings{workerListing(), std::nullopt, Duration::zero()});
  Worker.post("/control", R"({"pause_ms":3600000})");
  WorkerClient Client(Worker.address(), Zone, BriefTimeout);
  BOOST_TEST((Client.send({}).error() == Errc::OutcomeUnknown));
  BOOST_TEST((Client.report().error() == Errc::OutcomeUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
