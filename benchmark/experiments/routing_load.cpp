#include "routing_load.h"

#include "../src/statistics.h"
#include "routing_runs.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace filbertspring::benchmark {
namespace {

using namespace std::chrono_literals;

constexpr Duration FaultAt = 2s;

/// A fault scenario and the loads at which it is measured.
struct Scenario {
  std::string Name_;
  std::vector<double> Loads_;
  void (*Prepare_)(RoutingSimulation &Simulation);
  void (*Change_)(SimulationSettings &Settings);
};

void keepSettings(SimulationSettings & /*Shape*/) {}
void keepSimulation(RoutingSimulation & /*World*/) {}

void slowTwofold(RoutingSimulation &Simulation) {
  Simulation.Executors_[0].SlowdownFactor_ = 2.0;
}
void slowFivefold(RoutingSimulation &Simulation) {
  Simulation.Executors_[0].SlowdownFactor_ = 5.0;
}

void leaveBeforeListUpdate(RoutingSimulation &Simulation) {
  // A tenth of the executors reports that it is leaving, stops 2 s later and
  // remains in the endpoint list for 3 s.
  Simulation.at(FaultAt, [&Simulation] {
    for (std::size_t Index = 0; Index < 5; ++Index)
      Simulation.Executors_[Index].Leaving_ = true;
  });
  Simulation.at(FaultAt + 2s, [&Simulation] {
    for (std::size_t Index = 0; Index < 5; ++Index)
      Simulation.Executors_[Index].Alive_ = false;
  });
  Simulation.at(FaultAt + 3s, [&Simulation] {
    Simulation.publishEndpointList(
        [](const ExecutorModel &Node) { return Node.Alive_; });
  });
}

void disconnectOneZone(RoutingSimulation &Simulation) {
  Simulation.at(FaultAt, [&Simulation] { Simulation.disconnectZone(2); });
}

void silenceSomeConnections(RoutingSimulation &Simulation) {
  Simulation.at(FaultAt, [&Simulation] {
    for (int Index = 0; Index < 50; Index += 5)
      Simulation.silenceConnections(Index);
  });
}

void makeEntrySharesUneven(SimulationSettings &Settings) {
  Settings.EntryShares_ = {6, 3, 2, 1, 2, 1};
}
void dropBacklog(SimulationSettings &Settings) { Settings.Backlog_ = 0; }

const std::vector<double> AllLoads = {0.5, 0.7, 0.85, 0.95};

std::vector<Scenario> scenarios() {
  return {{"healthy", AllLoads, keepSimulation, keepSettings},
          {"one-slow-2x", AllLoads, slowTwofold, keepSettings},
          {"one-slow-5x", AllLoads, slowFivefold, keepSettings},
          {"one-slow-5x-refusing", {0.85}, slowFivefold, dropBacklog},
          {"uneven-entries", {0.85}, keepSimulation, makeEntrySharesUneven},
          {"stale-list", {0.85}, leaveBeforeListUpdate, keepSettings},
          {"zone-lost", {0.5}, disconnectOneZone, keepSettings},
          {"silent-connections", {0.85}, silenceSomeConnections, keepSettings}};
}

/// The figures of a policy over the seeds.
struct Summary {
  Spread P50_;
  Spread P99_;
  Spread P999_;
  Spread Failed_;
  Spread Busy_;
  Spread Remote_;
  Spread Attempts_;
};

Spread spreadOfMember(const std::vector<RunFigures> &Runs,
                      double RunFigures::*Member) {
  std::vector<double> Values;
  Values.reserve(Runs.size());
  for (const RunFigures &Run : Runs)
    Values.push_back(Run.*Member);
  return spreadOf(Values);
}

Summary measure(const Scenario &Case, double Load, const NamedPolicy &Policy,
                const ExperimentOptions &Options) {
  std::vector<RunFigures> Runs;
  for (int Index = 0; Index < Options.Seeds_; ++Index) {
    SimulationSettings Settings =
        settingsAtLoad(Load, Policy.Config_, Options.Quick_);
    Case.Change_(Settings);
    RoutingSimulation Simulation(
        Settings, Options.Seed_ + static_cast<std::uint64_t>(Index));
    Case.Prepare_(Simulation);
    Simulation.run();
    Runs.push_back(figuresOf(Simulation, Settings));
  }
  return {spreadOfMember(Runs, &RunFigures::P50_),
          spreadOfMember(Runs, &RunFigures::P99_),
          spreadOfMember(Runs, &RunFigures::P999_),
          spreadOfMember(Runs, &RunFigures::FailedPercent_),
          spreadOfMember(Runs, &RunFigures::BusyPerThousand_),
          spreadOfMember(Runs, &RunFigures::RemotePercent_),
          spreadOfMember(Runs, &RunFigures::AttemptsPerRequest_)};
}

std::vector<std::string> rowOf(const Scenario &Case, double Load,
                               const std::string &Policy,
                               const Summary &Figures) {
  return {Case.Name_,
          fmt::format("{:.0f}", Load * 100),
          Policy,
          fmt::format("{:.1f}", Figures.P50_.Mean_),
          toText(Figures.P99_),
          toText(Figures.P999_),
          fmt::format("{:.3f}", Figures.Failed_.Mean_),
          fmt::format("{:.1f}", Figures.Busy_.Mean_),
          fmt::format("{:.1f}", Figures.Remote_.Mean_),
          fmt::format("{:.3f}", Figures.Attempts_.Mean_)};
}

/// Compares the chosen policy's p99 with the best baseline's.
std::string compareWithBest(const std::string &CaseName, const Summary &Chosen,
                            const std::map<std::string, Summary> &Baselines) {
  auto Best = std::ranges::min_element(
      Baselines, {}, [](const auto &Entry) { return Entry.second.P99_.Mean_; });
  const Spread &Other = Best->second.P99_;
  return verdict(Chosen.P99_.Mean_ <= Other.High_,
                 fmt::format("{}: p99 {:.1f} ms is not above the best "
                             "baseline's highest ({} {:.1f} ms)",
                             CaseName, Chosen.P99_.Mean_, Best->first,
                             Other.High_));
}

void addCase(const Scenario &Case, double Load,
             const ExperimentOptions &Options, Report &Result,
             std::map<std::string, Series> &Curves) {
  std::map<std::string, Summary> Baselines;
  Summary Chosen;
  for (const NamedPolicy &Policy : comparedPolicies()) {
    Summary Figures = measure(Case, Load, Policy, Options);
    Result.Rows_.push_back(rowOf(Case, Load, Policy.Name_, Figures));
    Series &Curve = Curves[Policy.Name_];
    Curve.Name_ = Policy.Name_;
    Curve.X_.push_back(Load * 100);
    Curve.Y_.push_back(Figures.P99_.Mean_);
    if (Policy.Name_ == "sampled")
      Chosen = Figures;
    else if (!Policy.Name_.starts_with("sampled"))
      Baselines[Policy.Name_] = Figures;
  }
  std::string CaseName = fmt::format("{} at {:.0f} %", Case.Name_, Load * 100);
  Result.Verdicts_.push_back(compareWithBest(CaseName, Chosen, Baselines));
  bool OneSlow = Case.Name_.starts_with("one-slow") &&
                 Case.Name_.ends_with("x") && Load == 0.85;
  if (!OneSlow)
    return;
  for (const char *Other : {"round-robin", "plain-round-robin"}) {
    double Ratio = Chosen.P99_.Mean_ / Baselines[Other].P99_.Mean_;
    Result.Verdicts_.push_back(verdict(
        Ratio <= 0.5, fmt::format("{}: p99 is at most half of {}'s ({:.2f})",
                                  CaseName, Other, Ratio)));
  }
}

} // namespace

Report runRoutingLoad(const ExperimentOptions &Options) {
  Report Result;
  Result.Columns_ = {"scenario", "load %",          "policy",   "p50 ms",
                     "p99 ms",   "p99.9 ms",        "failed %", "busy/1000",
                     "remote %", "attempts/request"};
  for (const Scenario &Case : scenarios()) {
    std::map<std::string, Series> Curves;
    for (double Load : Case.Loads_)
      addCase(Case, Load, Options, Result, Curves);
    if (Case.Loads_.size() < 2)
      continue;
    Plot Drawing{"p99, " + Case.Name_, "load (% of slots)", "p99 (ms)", {}};
    for (const auto &[Name, Curve] : Curves)
      Drawing.Series_.push_back(Curve);
    Result.Plots_.push_back(Drawing);
  }
  return Result;
}

} // namespace filbertspring::benchmark
