#include "cell_load.h"

#include "cell_load_simulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring::benchmark {
namespace {

struct NamedLoad {
  const char *Name_;
  CellLoad Load_;
};

/// The kinds of jobs of the users' deployments at their usual rates.
std::vector<NamedLoad> usualLoads() {
  CellLoad Largest{1100, 25.7, 31.1, 1.2, 13, 40, 24, 0.7, 30, 16, 30};
  CellLoad WithTeams = Largest;
  WithTeams.Workspaces_ = 42;
  CellLoad WithManyTeams = Largest;
  WithManyTeams.Workspaces_ = 1000;
  return {{"48 workers", {48, 7.1, 4.3, 0.2, 6, 8, 6, 0.7, 30}},
          {"350 workers", {350, 20, 14, 0.8, 10, 20, 14, 0.7, 30}},
          {"1,100 workers", Largest},
          {"1,100 workers, 42 workspaces", WithTeams},
          {"1,100 workers, 1,000 workspaces", WithManyTeams}};
}

std::string percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return "-";
  auto Index =
      static_cast<std::size_t>(Part * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Index),
                   Values.end());
  return fmt::format("{:.0f}", Values[Index]);
}

std::string inTime(const KindResult &Kind) {
  int Jobs = std::max(1, Kind.Jobs_);
  return fmt::format("{:.2f} + {:.2f}", double(Kind.InTime_) / Jobs,
                     double(Kind.Late_) / Jobs);
}

} // namespace

Report runCellLoad(const ExperimentOptions &Options) {
  Report Result;
  Result.Columns_ = {"cell",
                     "load",
                     "starts/s",
                     "renewals/s",
                     "paces/s",
                     "commits/s",
                     "KB/s stored",
                     "timed in time + late",
                     "wait p50, p90 ms",
                     "fillers in time + late",
                     "long-running share",
                     "s over target",
                     "ms/s reports",
                     "answers",
                     "advance",
                     "place",
                     "writes",
                     "us/start"};
  for (const NamedLoad &Named : usualLoads())
    for (double Factor : {1.0, 2.0}) {
      CellLoad Load = Named.Load_;
      Load.TimedJobs_ *= Factor;
      Load.FillerJobs_ *= Factor;
      if (Options.Quick_)
        Load.Seconds_ = 10;
      CellResult Run = runCell(Load, Options.Seed_);
      auto PerSecond = [&](double Count) {
        return fmt::format("{:.0f}", Count / Load.Seconds_);
      };
      auto MsPerSecond = [&](double Seconds) {
        return fmt::format("{:.1f}", 1000 * Seconds / Load.Seconds_);
      };
      Result.Rows_.push_back(
          {Named.Name_, fmt::format("{:.0f}", Factor),
           PerSecond(double(Run.Starts_)), PerSecond(double(Run.Renewals_)),
           PerSecond(double(Run.Paces_)), PerSecond(double(Run.Commits_)),
           PerSecond(double(Run.StoredBytes_) / 1024), inTime(Run.Timed_),
           percentile(Run.Timed_.WaitsMs_, 0.5) + ", " +
               percentile(Run.Timed_.WaitsMs_, 0.9),
           inTime(Run.Fillers_), fmt::format("{:.2f}", Run.LongRunningShare_),
           fmt::format("{:.0f}", Run.OverTargetSeconds_),
           MsPerSecond(Run.Time_.Reports_), MsPerSecond(Run.Time_.Answers_),
           MsPerSecond(Run.Time_.Advance_), MsPerSecond(Run.Time_.Place_),
           MsPerSecond(Run.Time_.Writes_),
           fmt::format("{:.1f}", 1e6 * Run.Time_.sum() /
                                     std::max(1.0, double(Run.Starts_)))});
    }
  return Result;
}

} // namespace filbertspring::benchmark
