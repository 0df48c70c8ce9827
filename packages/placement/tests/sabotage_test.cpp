#define BOOST_TEST_MODULE sabotage
#include "virtual_cluster.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <initializer_list>
#include <map>
#include <string_view>

using namespace filbertspring;
using namespace filbertspring::placement;
using namespace filbertspring::placement::test;

namespace {

constexpr std::uint64_t MaxSeeds = 40;
/// For a mechanism whose loss seldom shows.
constexpr std::uint64_t ManySeeds = 400;

/// Draws a case by its seed alone, heavy on the faults in \p Favoured.
ClusterCase seededCase(std::uint64_t Seed, Sabotage Missing,
                       std::initializer_list<FaultKind> Favoured) {
  pcg32 Random(Seed);
  ClusterCase Case;
  Case.Seed_ = Seed;
  Case.Sabotage_ = Missing;
  Case.Noise_ = 0.05;
  for (int Index = 0; Index < 24; ++Index) {
    Fault Each;
    Each.Kind_ = Index % 2 == 0
                     ? Favoured.begin()[Random(Favoured.size())]
                     : static_cast<FaultKind>(Random(FaultKindCount));
    Each.At_ = std::chrono::milliseconds(Random(50'000));
    Each.Target_ = Random(64);
    Each.Length_ = std::chrono::milliseconds(Random(30'000));
    Case.Faults_.push_back(Each);
  }
  return Case;
}

/// Has the first node lose the table and go on renewing leases, while the one
/// that takes over loses the workers \p Later after it.
ClusterCase overlappingOwners(std::uint64_t Seed, Sabotage Missing,
                              Duration Later) {
  pcg32 Random(Seed);
  ClusterCase Case;
  Case.Seed_ = Seed;
  Case.Sabotage_ = Missing;
  Case.Jobs_ = 40;
  Duration At = std::chrono::milliseconds(6'000 + Random(6'000));
  Duration Jitter = std::chrono::milliseconds(Random(2'000));
  Case.Faults_ = {
      {FaultKind::CutNodeFromTable, At, 0, std::chrono::seconds(45)},
      {FaultKind::CutNodeFromWorkers, At + Later + Jitter, 1,
       std::chrono::seconds(40)}};
  return Case;
}

/// Returns the first objection that contains \p Text, over the seeds.
template <typename MakeCase>
std::string objection(MakeCase Make, Sabotage Missing, std::string_view Text,
                      std::uint64_t Seeds) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ClusterResult Result = VirtualCluster(Make(Seed, Missing)).run();
    for (const std::string &Each : Result.Objections_)
      if (Each.find(Text) != std::string::npos) {
        BOOST_TEST_MESSAGE("seed " << Seed << ": " << Each);
        return Each;
      }
  }
  return {};
}

template <typename MakeCase>
void mustObjectIn(MakeCase Make, Sabotage Missing, std::string_view Text,
                  std::uint64_t Seeds = MaxSeeds) {
  BOOST_TEST(!objection(Make, Missing, Text, Seeds).empty());
  // The same cases with the mechanism in place are clean.
  BOOST_TEST(objection(Make, Sabotage::None, "", Seeds) == "");
}

void mustObject(Sabotage Missing, std::string_view Text,
                std::initializer_list<FaultKind> Favoured,
                std::uint64_t Seeds = MaxSeeds) {
  auto Make = [Favoured](std::uint64_t Seed, Sabotage Each) {
    return seededCase(Seed, Each, Favoured);
  };
  mustObjectIn(Make, Missing, Text, Seeds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_cases)

BOOST_AUTO_TEST_CASE(reach_what_the_rules_are_about) {
  std::map<TaskState, int> Ends;
  int Evictions = 0;
  int Retries = 0;
  std::int64_t Takeovers = 0;
  constexpr std::uint64_t Seeds = 10;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ClusterCase Case = seededCase(Seed, Sabotage::None,
                                  {FaultKind::ZoneOut, FaultKind::PauseNode});
    ClusterResult Result = VirtualCluster(Case).run();
    for (const auto &[Name, Rack] : Result.Racks_)
      Takeovers += Rack.Epoch_ - 1;
    for (const auto &[Name, Job] : Result.Jobs_)
      for (const Task &Each : Job.Tasks_) {
        ++Ends[Each.State_];
        Evictions += Each.Evictions_;
        Retries += std::max(0, Each.Attempt_ - 1 - Each.Failures_);
      }
  }
  BOOST_TEST_MESSAGE(Takeovers << " takeovers, " << Evictions << " evictions, "
                               << Retries << " later attempts");
  BOOST_TEST(Ends[TaskState::Finished] > 0);
  BOOST_TEST(Ends[TaskState::Failed] > 0);
  BOOST_TEST(Ends[TaskState::Impossible] > 0);
  BOOST_TEST(Ends[TaskState::Cancelled] > 0);
  BOOST_TEST(Takeovers > 0);
  BOOST_TEST(Evictions > 0);
  BOOST_TEST(Retries > Evictions);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_oracle_objects)

BOOST_AUTO_TEST_CASE(when_an_unknown_commit_is_taken_for_committed) {
  mustObject(Sabotage::TrustUnknownCommits, "started without a claim",
             {FaultKind::TableDown, FaultKind::CutNodeFromTable});
}

BOOST_AUTO_TEST_CASE(when_recovery_does_not_wait_for_leases) {
  mustObject(Sabotage::RecoverAtOnce, " ran until ",
             {FaultKind::SilenceWorker, FaultKind::RefuseWorker});
}

BOOST_AUTO_TEST_CASE(when_waits_ignore_that_clocks_differ) {
  mustObject(Sabotage::IgnoreDrift, " ran until ",
             {FaultKind::SilenceWorker, FaultKind::SilenceWorker});
}

BOOST_AUTO_TEST_CASE(when_an_owner_renews_longer_than_others_wait) {
  auto Make = [](std::uint64_t Seed, Sabotage Each) {
    return overlappingOwners(Seed, Each, std::chrono::seconds(0));
  };
  mustObjectIn(Make, Sabotage::RenewBeyondGrace, " ran until ");
}

BOOST_AUTO_TEST_CASE(when_claims_do_not_depend_on_the_zone) {
  mustObject(Sabotage::NoZoneGuard, "after its zone was taken out",
             {FaultKind::ZoneOut, FaultKind::ZoneIn});
}

BOOST_AUTO_TEST_CASE(when_workers_accept_late_starts) {
  mustObject(Sabotage::NoStartBound, "after its zone was taken out",
             {FaultKind::ZoneOut, FaultKind::PauseNode});
}

BOOST_AUTO_TEST_CASE(when_workers_obey_old_owners) {
  auto Make = [](std::uint64_t Seed, Sabotage Each) {
    return overlappingOwners(Seed, Each, std::chrono::seconds(3));
  };
  mustObjectIn(Make, Sabotage::NoEpochs, " ran until ");
}

BOOST_AUTO_TEST_CASE(when_rack_rows_are_written_blindly) {
  mustObject(Sabotage::BlindRackWrites, "ran beyond the capacity",
             {FaultKind::ReassignRacks, FaultKind::PauseNode}, ManySeeds);
}

BOOST_AUTO_TEST_CASE(when_ledgers_are_written_blindly) {
  mustObject(Sabotage::BlindLedgerWrites, "grant",
             {FaultKind::SubmitJobs, FaultKind::ChangeQuota});
}

BOOST_AUTO_TEST_CASE(when_ends_are_acknowledged_before_the_table_knows) {
  mustObject(Sabotage::AcknowledgeAtOnce, "acknowledged before",
             {FaultKind::ZoneOut, FaultKind::TableDown});
}

BOOST_AUTO_TEST_SUITE_END()
