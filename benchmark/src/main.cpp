/// \file
/// filbertbench: runs one experiment and prints its report.
///
/// Exit codes: 0 every verdict passed, 1 a verdict failed, 2 wrong usage or a
/// file that could not be written.

#include "experiment.h"
#include "output.h"
#include "svg.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <optional>

namespace {

using namespace filbertspring::benchmark;

constexpr int ExitPassed = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

struct Arguments {
  bool List_ = false;
  std::string Name_;
  std::string Format_;
  std::string SvgDirectory_;
  ExperimentOptions Options_;
};

Arguments parse(int Count, char **Values) {
  cxxopts::Options Options("filbertbench", "Runs the experiments.");
  auto Add = Options.add_options();
  Add("list", "Name the experiments");
  Add("name", "Experiment", cxxopts::value<std::string>()->default_value(""));
  Add("seed", "First seed",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  Add("seeds", "Number of seeds", cxxopts::value<int>()->default_value("5"));
  Add("quick", "Smaller runs");
  Add("format", "table or json",
      cxxopts::value<std::string>()->default_value("table"));
  Add("svg", "Directory for plots",
      cxxopts::value<std::string>()->default_value(""));
  Options.parse_positional({"name"});
  cxxopts::ParseResult Parsed = Options.parse(Count, Values);
  Arguments Result;
  Result.List_ = Parsed.count("list") > 0;
  Result.Name_ = Parsed["name"].as<std::string>();
  Result.Format_ = Parsed["format"].as<std::string>();
  Result.SvgDirectory_ = Parsed["svg"].as<std::string>();
  Result.Options_.Seed_ = Parsed["seed"].as<std::uint64_t>();
  Result.Options_.Seeds_ = std::max(Parsed["seeds"].as<int>(), 1);
  Result.Options_.Quick_ = Parsed.count("quick") > 0;
  return Result;
}

std::optional<Experiment> find(std::string_view Name) {
  for (const Experiment &Item : allExperiments())
    if (Item.Name_ == Name)
      return Item;
  return std::nullopt;
}

bool writePlots(const std::filesystem::path &Directory, std::string_view Name,
                const Report &Result) {
  std::error_code Problem;
  std::filesystem::create_directories(Directory, Problem);
  for (std::size_t Index = 0; Index < Result.Plots_.size(); ++Index) {
    std::ofstream File(Directory / fmt::format("{}-{}.svg", Name, Index + 1));
    File << toSvg(Result.Plots_[Index]);
    if (!File.flush())
      return false;
  }
  return true;
}

int run(const Arguments &CommandLine) {
  if (CommandLine.List_) {
    for (const Experiment &Item : allExperiments())
      fmt::print("{:<20} {}\n", Item.Name_, Item.Summary_);
    return ExitPassed;
  }
  std::optional<Experiment> Chosen = find(CommandLine.Name_);
  bool KnownFormat =
      CommandLine.Format_ == "table" || CommandLine.Format_ == "json";
  if (!Chosen || !KnownFormat) {
    fmt::print(stderr, "usage: filbertbench --list | NAME [--seed N] "
                       "[--seeds K] [--quick] [--format table|json] "
                       "[--svg DIR]\n");
    return ExitUsage;
  }
  Report Result = Chosen->Run_(CommandLine.Options_);
  fmt::print("{}", CommandLine.Format_ == "json" ? toJson(Chosen->Name_, Result)
                                                 : toTable(Result));
  if (!CommandLine.SvgDirectory_.empty() &&
      !writePlots(CommandLine.SvgDirectory_, Chosen->Name_, Result)) {
    fmt::print(stderr, "plots could not be written to \"{}\"\n",
               CommandLine.SvgDirectory_);
    return ExitUsage;
  }
  bool Failed =
      std::ranges::any_of(Result.Verdicts_, [](const std::string &Text) {
        return Text.starts_with("FAIL");
      });
  return Failed ? ExitFailed : ExitPassed;
}

} // namespace

int main(int Count, char **Values) {
  // cxxopts reports errors by exceptions.
  try {
    return run(parse(Count, Values));
  } catch (const std::exception &Problem) {
    fmt::print(stderr, "filbertbench: {}\n", Problem.what());
    return ExitUsage;
  }
}
