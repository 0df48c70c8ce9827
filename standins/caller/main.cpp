/// \file
/// standin-caller: sends requests to entry instances as callers would.

#include "load.h"
#include "report.h"

#include <charconv>
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>

namespace {

using namespace filbertspring;
using namespace filbertspring::caller;

constexpr int ExitOk = 0;
constexpr int ExitUsage = 1;
/// An answer was lost or belonged to another request, or fewer requests
/// completed than required.
constexpr int ExitCheckFailed = 2;

Address toAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  Address Result;
  Result.Host_ = Text.substr(0, Colon);
  const char *End = Text.data() + Text.size();
  if (Colon != std::string::npos)
    std::from_chars(Text.data() + Colon + 1, End, Result.Port_);
  return Result;
}

cxxopts::Options makeOptions() {
  cxxopts::Options Options("standin-caller", "Sends requests as callers do");
  Options.add_options()("h,help", "Prints this help")(
      "entry", "Addresses, separated by commas",
      cxxopts::value<std::vector<std::string>>())(
      "contract", "Contract", cxxopts::value<std::string>())(
      "service", "Service", cxxopts::value<std::string>())(
      "rate", "Requests per second",
      cxxopts::value<double>()->default_value("50"))(
      "seconds", "Length", cxxopts::value<int>()->default_value("5"))(
      "callers", "Requests in flight at most",
      cxxopts::value<int>()->default_value("32"))(
      "deadline-ms", "Deadline", cxxopts::value<int>()->default_value("2000"))(
      "non-idempotent", "Each request may run at most once")(
      "prefix", "Start of the identifiers",
      cxxopts::value<std::string>()->default_value("c"))(
      "seed", "Seed of the arrival times",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "min-completed", "Fraction of requests that must complete",
      cxxopts::value<double>()->default_value("0"))(
      "pid", "Prints the peak resident size of this process",
      cxxopts::value<int>()->default_value("0"));
  return Options;
}

LoadOptions toLoad(const cxxopts::ParseResult &Parsed) {
  LoadOptions Load;
  for (const std::string &Each : Parsed["entry"].as<std::vector<std::string>>())
    Load.Entries_.push_back(toAddress(Each));
  Load.Contract_ = Parsed["contract"].as<std::string>();
  Load.Service_ = Parsed["service"].as<std::string>();
  Load.RatePerSecond_ = Parsed["rate"].as<double>();
  Load.Seconds_ = Parsed["seconds"].as<int>();
  Load.Callers_ = Parsed["callers"].as<int>();
  Load.DeadlineMs_ = Parsed["deadline-ms"].as<int>();
  Load.Idempotent_ = Parsed.count("non-idempotent") == 0;
  Load.Seed_ = Parsed["seed"].as<std::uint64_t>();
  Load.Prefix_ = Parsed["prefix"].as<std::string>();
  return Load;
}

int run(const cxxopts::ParseResult &Parsed) {
  LoadResult Result = runLoad(toLoad(Parsed));
  fmt::print("{}", toText(Result));
  if (int Pid = Parsed["pid"].as<int>(); Pid > 0)
    fmt::print("  peak resident size of the entry instance: {} KiB\n",
               peakResidentKib(Pid));
  auto Completed = static_cast<double>(Result.Outcomes_["completed"]);
  double Required =
      Parsed["min-completed"].as<double>() * static_cast<double>(Result.Sent_);
  bool Failed = Result.MismatchedAnswers_ > 0 || Result.Outcomes_["lost"] > 0 ||
                Completed < Required;
  return Failed ? ExitCheckFailed : ExitOk;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  (void)std::signal(SIGPIPE, SIG_IGN);
  try {
    cxxopts::Options Options = makeOptions();
    cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") > 0 || Parsed.count("entry") == 0 ||
        Parsed.count("contract") == 0 || Parsed.count("service") == 0) {
      fmt::print("{}", Options.help());
      return Parsed.count("help") > 0 ? ExitOk : ExitUsage;
    }
    return run(Parsed);
  } catch (const std::exception &Error) {
    std::cerr << fmt::format("standin-caller: {}\n", Error.what());
    return ExitUsage;
  }
}
