#include "filbertspring/placement/colocation.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace std::chrono_literals;

namespace {

const ServiceName Checks("booking-check");
const BatchKindName Heavy("album");
const BatchKindName Light("filing");
const WorkerName Worker("w1");

/// A tail of 100 ms alone, slowed by exp(2) when albums fill the worker.
Duration tailBeside(const BatchMix &Mix) {
  double Milliseconds = 100.0;
  for (const KindUse &Use : Mix)
    if (Use.Kind_ == Heavy)
      Milliseconds *= std::exp(2.0 * Use.Fraction_);
  return Duration(static_cast<Duration::rep>(Milliseconds * 1000));
}

InterferenceModel trainedModel() {
  InterferenceModel Model;
  for (int Round = 0; Round < 200; ++Round) {
    BatchMix Mix;
    if (Round % 3 == 1)
      Mix = {{Heavy, 0.5}};
    if (Round % 3 == 2)
      Mix = {{Light, 0.5}, {Heavy, 0.1}};
    Model.observe({Checks, tailBeside(Mix), 50.0, Mix});
  }
  return Model;
}

ColocationReport reportAt(WorkerTime Clock, Duration Tail,
                          WorkerTime MeasuredAt) {
  ColocationReport Report;
  Report.Worker_ = Worker;
  Report.Clock_ = Clock;
  Report.Services_ = {{Checks, Tail, 50.0, MeasuredAt}};
  Report.Tasks_ = {{{{JobId("heavy"), 0}, 1}, Heavy, 0.3, 10s},
                   {{{JobId("light"), 0}, 1}, Light, 0.3, 1s}};
  return Report;
}

ColocationPolicy policyWithTarget() {
  ColocationPolicy Policy;
  Policy.setLatencyTargets({{Checks, 250ms}});
  return Policy;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_interference_model)

BOOST_AUTO_TEST_CASE(tells_the_kind_that_slows_from_the_one_that_does_not) {
  InterferenceModel Model = trainedModel();
  BOOST_TEST(Model.slowdown(Checks, Heavy) > 1.5);
  BOOST_TEST(Model.slowdown(Checks, Light) < 0.3);
}

BOOST_AUTO_TEST_CASE(predicts_a_mix_that_it_has_not_seen) {
  BatchMix Mix = {{Heavy, 0.3}};
  TailPrediction Tail = trainedModel().predict(Checks, 50.0, Mix).value();
  double Error =
      std::abs(std::log(static_cast<double>(Tail.Expected_.count()) /
                        static_cast<double>(tailBeside(Mix).count())));
  BOOST_TEST(Error < 0.25);
}

BOOST_AUTO_TEST_CASE(is_less_certain_of_what_it_has_not_seen) {
  InterferenceModel Model = trainedModel();
  BatchMix Unseen = {{BatchKindName("unseen"), 0.3}};
  BOOST_TEST(Model.predict(Checks, 50.0, Unseen)->Deviation_ >
             Model.predict(Checks, 50.0, {{Heavy, 0.3}})->Deviation_);
}

BOOST_AUTO_TEST_CASE(says_nothing_of_a_service_that_was_never_measured) {
  BOOST_TEST(!trainedModel().predict(ServiceName("x"), 1.0, {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_colocation_policy)

BOOST_AUTO_TEST_CASE(leaves_a_service_alone_that_is_on_time) {
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

BOOST_AUTO_TEST_CASE(evicts_at_once_when_the_service_is_far_too_slow) {
  ColocationPolicy Policy = policyWithTarget();
  auto Actions = Policy.observe(reportAt(1000, 500ms, 900));
  BOOST_REQUIRE(Actions.size() == 1U);
  BOOST_TEST(std::holds_alternative<EvictTask>(Actions[0]));
}

BOOST_AUTO_TEST_CASE(gives_processors_back_when_there_is_room) {
  ColocationPolicy Policy = policyWithTarget();
  Policy.observe(reportAt(1000, 300ms, 900));
  auto Actions = Policy.observe(reportAt(3000, 120ms, 2000));
  BOOST_REQUIRE(Actions.size() == 1U);
  BOOST_TEST(std::get<ThrottleTask>(Actions[0]).Fraction_ == 1.0);
}

BOOST_AUTO_TEST_CASE(admits_anything_where_no_service_runs) {
  ColocationPolicy Policy = policyWithTarget();
  BOOST_TEST(Policy.admits(Worker, Heavy, 1.0));
}

BOOST_AUTO_TEST_CASE(refuses_what_it_predicts_to_break_the_target) {
  ColocationPolicy Policy = policyWithTarget();
  ColocationReport Alone;
  Alone.Worker_ = Worker;
  for (int Round = 1; Round < 100; ++Round) {
    Alone.Clock_ = Round * 1000;
    bool Shared = Round % 2 == 0;
    Alone.Tasks_.clear();
    if (Shared)
      Alone.Tasks_ = {{{{JobId("h"), 0}, Round}, Heavy, 0.3, 1s}};
    BatchMix Before;
    if (!Shared && Round > 1)
      Before = {{Heavy, 0.3}};
    Alone.Services_ = {{Checks, tailBeside(Before), 50.0, Alone.Clock_ - 1}};
    Policy.observe(Alone);
  }
  BOOST_TEST(!Policy.admits(Worker, Heavy, 0.9));
}

BOOST_AUTO_TEST_SUITE_END()
