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

/// What befalls a world, and the loads at which that is measured.
struct Scenario {
  std::string Name_;
  std::vector<double> Loads_;
  void (*Prepare_)(RoutingWorld &World);
  void (*Change_)(WorldShape &Shape);
};

void keepShape(WorldShape & /*Shape*/) {}
void keepWorld(RoutingWorld & /*World*/) {}

void slowTwofold(RoutingWorld &World) { World.Executors_[0].Slowness_ = 2.0; }
void slowFivefold(RoutingWorld &World) { World.Executors_[0].Slowness_ = 5.0; }

void leaveUnlisted(RoutingWorld &World) {
  // A tenth leaves; each says so, dies 2 s later, and is listed until 3 s.
  World.at(FaultAt, [&World] {
    for (std::size_t Index = 0; Index < 5; ++Index)
      World.Executors_[Index].Leaving_ = true;
  });
  World.at(FaultAt + 2s, [&World] {
    for (std::size_t Index = 0; Index < 5; ++Index)
      World.Executors_[Index].Alive_ = false;
  });
  World.at(FaultAt + 3s, [&World] {
    World.showList([](const ExecutorModel &Node) { return Node.Alive_; });
  });
}

void loseOneZone(RoutingWorld &World) {
  World.at(FaultAt, [&World] { World.loseZone(2); });
}

void silence(RoutingWorld &World) {
  World.at(FaultAt, [&World] {
    for (int Index = 0; Index < 50; Index += 5)
      World.silenceConnections(Index);
  });
}

void makeUneven(WorldShape &Shape) { Shape.EntryShares_ = {6, 3, 2, 1, 2, 1}; }
void dropBacklog(WorldShape &Shape) { Shape.Backlog_ = 0; }

const std::vector<double> AllLoads = {0.5, 0.7, 0.85, 0.95};

std::vector<Scenario> scenarios() {
  return {{"healthy", AllLoads, keepWorld, keepShape},
          {"one-slow-2x", AllLoads, slowTwofold, keepShape},
          {"one-slow-5x", AllLoads, slowFivefold, keepShape},
          {"one-slow-5x-refusing", {0.85}, slowFivefold, dropBacklog},
          {"uneven-entries", {0.85}, keepWorld, makeUneven},
          {"stale-list", {0.85}, leaveUnlisted, keepShape},
          {"zone-lost", {0.5}, loseOneZone, keepShape},
          {"silent-connections", {0.85}, silence, keepShape}};
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
    WorldShape Shape = shapeAt(Load, Policy.Config_, Options.Quick_);
    Case.Change_(Shape);
    RoutingWorld World(Shape,
                       Options.Seed_ + static_cast<std::uint64_t>(Index));
    Case.Prepare_(World);
    World.run();
    Runs.push_back(figuresOf(World, Shape));
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
std::string compareWithBest(const std::string &Place, const Summary &Chosen,
                            const std::map<std::string, Summary> &Baselines) {
  auto Best = std::ranges::min_element(
      Baselines, {}, [](const auto &Entry) { return Entry.second.P99_.Mean_; });
  const Spread &Other = Best->second.P99_;
  return verdict(Chosen.P99_.Mean_ <= Other.High_,
                 fmt::format("{}: p99 {:.1f} ms is not above the best "
                             "baseline's highest ({} {:.1f} ms)",
                             Place, Chosen.P99_.Mean_, Best->first,
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
  std::string Place = fmt::format("{} at {:.0f} %", Case.Name_, Load * 100);
  Result.Verdicts_.push_back(compareWithBest(Place, Chosen, Baselines));
  bool OneSlow = Case.Name_.starts_with("one-slow") &&
                 Case.Name_.ends_with("x") && Load == 0.85;
  if (!OneSlow)
    return;
  for (const char *Other : {"round-robin", "plain-round-robin"}) {
    double Ratio = Chosen.P99_.Mean_ / Baselines[Other].P99_.Mean_;
    Result.Verdicts_.push_back(verdict(
        Ratio <= 0.5, fmt::format("{}: p99 is at most half of {}'s ({:.2f})",
                                  Place, Other, Ratio)));
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
