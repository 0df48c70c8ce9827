#include "place_wait.h"

#include "place_wait_simulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring::benchmark {
namespace {

using namespace std::chrono_literals;

struct ComparedPlaceWait {
  const char *Name_;
  scheduling::PlaceWaitPolicy Policy_;
};

std::vector<ComparedPlaceWait> comparedPlaceWaits() {
  return {{"no wait", scheduling::NoPlaceWait{}},
          {"fixed 300 ms", scheduling::FixedPlaceWait{300ms}},
          {"fixed 1 s", scheduling::FixedPlaceWait{1000ms}},
          {"learned", scheduling::LearnedPlaceWait{}}};
}

struct LoadLevel {
  const char *Name_;
  double Load_;
};

/// The sums over the runs of several seeds.
struct CallerSum {
  double Jobs_ = 0;
  double InTime_ = 0;
  double Late_ = 0;
  double Seconds_ = 0;

  void add(const PlaceWaitGroup &Group) {
    Jobs_ += Group.Jobs_;
    InTime_ += Group.InTime_;
    Late_ += Group.Late_;
    Seconds_ += Group.SumSeconds_;
  }
  std::string inTime() const {
    double Count = std::max(1.0, Jobs_);
    return fmt::format("{:.3f} + {:.3f}", InTime_ / Count, Late_ / Count);
  }
  std::string mean() const {
    return fmt::format("{:.0f}", 1000 * Seconds_ / std::max(1.0, Jobs_));
  }
};

} // namespace

Report runPlaceWaitExperiment(const ExperimentOptions &Options) {
  Report Result;
  Result.Columns_ = {"far factor",
                     "hot rack",
                     "load",
                     "policy",
                     "in time + late",
                     "mean ms",
                     "hot in time + late",
                     "hot mean ms",
                     "others mean ms",
                     "one rack mean ms",
                     "far starts",
                     "waits near, gave up",
                     "place ms/s"};
  for (double FarFactor : {1.5, 3.0})
    for (double HotShare : {0.0, 0.2, 0.6})
      for (const LoadLevel &Level :
           {LoadLevel{"low", 0.2}, {"medium", 0.5}, {"high", 0.85}})
        for (const ComparedPlaceWait &Named : comparedPlaceWaits()) {
          PlaceWaitLoad Load;
          Load.FarFactor_ = FarFactor;
          Load.HotShare_ = HotShare;
          Load.Load_ = Level.Load_;
          Load.OneRackShare_ = 0.5;
          Load.Policy_ = Named.Policy_;
          if (Options.Quick_)
            Load.Seconds_ = 30;
          CallerSum All, Hot, Others, OneRack;
          double Far = 0;
          double Naming = 0;
          double Near = 0;
          double GaveUp = 0;
          double Place = 0;
          for (int Seed = 0; Seed < Options.Seeds_; ++Seed) {
            PlaceWaitResult Run = runPlaceWait(
                Load, Options.Seed_ + static_cast<std::uint64_t>(Seed));
            All.add(Run.All_);
            Hot.add(Run.Hot_);
            Others.add(Run.Others_);
            OneRack.add(Run.OneRack_);
            Far += Run.FarStarts_;
            Naming += Run.NamingStarts_;
            Near += static_cast<double>(Run.Counts_.EndedNear_);
            GaveUp += static_cast<double>(Run.Counts_.GaveUp_);
            Place += Run.PlaceSeconds_;
          }
          Result.Rows_.push_back(
              {fmt::format("{}", FarFactor), fmt::format("{}", HotShare),
               Level.Name_, Named.Name_, All.inTime(), All.mean(), Hot.inTime(),
               Hot.mean(), Others.mean(), OneRack.mean(),
               fmt::format("{:.3f}", Far / std::max(1.0, Naming)),
               fmt::format("{:.0f}, {:.0f}", Near, GaveUp),
               fmt::format("{:.1f}",
                           1000 * Place / (Load.Seconds_ * Options.Seeds_))});
        }
  return Result;
}

} // namespace filbertspring::benchmark
