/// \file
/// Plays fillers beside one serving task in virtual time, with reports and
/// commands that are late or lost. Users tolerate that a serving task is over
/// its target because of fillers for four seconds.

#include "serving_worker.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::scheduling::test {
namespace {

constexpr Duration HarmLimit = 4s;

/// A worker on which fillers of several images have been harmless for long, so
/// that they are not expected to be the cause when they disturb.
struct BesideFillers {
  BesideFillers() {
    Worker_.startServing();
    Worker_.submitFillers(60, 4);
    Worker_.run(20s);
    BOOST_REQUIRE(Worker_.workingFillers() > 0);
  }

  /// Plays until long after the fillers begin to disturb.
  void disturb(double Effect = 12, Duration Time = 12s) {
    Worker_.setEffect(Effect);
    Worker_.run(Time);
    BOOST_TEST((Worker_.longestHarm() < HarmLimit),
               "harm of " << Worker_.longestHarm() / 1ms << " ms");
  }

  ServingWorker Worker_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_serving_task_over_its_target_because_of_fillers)

BOOST_FIXTURE_TEST_CASE(is_not_harmed_by_fillers_that_wait_for_a_worker,
                        BesideFillers) {
  disturb();
}

BOOST_FIXTURE_TEST_CASE(is_not_harmed_if_each_filler_disturbs_little,
                        BesideFillers) {
  disturb(2.5);
}

BOOST_AUTO_TEST_CASE(is_not_harmed_if_single_reports_are_under_it) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    BesideFillers Beside;
    Beside.Worker_.setReportNoise(Seed);
    Beside.disturb(3);
  }
}

BOOST_FIXTURE_TEST_CASE(is_not_harmed_if_reports_are_late, BesideFillers) {
  Worker_.setReportDelay(400ms);
  disturb();
}

BOOST_FIXTURE_TEST_CASE(is_not_harmed_if_no_report_arrives_for_a_time,
                        BesideFillers) {
  Worker_.setEffect(12);
  Worker_.run(1300ms);
  Worker_.setReportDelay(2s);
  disturb();
}

BOOST_FIXTURE_TEST_CASE(is_not_harmed_if_each_first_pace_command_is_lost,
                        BesideFillers) {
  Worker_.loseFirstPaces(LostCall::Command);
  disturb();
}

BOOST_FIXTURE_TEST_CASE(is_not_harmed_if_each_first_pace_answer_is_lost,
                        BesideFillers) {
  Worker_.loseFirstPaces(LostCall::Answer);
  disturb();
}

BOOST_FIXTURE_TEST_CASE(is_not_harmed_if_each_first_pace_command_is_delayed,
                        BesideFillers) {
  Worker_.loseFirstPaces(LostCall::Delayed);
  disturb(4, 20s);
}

BOOST_FIXTURE_TEST_CASE(is_not_harmed_if_each_first_stop_command_is_lost,
                        BesideFillers) {
  Worker_.loseFirstStops(LostCall::Command);
  disturb();
}

BOOST_FIXTURE_TEST_CASE(is_not_harmed_by_starts_without_an_answer,
                        BesideFillers) {
  Worker_.loseFirstStarts(LostCall::Answer);
  disturb();
}

BOOST_FIXTURE_TEST_CASE(is_not_harmed_while_the_configuration_changes,
                        BesideFillers) {
  Worker_.setEffect(12);
  for (int Change = 0; Change < 20; ++Change) {
    Worker_.reconfigure(Change % 2 == 0);
    Worker_.run(300ms);
  }
  disturb();
}

BOOST_FIXTURE_TEST_CASE(gets_fillers_again_once_they_are_harmless,
                        BesideFillers) {
  disturb();
  Worker_.setEffect(0);
  Worker_.run(8s);
  BOOST_TEST(Worker_.workingFillers() > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
