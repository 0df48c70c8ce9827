#define BOOST_TEST_MODULE scheduler_fuzz
#include "virtual_cluster.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>
#include <rapidcheck.h>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace filbertspring::placement::test;

namespace {

rc::Gen<Fault> arbitraryFault() {
  auto Make = [](int Kind, std::uint32_t Target, int AtMs, int LengthMs) {
    return Fault{static_cast<FaultKind>(Kind), std::chrono::milliseconds(AtMs),
                 Target, std::chrono::milliseconds(LengthMs)};
  };
  return rc::gen::apply(Make, rc::gen::inRange(0, FaultKindCount),
                        rc::gen::inRange<std::uint32_t>(0, 64),
                        rc::gen::inRange(0, 60'000),
                        rc::gen::inRange(0, 30'000));
}

/// Draws a case with up to 24 faults and a random rate of message faults.
ClusterCase drawCase() {
  ClusterCase Case;
  Case.Seed_ = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  int Count = *rc::gen::inRange(0, 25);
  Case.Faults_ =
      *rc::gen::container<std::vector<Fault>>(Count, arbitraryFault());
  constexpr double MessageFaultRates[] = {0.0, 0.01, 0.05};
  Case.MessageFaultRate_ = MessageFaultRates[*rc::gen::inRange(0, 3)];
  Case.Zones_ = *rc::gen::inRange(1, 4);
  Case.CalmJobs_ = 10;
  return Case;
}

std::string firstOf(const std::vector<std::string> &Violations) {
  return Violations.empty() ? std::string() : Violations.front();
}

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler)

BOOST_AUTO_TEST_CASE(keeps_its_invariants_under_faults) {
  bool Passed = rc::check("no rule is broken and all work ends", [] {
    ClusterCase Case = drawCase();
    ClusterResult Result = VirtualCluster(Case).run();
    if (!Result.Violations_.empty())
      RC_FAIL(firstOf(Result.Violations_));
  });
  BOOST_TEST(Passed);
}

BOOST_AUTO_TEST_CASE(tries_workers_again_that_were_all_quarantined) {
  ClusterCase Case;
  Case.Seed_ = 3346;
  Case.Zones_ = 1;
  Case.CalmJobs_ = 10;
  BOOST_TEST(firstOf(VirtualCluster(Case).run().Violations_) == "");
}

BOOST_AUTO_TEST_SUITE_END()
