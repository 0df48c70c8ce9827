/// \file
/// Checks the quotas of workspaces in random histories of jobs, configurations,
/// workers, owners and store faults.

#include "simulated_cell.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fmt/format.h>

namespace filbertspring::scheduling::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t WorkspaceCount = 4;
constexpr int Turns = 50;

/// Jobs of some workspaces, of which the last has no maximum, and of none.
class QuotaHistory {
public:
  explicit QuotaHistory(std::uint64_t Seed)
      : Cell_(Seed, 6,
              Seed % 2 == 0 ? FaultRates{0.04, 0.04, 0.02, 0.02, 0.05, 0.2}
                            : FaultRates()),
        HasFaults_(Seed % 4 != 0) {
    configure();
  }

  /// Simulates the history and describes the first violation, or returns an
  /// empty string.
  std::string play();

private:
  std::int64_t draw(std::int64_t From, std::int64_t To) {
    return From + static_cast<std::int64_t>(Cell_.chance() *
                                            static_cast<double>(To - From + 1));
  }
  static std::string nameOfWorkspace(std::size_t Index) {
    return Index == WorkspaceCount ? "" : fmt::format("team-{}", Index);
  }
  /// Applies random maxima; a workspace may be missing.
  void configure();
  void submit();
  void injectFault();
  void endFaults();
  std::string compareCounts();

  SimulatedCell Cell_;
  bool HasFaults_;
  std::vector<std::string> Jobs_;
  std::vector<std::string> LongRunningJobs_;
};

void QuotaHistory::configure() {
  QueueTable Table;
  Queue Batch;
  Batch.Name_ = "batch";
  Batch.Service_ = "service";
  Batch.Attempts_ = 3;
  Batch.SlackFactor_ = 1.5;
  Table.Queues_ = {Batch};
  std::size_t Missing = Cell_.random()() % (3 * WorkspaceCount);
  for (std::size_t Index = 0; Index < WorkspaceCount; ++Index) {
    Workspace Entry;
    Entry.Name_ = nameOfWorkspace(Index);
    Entry.Weight_ = 1.0 + static_cast<double>(Index);
    if (Index + 1 < WorkspaceCount)
      Entry.Maximum_ = {draw(6000, 14'000), draw(5000, 14'000),
                        Index == 0 ? 2 : 0};
    if (Index != Missing)
      Table.Workspaces_.push_back(Entry);
  }
  Cell_.configure(std::move(Table));
}

void QuotaHistory::submit() {
  AcceptedJob Job;
  Job.Id_ = fmt::format("{:016x}", Jobs_.size());
  Job.Queue_ = "batch";
  Job.Service_ = "service";
  Job.Workspace_ = nameOfWorkspace(Cell_.random()() % (WorkspaceCount + 1));
  Job.AcceptedMs_ = Cell_.now().time_since_epoch() / 1ms;
  Job.Spec_.Payload_ = "payload of " + Job.Id_;
  StepSpec Step;
  // At most half of the lowest maximum, so that a workspace below that has
  // enough left.
  Step.Request_ = {draw(300, 3000), draw(300, 2500),
                   Cell_.chance() < 0.2 ? 1 : 0};
  Step.Count_ = static_cast<std::uint32_t>(draw(1, 8));
  Step.Estimate_ = 800ms;
  Step.IsLongRunning_ = Cell_.chance() < 0.08;
  Step.IsFiller_ = !Step.IsLongRunning_ && Cell_.chance() < 0.3;
  Step.Image_ = Step.IsFiller_ ? "filler" : "";
  Step.SavesProgress_ = Cell_.chance() < 0.4;
  if (Step.IsLongRunning_)
    Step.Count_ = 1;
  Job.Spec_.Steps_ = {Step};
  Jobs_.push_back(Job.Id_);
  if (Step.IsLongRunning_)
    LongRunningJobs_.push_back(Job.Id_);
  Cell_.submit(Job);
}

