#define BOOST_TEST_MODULE scheduler_fuzz
#include "virtual_cluster.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>
#include <rapidcheck.h>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace filbertspring::placement::test;

namespace {

rc::Gen<Fault> anyFault() {
  auto Make = [](int Kind, std::uint32_t Target, int AtMs, int LengthMs) {
    return Fault{static_cast<FaultKind>(Kind), std::chrono::milliseconds(AtMs),
                 Target, std::chrono::milliseconds(LengthMs)};
  };
  return rc::gen::apply(Make, rc::gen::inRange(0, FaultKindCount),
                        rc::gen::inRange<std::uint32_t>(0, 64),
                        rc::gen::inRange(0, 60'000),
                        rc::gen::inRange(0, 30'000));
}

/// Draws a case with several faults and noise on every message.
ClusterCase anyCase() {
  ClusterCase Case;
  Case.Seed_ = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  int Count = *rc::gen::inRange(0, 25);
  Case.Faults_ = *rc::gen::container<std::vector<Fault>>(Count, anyFault());
  constexpr double NoiseLevels[] = {0.0, 0.01, 0.05};
  Case.Noise_ = NoiseLevels[*rc::gen::inRange(0, 3)];
  Case.Zones_ = *rc::gen::inRange(1, 4);
  return Case;
}

std::string firstOf(const std::vector<std::string> &Objections) {
  return Objections.empty() ? std::string() : Objections.front();
}

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler)

BOOST_AUTO_TEST_CASE(keeps_its_promises_under_faults) {
  bool Held = rc::check("no rule is broken and all work ends", [] {
    ClusterCase Case = anyCase();
    ClusterResult Result = VirtualCluster(Case).run();
    if (!Result.Objections_.empty())
      RC_FAIL(firstOf(Result.Objections_));
  });
  BOOST_TEST(Held);
}

BOOST_AUTO_TEST_SUITE_END()
