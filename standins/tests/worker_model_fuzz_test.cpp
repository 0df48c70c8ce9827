#define BOOST_TEST_MODULE worker_model_fuzz
#include "worker_model_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace filbertspring;
using namespace filbertspring::worker_model_test;

namespace {

std::int64_t coresOf(const AttemptRef &Ref) { return 1 + Ref.Attempt_ % 3; }

} // namespace

BOOST_AUTO_TEST_CASE(no_order_of_commands_runs_an_attempt_twice_or_overfills) {
  bool Holds = rc::check("runs stay apart and within capacity", [] {
    Fixture Subject;
    WorkerTime Now = 0;
    const int Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      Now += *rc::gen::inRange(0, 700);
      AttemptRef Ref =
          attempt(*rc::gen::inRange(1, 6), *rc::gen::element("a", "b"));
      StartCommand Command = startOf(Ref, coresOf(Ref));
      Command.LeaseUntil_ = Now + *rc::gen::inRange(-50, 900);
      WorkerCommands Commands = Subject.commands(*rc::gen::inRange(1, 4));
      if (*rc::gen::inRange(0, 3) == 0)
        Commands.Stops_ = {{Ref, true}};
      if (*rc::gen::inRange(0, 3) == 0)
        Commands.Acknowledged_ = {Ref};
      Commands.Renewals_ = {{Ref, Now + 500}};
      Commands.Starts_ = {Command};
      WorkerAnswer Answer = Subject.Worker_.obey(Commands, Now);
      std::int64_t CoresInUse = 0;
      for (const AttemptReport &Each : Answer.Report_.Attempts_)
        if (Each.State_ == AttemptState::Running)
          CoresInUse += coresOf(Each.Attempt_);
      RC_ASSERT(CoresInUse <= 4);
    }
    std::vector<AttemptRef> Seen;
    for (const RunInterval &Each : Subject.Worker_.runs()) {
      RC_ASSERT(std::count(Seen.begin(), Seen.end(), Each.Attempt_) == 0);
      Seen.push_back(Each.Attempt_);
    }
  });
  BOOST_TEST(Holds);
}
