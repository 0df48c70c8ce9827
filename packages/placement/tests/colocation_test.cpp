#include "filbertspring/placement/colocation.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace std::chrono_literals;

namespace {

const ServiceName CheckService("booking-check");
const BatchKindName SlowingKind("album");
const BatchKindName HarmlessKind("filing");
const WorkerName Worker("w1");

/// Returns the simulated tail latency of the service: 100 ms without batch
/// work, multiplied by exp(2) when SlowingKind uses the whole worker.
Duration tailLatencyBeside(const BatchMix &Mix) {
  double Milliseconds = 100.0;
  for (const KindUse &Use : Mix)
    if (Use.Kind_ == SlowingKind)
      Milliseconds *= std::exp(2.0 * Use.Fraction_);
  return Duration(static_cast<Duration::rep>(Milliseconds * 1000));
}

InterferenceModel trainedModel() {
  InterferenceModel Model;
  for (int Round = 0; Round < 200; ++Round) {
    BatchMix Mix;
    if (Round % 3 == 1)
      Mix = {{SlowingKind, 0.5}};
    if (Round % 3 == 2)
      Mix = {{HarmlessKind, 0.5}, {SlowingKind, 0.1}};
    Model.observe({CheckService, tailLatencyBeside(Mix), 50.0, Mix});
  }
  return Model;
}

ColocationReport reportAt(WorkerTime Clock, Duration TailLatency,
                          WorkerTime MeasuredAt) {
  ColocationReport Report;
  Report.Worker_ = Worker;
  Report.Clock_ = Clock;
  Report.Services_ = {{CheckService, TailLatency, 50.0, MeasuredAt}};
  Report.Tasks_ = {{{{JobId("heavy"), 0}, 1}, SlowingKind, 0.3, 10s},
                   {{{JobId("light"), 0}, 1}, HarmlessKind, 0.3, 1s}};
  return Report;
}

ColocationPolicy policyWithTarget() {
  ColocationPolicy Policy;
  Policy.setLatencyTargets({{CheckService, 250ms}});
  return Policy;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_interference_model)

BOOST_AUTO_TEST_CASE(distinguishes_slowing_from_harmless_kinds) {
  InterferenceModel Model = trainedModel();
  BOOST_TEST(Model.slowdown(CheckService, SlowingKind) > 1.5);
  BOOST_TEST(Model.slowdown(CheckService, HarmlessKind) < 0.3);
}

BOOST_AUTO_TEST_CASE(predicts_an_unobserved_mix) {
  BatchMix Mix = {{SlowingKind, 0.3}};
  TailPrediction Prediction =
      trainedModel().predict(CheckService, 50.0, Mix).value();
  double Error =
      std::abs(std::log(static_cast<double>(Prediction.Expected_.count()) /
                        static_cast<double>(tailLatencyBeside(Mix).count())));
  BOOST_TEST(Error < 0.25);
}

BOOST_AUTO_TEST_CASE(is_less_certain_for_an_unobserved_kind) {
  InterferenceModel Model = trainedModel();
  BatchMix Unobserved = {{BatchKindName("unseen"), 0.3}};
  BOOST_TEST(
      Model.predict(CheckService, 50.0, Unobserved)->Deviation_ >
      Model.predict(CheckService, 50.0, {{SlowingKind, 0.3}})->Deviation_);
}

BOOST_AUTO_TEST_CASE(predicts_nothing_for_an_unmeasured_service) {
  BOOST_TEST(!trainedModel().predict(ServiceName("x"), 1.0, {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_colocation_policy)

BOOST_AUTO_TEST_CASE(does_nothing_when_a_service_meets_its_target) {
  ColocationPolicy Policy = policyWithTarget();
  BOOST_TEST(Policy.observe(reportAt(1000, 200ms, 900)).empty());
}

BOOST_AUTO_TEST_CASE(throttles_before_it_evicts) {
  ColocationPolicy Policy = policyWithTarget();
  auto First = Policy.observe(reportAt(1000, 300ms, 900));
  BOOST_REQUIRE(First.size() == 1U);
  BOOST_TEST(std::holds_alternative<ThrottleTask>(First[0]));
  auto Second = Policy.observe(reportAt(3000, 300ms, 2000));
  BOOST_REQUIRE(Second.size() == 1U);
  auto Third = Policy.observe(reportAt(5000, 300ms, 4000));
  BOOST_REQUIRE(Third.size() == 1U);
  BOOST_TEST(std::holds_alternative<EvictTask>(Third[0]));
}

BOOST_AUTO_TEST_CASE(acts_again_only_on_a_newer_measurement) {
  ColocationPolicy Policy = policyWithTarget();
  BOOST_TEST(Policy.observe(reportAt(1000, 300ms, 900)).size() == 1U);
  BOOST_TEST(Policy.observe(reportAt(2000, 300ms, 900)).empty());
  BOOST_TEST(Policy.observe(reportAt(3000, 300ms, 950)).empty());
  BOOST_TEST(Policy.observe(reportAt(4000, 300ms, 1500)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(evicts_without_throttling_far_above_the_target) {
  ColocationPolicy Policy = policyWithTarget();
  auto Actions = Policy.observe(reportAt(1000, 500ms, 900));
  BOOST_REQUIRE(Actions.size() == 1U);
  BOOST_TEST(std::holds_alternative<EvictTask>(Actions[0]));
}

BOOST_AUTO_TEST_CASE(ends_a_throttle_far_below_the_target) {
  ColocationPolicy Policy = policyWithTarget();
  Policy.observe(reportAt(1000, 300ms, 900));
  auto Actions = Policy.observe(reportAt(3000, 120ms, 2000));
  BOOST_REQUIRE(Actions.size() == 1U);
  BOOST_TEST(std::get<ThrottleTask>(Actions[0]).Fraction_ == 1.0);
}

BOOST_AUTO_TEST_CASE(admits_any_task_on_a_worker_without_services) {
  ColocationPolicy Policy = policyWithTarget();
  BOOST_TEST(Policy.admits(Worker, SlowingKind, 1.0));
}

BOOST_AUTO_TEST_CASE(refuses_a_task_predicted_to_exceed_the_target) {
  ColocationPolicy Policy = policyWithTarget();
  ColocationReport Report;
  Report.Worker_ = Worker;
  for (int Round = 1; Round < 100; ++Round) {
    Report.Clock_ = Round * 1000;
    bool HasTask = Round % 2 == 0;
    Report.Tasks_.clear();
    if (HasTask)
      Report.Tasks_ = {{{{JobId("h"), 0}, Round}, SlowingKind, 0.3, 1s}};
    BatchMix PreviousMix;
    if (!HasTask && Round > 1)
      PreviousMix = {{SlowingKind, 0.3}};
    Report.Services_ = {{CheckService, tailLatencyBeside(PreviousMix), 50.0,
                         Report.Clock_ - 1}};
    Policy.observe(Report);
  }
  BOOST_TEST(!Policy.admits(Worker, SlowingKind, 0.9));
}

BOOST_AUTO_TEST_SUITE_END()
