/// \file
/// Simulates a workspace that submits five times its usual load for seven
/// seconds beside 19 others, and compares what the callers of each get with the
/// order without workspaces.

#include "cell_fixture.h"

#include <fmt/format.h>
#include <memory>
#include <random>

namespace filbertspring::scheduling::test {
namespace {

constexpr std::size_t WorkspaceCount = 20;
constexpr int WorkerCount = 20;
/// Usual submissions in relation to the weight.
constexpr double UsualLoad = 0.8;
constexpr double BurstFactor = 5;
constexpr Duration BurstBegin = 8s;
constexpr Duration BurstEnd = BurstBegin + 7s;
constexpr Duration EndOfArrivals = 30s;
constexpr Duration EndOfSimulation = 55s;
constexpr Duration TargetLatency = 500ms;
constexpr double SlackFactor = 1.5;

std::vector<Workspace> makeWorkspaces() {
  std::vector<Workspace> Result;
  for (std::size_t Index = 0; Index < WorkspaceCount; ++Index) {
    double Weight = Index == 0 ? 13 : Index == 1 ? 9 : Index == 2 ? 7 : 2;
    Result.push_back({fmt::format("team-{}", Index), {}, Weight, {}});
  }
  return Result;
}

/// How many jobs ended within their objective, within three times of it, and
/// later or never.
struct Outcomes {
  std::size_t Jobs_ = 0;
  std::size_t InTime_ = 0;
  std::size_t Late_ = 0;
  Duration Longest_{};

  void add(Duration Taken, Duration Objective) {
    ++Jobs_;
    InTime_ += Taken <= Objective ? 1 : 0;
    Late_ += Taken > Objective && Taken <= 3 * Objective ? 1 : 0;
    Longest_ = std::max(Longest_, Taken);
  }
  double inTime() const {
    return static_cast<double>(InTime_) / static_cast<double>(Jobs_);
  }
  double worthless() const {
    return static_cast<double>(Jobs_ - InTime_ - Late_) /
           static_cast<double>(Jobs_);
  }
  std::string text() const {
    return fmt::format("{} jobs, {:.1f} % in time, {:.1f} % late, {:.1f} % "
                       "worthless, longest {} ms",
                       Jobs_, 100 * inTime(),
                       100.0 * static_cast<double>(Late_) /
                           static_cast<double>(Jobs_),
                       100 * worthless(), Longest_ / 1ms);
  }
};

/// A cell in which the first workspace has a burst.
class BurstCell : public Cell {
public:
  BurstCell(std::uint64_t Seed, std::vector<Workspace> Workspaces,
            double Factor);
  void play();
  /// Adds the outcomes of the jobs that were submitted from \p From to \p To,
  /// either by the workspace with the burst or by all others.
  void addOutcomes(Outcomes &Sum, bool IsOfOthers, Duration From,
                   Duration To) const;

private:
  struct JobCourse {
    std::size_t Workspace_ = 0;
    TimePoint SubmittedAt_;
    Duration Objective_{};
    std::size_t TasksLeft_ = 0;
    std::optional<TimePoint> EndedAt_;
  };
  struct ActiveTask {
    StartTask Start_;
    TimePoint EndsAt_;
  };
  struct Machine {
    std::vector<ActiveTask> Tasks_;
    std::vector<EndedTask> Ends_;
    std::uint64_t LastEnd_ = 0;
  };
  double draw(double From, double To) {
    return std::uniform_real_distribution<double>(From, To)(Random_);
  }
  Duration drawGap(double PerSecond) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        std::exponential_distribution<double>(PerSecond)(Random_)));
  }
  void submitDue();
  void submitNext(std::size_t Index);
  void executeStarts();
  void answer();

  std::mt19937_64 Random_;
  double Factor_;
  TimePoint Begin_;
  std::vector<Workspace> Teams_ = makeWorkspaces();
  std::vector<TimePoint> NextAt_;
  std::map<std::string, JobCourse> Courses_;
  std::map<std::string, Duration> Work_;
  std::map<std::string, Machine> Machines_;
};

