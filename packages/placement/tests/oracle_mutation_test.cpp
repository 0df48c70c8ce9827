#define BOOST_TEST_MODULE oracle_mutation
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
/// For a mutation that rarely causes a violation.
constexpr std::uint64_t MaxSeedsForRareViolations = 400;

/// Draws a case that depends only on \p Seed and its kinds of faults. Every
/// second fault is one of \p FrequentKinds.
ClusterCase makeSeededCase(std::uint64_t Seed, Mutation Applied,
                           std::initializer_list<FaultKind> FrequentKinds) {
  pcg32 Random(Seed);
  ClusterCase Case;
  Case.Seed_ = Seed;
  Case.Mutation_ = Applied;
  Case.MessageFaultRate_ = 0.05;
  for (int Index = 0; Index < 24; ++Index) {
    Fault Drawn;
    Drawn.Kind_ = Index % 2 == 0
                      ? FrequentKinds.begin()[Random(FrequentKinds.size())]
                      : static_cast<FaultKind>(Random(FaultKindCount));
    Drawn.At_ = std::chrono::milliseconds(Random(50'000));
    Drawn.Target_ = Random(64);
    Drawn.Length_ = std::chrono::milliseconds(Random(30'000));
    Case.Faults_.push_back(Drawn);
  }
  return Case;
}

/// Returns a case with two competing owners: the first node loses the table but
/// can still renew leases, and about \p Delay later the second node, which
/// takes over, loses the workers.
ClusterCase makeOverlappingOwnersCase(std::uint64_t Seed, Mutation Applied,
                                      Duration Delay) {
  pcg32 Random(Seed);
  ClusterCase Case;
  Case.Seed_ = Seed;
  Case.Mutation_ = Applied;
  Case.Jobs_ = 40;
  Duration At = std::chrono::milliseconds(6'000 + Random(6'000));
  Duration Jitter = std::chrono::milliseconds(Random(2'000));
  Case.Faults_ = {
      {FaultKind::PartitionNodeFromTable, At, 0, std::chrono::seconds(45)},
      {FaultKind::PartitionNodeFromWorkers, At + Delay + Jitter, 1,
       std::chrono::seconds(40)}};
  return Case;
}

/// Returns the first violation that contains \p Text, trying seeds from 1 to
/// \p Seeds, or an empty string.
template <typename MakeCase>
std::string findViolation(MakeCase Make, Mutation Applied,
                          std::string_view Text, std::uint64_t Seeds) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ClusterResult Result = VirtualCluster(Make(Seed, Applied)).run();
    for (const std::string &Violation : Result.Violations_)
      if (Violation.find(Text) != std::string::npos) {
        BOOST_TEST_MESSAGE("seed " << Seed << ": " << Violation);
        return Violation;
      }
  }
  return {};
}

/// Checks that the mutation causes a violation that contains \p Text and that
/// the same cases are free of violations without it.
template <typename MakeCase>
void expectViolationIn(MakeCase Make, Mutation Applied, std::string_view Text,
                       std::uint64_t Seeds = MaxSeeds) {
  BOOST_TEST(!findViolation(Make, Applied, Text, Seeds).empty());
  BOOST_TEST(findViolation(Make, Mutation::None, "", Seeds) == "");
}

void expectViolation(Mutation Applied, std::string_view Text,
                     std::initializer_list<FaultKind> FrequentKinds,
                     std::uint64_t Seeds = MaxSeeds) {
  auto Make = [FrequentKinds](std::uint64_t Seed, Mutation Selected) {
    return makeSeededCase(Seed, Selected, FrequentKinds);
  };
  expectViolationIn(Make, Applied, Text, Seeds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(generated_cases)

BOOST_AUTO_TEST_CASE(cover_the_checked_situations) {
  std::map<TaskState, int> FinalStateCounts;
  int Evictions = 0;
  int Retries = 0;
  std::int64_t Takeovers = 0;
  constexpr std::uint64_t Seeds = 10;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ClusterCase Case =
        makeSeededCase(Seed, Mutation::None,
                       {FaultKind::SetZoneOutOfService, FaultKind::PauseNode});
    ClusterResult Result = VirtualCluster(Case).run();
    for (const auto &[Name, Rack] : Result.Racks_)
      Takeovers += Rack.Epoch_ - 1;
    for (const auto &[Name, Job] : Result.Jobs_)
      for (const Task &Entry : Job.Tasks_) {
        ++FinalStateCounts[Entry.State_];
        Evictions += Entry.Evictions_;
        Retries += std::max(0, Entry.Attempt_ - 1 - Entry.Failures_);
      }
  }
  BOOST_TEST_MESSAGE(Takeovers << " takeovers, " << Evictions << " evictions, "
                               << Retries << " later attempts");
  BOOST_TEST(FinalStateCounts[TaskState::Finished] > 0);
  BOOST_TEST(FinalStateCounts[TaskState::Failed] > 0);
  BOOST_TEST(FinalStateCounts[TaskState::Impossible] > 0);
  BOOST_TEST(FinalStateCounts[TaskState::Cancelled] > 0);
  BOOST_TEST(Takeovers > 0);
  BOOST_TEST(Evictions > 0);
  BOOST_TEST(Retries > Evictions);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_oracle_reports_a_violation)

BOOST_AUTO_TEST_CASE(when_an_unknown_commit_is_treated_as_committed) {
  expectViolation(Mutation::AssumeUnknownCommitted, "started without a claim",
                  {FaultKind::TableDown, FaultKind::PartitionNodeFromTable});
}

BOOST_AUTO_TEST_CASE(when_recovery_does_not_wait_for_leases) {
  expectViolation(
      Mutation::SkipLeaseWait, " ran until ",
      {FaultKind::DropWorkerMessages, FaultKind::RefuseWorkerConnections});
}

BOOST_AUTO_TEST_CASE(when_waits_ignore_clock_drift) {
  expectViolation(
      Mutation::IgnoreClockDrift, " ran until ",
      {FaultKind::DropWorkerMessages, FaultKind::DropWorkerMessages});
}

BOOST_AUTO_TEST_CASE(when_an_owner_renews_longer_than_others_wait) {
  auto Make = [](std::uint64_t Seed, Mutation Selected) {
    return makeOverlappingOwnersCase(Seed, Selected, std::chrono::seconds(0));
  };
  expectViolationIn(Make, Mutation::RenewBeyondGrace, " ran until ");
}

BOOST_AUTO_TEST_CASE(when_claims_do_not_depend_on_the_zone) {
  expectViolation(
      Mutation::NoZoneGuard, "after its zone was taken out",
      {FaultKind::SetZoneOutOfService, FaultKind::SetZoneInService});
}

BOOST_AUTO_TEST_CASE(when_workers_accept_late_starts) {
  expectViolation(Mutation::NoStartBound, "after its zone was taken out",
                  {FaultKind::SetZoneOutOfService, FaultKind::PauseNode});
}

BOOST_AUTO_TEST_CASE(when_workers_accept_commands_of_previous_owners) {
  auto Make = [](std::uint64_t Seed, Mutation Selected) {
    return makeOverlappingOwnersCase(Seed, Selected, std::chrono::seconds(3));
  };
  expectViolationIn(Make, Mutation::NoEpochCheck, " ran until ");
}

BOOST_AUTO_TEST_CASE(when_rack_rows_are_written_without_version_check) {
  expectViolation(Mutation::UnconditionalRackWrites, "ran beyond the capacity",
                  {FaultKind::ReassignRacks, FaultKind::PauseNode},
                  MaxSeedsForRareViolations);
}

BOOST_AUTO_TEST_CASE(when_ledgers_are_written_without_version_check) {
  expectViolation(Mutation::UnconditionalLedgerWrites, "grant",
                  {FaultKind::SubmitJobs, FaultKind::ChangeQuota});
}

BOOST_AUTO_TEST_CASE(when_schedulers_leave_out_some_jobs) {
  auto Make = [](std::uint64_t Seed, Mutation Selected) {
    ClusterCase Case = makeSeededCase(
        Seed, Selected, {FaultKind::RestartWorker, FaultKind::CrashNode});
    Case.CalmJobs_ = 10;
    return Case;
  };
  expectViolationIn(Make, Mutation::LeaveOutJobs,
                    "has waited beside free workers");
}

BOOST_AUTO_TEST_CASE(when_ends_are_acknowledged_before_they_are_committed) {
  expectViolation(Mutation::AcknowledgeBeforeCommit, "acknowledged before",
                  {FaultKind::SetZoneOutOfService, FaultKind::TableDown});
}

BOOST_AUTO_TEST_SUITE_END()
