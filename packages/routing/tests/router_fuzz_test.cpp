#include "fuzz_harness.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace filbertspring;
using namespace filbertspring::routing;
using namespace filbertspring::routing::routing_test;

namespace {

struct NoModel {};

/// Adapts a step to a command of rapidcheck's state testing.
struct StepCommand : rc::state::Command<NoModel, FuzzHarness> {
  StepCommand() {
    // The first three kinds (arrivals, time and ends of attempts) are drawn
    // more often than the rest.
    constexpr int Common = 18;
    int Drawn = *rc::gen::inRange(0, StepKindCount + Common);
    Step_.Kind_ = static_cast<StepKind>(Drawn);
    if (Drawn >= StepKindCount)
      Step_.Kind_ = static_cast<StepKind>(Drawn % 3);
    Step_.A_ = *rc::gen::inRange<std::uint32_t>(0, 1024);
    Step_.B_ = *rc::gen::inRange<std::uint32_t>(0, 1024);
    Step_.C_ = *rc::gen::inRange<std::uint32_t>(0, 1024);
  }
  void run(const NoModel & /*Before*/, FuzzHarness &Harness) const override {
    Harness.run(Step_);
    RC_ASSERT(Harness.FirstViolation_ == "");
  }
  void show(std::ostream &Out) const override { Out << Step_; }

  Step Step_;
};

bool holdsUnderFaults(const char *Name, EndpointPolicy Policy) {
  return rc::check(Name, [&] {
    auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    // Scale the size, because rapidcheck's default sequences are too short.
    auto Commands = *rc::gen::scale(
        6.0, rc::state::gen::commands(
                 NoModel{}, rc::state::gen::execOneOfWithArgs<StepCommand>()));
    FuzzHarness Harness(Seed, Policy);
    rc::state::runAll(Commands, NoModel{}, Harness);
    Harness.finish();
    RC_ASSERT(Harness.FirstViolation_ == "");
    RC_CLASSIFY(Harness.Outcomes_[RequestOutcome::Completed] > 0, "completed");
    RC_CLASSIFY(Harness.Outcomes_[RequestOutcome::NotRun] > 0, "not run");
    RC_CLASSIFY(Harness.Outcomes_[RequestOutcome::Unknown] > 0, "unknown");
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_under_faults)

BOOST_AUTO_TEST_CASE(holds_its_invariants_with_the_sampled_policy) {
  BOOST_TEST(holdsUnderFaults("sampled", SampledPolicy{}));
}

BOOST_AUTO_TEST_CASE(holds_its_invariants_with_the_baseline_policies) {
  BOOST_TEST(holdsUnderFaults("random", RandomPolicy{}));
  BOOST_TEST(holdsUnderFaults("round robin", RoundRobinPolicy{}));
  BOOST_TEST(holdsUnderFaults("least in flight", LeastInFlightPolicy{}));
}

BOOST_AUTO_TEST_SUITE_END()