BurstCell::BurstCell(std::uint64_t Seed, std::vector<Workspace> Workspaces,
                     double Factor)
    : Random_(Seed), Factor_(Factor) {
  Capacity_ = {8000, 32'000, 0};
  auto Table = std::make_shared<QueueTable>();
  Table->Queues_.resize(1);
  Queue &Batch = Table->Queues_.front();
  Batch.Name_ = "batch";
  Batch.Service_ = "service";
  Batch.Attempts_ = 2;
  Batch.TargetLatency_ = TargetLatency;
  Batch.SlackFactor_ = SlackFactor;
  Table->Workspaces_ = std::move(Workspaces);
  Scheduler_.configure(Table);
  for (int Number = 1; Number <= WorkerCount; ++Number)
    list("w" + std::to_string(Number), false);
  for (int Turn = 0; Turn < 10; ++Turn) {
    step();
    answer();
  }
  Begin_ = Now_;
  for (const Workspace &Team : Teams_)
    NextAt_.push_back(Begin_ + drawGap(UsualLoad * Team.Weight_));
}

void BurstCell::submitNext(std::size_t Index) {
  const Workspace &Team = Teams_[Index];
  StepSpec Step;
  Step.Count_ = 1 + static_cast<std::uint32_t>(draw(0, 4));
  Step.Request_ = {static_cast<std::int64_t>(draw(500, 2000)), 500, 0};
  Step.Estimate_ =
      std::chrono::milliseconds(static_cast<std::int64_t>(draw(300, 1300)));
  std::string Id = fmt::format("{:016x}", Courses_.size() + 1);
  AcceptedJob Job;
  Job.Id_ = Id;
  Job.Queue_ = "batch";
  Job.Service_ = "service";
  Job.Workspace_ = Team.Name_;
  Job.AcceptedMs_ = Now_.time_since_epoch() / 1ms;
  Job.Spec_.Steps_ = {Step};
  Duration Objective = TargetLatency + std::chrono::duration_cast<Duration>(
                                           SlackFactor * Step.Estimate_);
  Courses_[Id] = {Index, Now_, Objective, Step.Count_, {}};
  // Estimates are off by up to a fifth.
  Work_[Id] =
      std::chrono::duration_cast<Duration>(draw(0.8, 1.2) * Step.Estimate_);
  Scheduler_.addJob(Job, Now_);
  Duration Since = Now_ - Begin_;
  bool IsBurst = Index == 0 && Since >= BurstBegin && Since < BurstEnd;
  NextAt_[Index] += drawGap(UsualLoad * Team.Weight_ * (IsBurst ? Factor_ : 1));
}

void BurstCell::submitDue() {
  if (Now_ - Begin_ > EndOfArrivals)
    return;
  for (std::size_t Index = 0; Index < NextAt_.size(); ++Index)
    while (NextAt_[Index] <= Now_)
      submitNext(Index);
}

void BurstCell::executeStarts() {
  for (const StartTask &Start : std::exchange(Starts_, {})) {
    Machines_[Start.Worker_].Tasks_.push_back(
        {Start, Now_ + Work_.at(Start.Name_.Job_)});
    Scheduler_.startAnswered(Start.Worker_, Start.Name_, Start.Run_,
                             CallOutcome::Accepted, Now_);
  }
}

void BurstCell::answer() {
  for (const RenewLease &Renewal : std::exchange(Renewals_, {})) {
    Machine &Target = Machines_[Renewal.Worker_];
    std::erase_if(Target.Ends_, [&](const EndedTask &End) {
      return End.Number_ <= Renewal.Acknowledged_;
    });
    std::erase_if(Target.Tasks_, [&](const ActiveTask &Active) {
      if (Active.EndsAt_ > Now_)
        return false;
      Target.Ends_.push_back({++Target.LastEnd_, Active.Start_.Name_,
                              Active.Start_.Run_, EndReason::Done, ""});
      JobCourse &Course = Courses_.at(Active.Start_.Name_.Job_);
      if (--Course.TasksLeft_ == 0)
        Course.EndedAt_ = Now_;
      return true;
    });
    WorkerReport Report;
    Report.ClockMs_ = Now_.time_since_epoch() / 1ms;
    Report.StartedAtMs_ = 1;
    for (const ActiveTask &Active : Target.Tasks_)
      Report.RunningTasks_.push_back(
          {Active.Start_.Name_, Active.Start_.Run_, "", 0, 0});
    Report.EndedTasks_ = Target.Ends_;
    Scheduler_.renewalAnswered(Renewal, Report, Now_);
  }
}

void BurstCell::play() {
  while (Now_ - Begin_ < EndOfSimulation) {
    submitDue();
    step();
    executeStarts();
    answer();
  }
}

void BurstCell::addOutcomes(Outcomes &Sum, bool IsOfOthers, Duration From,
                            Duration To) const {
  for (const auto &[Id, Course] : Courses_) {
    Duration At = Course.SubmittedAt_ - Begin_;
    if ((Course.Workspace_ != 0) == IsOfOthers && At >= From && At < To)
      Sum.add(Course.EndedAt_.value_or(Now_) - Course.SubmittedAt_,
              Course.Objective_);
  }
}

/// The outcomes of several cells.
struct Played {
  Played(const std::vector<Workspace> &Workspaces, double Factor) {
    for (std::uint64_t Seed = 1; Seed <= Cells; ++Seed)
      Cells_
          .emplace_back(std::make_unique<BurstCell>(Seed, Workspaces, Factor))
          ->play();
  }
  Outcomes outcomes(bool IsOfOthers, Duration From, Duration To) const {
    Outcomes Sum;
    for (const auto &Cell : Cells_)
      Cell->addOutcomes(Sum, IsOfOthers, From, To);
    return Sum;
  }
  void print(const char *Title) const {
    BOOST_TEST_MESSAGE(Title);
    for (auto [Name, From, To] : {std::tuple("during", BurstBegin, BurstEnd),
                                  std::tuple("after", BurstEnd, EndOfArrivals)})
      for (bool IsOfOthers : {true, false})
        BOOST_TEST_MESSAGE(fmt::format("  {:6} {:6} {}", Name,
                                       IsOfOthers ? "others" : "burst",
                                       outcomes(IsOfOthers, From, To).text()));
  }

  static constexpr std::uint64_t Cells = 4;
  std::vector<std::unique_ptr<BurstCell>> Cells_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(workspaces)

BOOST_AUTO_TEST_CASE(a_burst_of_one_harms_no_other) {
  Played Calm(makeWorkspaces(), 1);
  Played Without({}, BurstFactor);
  Played With(makeWorkspaces(), BurstFactor);
  Calm.print("without a burst");
  Without.print("with a burst, without workspaces");
  With.print("with a burst, with workspaces");
  // The load is such that the order matters.
  BOOST_TEST(Without.outcomes(true, BurstBegin, BurstEnd).inTime() < 0.85);
  BOOST_TEST(With.outcomes(true, BurstBegin, BurstEnd).inTime() > 0.95);
  // Jobs beyond the rate would take each bit of capacity that is released.
  BOOST_TEST(With.outcomes(true, BurstEnd, EndOfArrivals).inTime() > 0.987);
  BOOST_TEST(With.outcomes(true, BurstBegin, EndOfArrivals).worthless() <
             0.002);
  // What the workspace submits after its burst is within its share again.
  BOOST_TEST(With.outcomes(false, BurstEnd, EndOfArrivals).inTime() > 0.9);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::scheduling::test