void QuotaHistory::injectFault() {
  std::size_t Worker = Cell_.random()() % Cell_.workerCount();
  switch (Cell_.random()() % 10) {
  case 0:
    return Cell_.takeOver(OwnerEnd::Killed);
  case 1:
    return Cell_.takeOver(OwnerEnd::CutOff);
  case 2:
    return Cell_.crashWorker(Worker, true);
  case 3:
    return Cell_.isolateWorker(Worker);
  case 4:
  case 5:
    return Cell_.restoreNetwork();
  case 6:
    return Cell_.setStoreDown(Cell_.chance() < 0.5);
  case 7:
    return Cell_.splitOwners();
  case 8:
    return Cell_.freezeOwner(std::chrono::milliseconds(draw(200, 2500)));
  default:
    return;
  }
}

void QuotaHistory::endFaults() {
  Cell_.restoreNetwork();
  Cell_.setStoreDown(false);
  Cell_.setCallFaults(false);
}

/// Compares the counts that the present owner keeps with its runs.
std::string QuotaHistory::compareCounts() {
  std::map<std::string, Resources> Recounted =
      Cell_.scheduler().recountWorkspaces();
  for (const WorkspaceCounts &Counts : Cell_.scheduler().workspaceCounts())
    if (Counts.Used_ != Recounted[Counts.Name_])
      return fmt::format("{} is counted with {} mCPU instead of {}",
                         Counts.Name_, Counts.Used_.MilliCpu_,
                         Recounted[Counts.Name_].MilliCpu_);
  return {};
}

std::string QuotaHistory::play() {
  for (int Turn = 0; Turn < Turns; ++Turn) {
    if (Cell_.chance() < 0.7)
      submit();
    if (Cell_.chance() < 0.1)
      configure();
    if (Cell_.chance() < 0.1)
      Cell_.cancel(Jobs_.empty() ? (submit(), Jobs_.front())
                                 : Jobs_[Cell_.random()() % Jobs_.size()]);
    if (HasFaults_ && Cell_.chance() < 0.25)
      injectFault();
    if (Turn % 15 == 14) {
      endFaults();
      Cell_.run(8s);
      Cell_.setCallFaults(true);
    }
    Cell_.run(std::chrono::milliseconds(draw(50, 600)));
    if (std::string Problem = compareCounts(); !Problem.empty())
      return Problem;
  }
  for (const std::string &Job : LongRunningJobs_)
    Cell_.cancel(Job);
  endFaults();
  Cell_.run(60s);
  if (!Cell_.oracle().violations().empty()) {
    const Violation &First = Cell_.oracle().violations().front();
    std::string Explanation =
        Cell_.explanations().empty() ? "" : Cell_.explanations().front();
    return fmt::format("{}: {} ({})", First.Rule_, First.Detail_, Explanation);
  }
  for (const std::string &Job : Jobs_)
    if (!isFinal(*Cell_.storedState(Job)))
      return fmt::format("{} has not ended", Job);
  return compareCounts();
}

BOOST_AUTO_TEST_SUITE(workspaces_under_faults)

BOOST_AUTO_TEST_CASE(keep_to_their_quotas_in_random_histories) {
  // More histories are simulated by hand.
  const char *ByHand = std::getenv("FILBERTSPRING_HISTORIES");
  std::uint64_t Histories = ByHand ? std::strtoull(ByHand, nullptr, 10) : 60;
  std::vector<std::string> Broken;
  for (std::uint64_t Seed = 1; Seed <= Histories; ++Seed) {
    std::string Problem = QuotaHistory(Seed).play();
    if (!Problem.empty())
      Broken.push_back(fmt::format("seed {}: {}", Seed, Problem));
  }
  for (const std::string &Problem : Broken)
    BOOST_TEST_MESSAGE(Problem);
  BOOST_TEST(Broken.empty(), (Broken.empty() ? "" : Broken.front())
                                 << " and " << Broken.size() << " in all");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::scheduling::test
