#include "filbertspring/entry/run.h"

#include "filbertspring/base/log.h"
#include "filbertspring/config/settings_document.h"
#include "filbertspring/entry/entry.h"

#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace filbertspring {
namespace {

constexpr const char *Usage = R"(Usage:
  filbertspring --settings FILE    run an entry instance
  filbertspring check FILE         report every finding in a settings file
  filbertspring --help

Examples:
  filbertspring check examples/denizkul/entry-bodrum-1.json
  filbertspring --settings examples/denizkul/entry-bodrum-1.json

SIGTERM drains the instance: requests in flight are finished, then it exits.
Exit codes: 0 ok, 1 wrong usage, 2 findings in the settings, 3 failed or
requests still in flight at the drain limit.
)";

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Reads the settings file \p Path and prints all findings. Returns
/// std::nullopt if the file is unreadable or its settings are not valid.
std::optional<Settings> loadSettings(const std::string &Path) {
  std::optional<std::string> Text = readFile(Path);
  if (!Text) {
    std::cerr << fmt::format("{}: cannot be read\n", Path);
    return std::nullopt;
  }
  ParsedSettings Parsed = parseSettings(*Text);
  if (!Parsed.Findings_.empty()) {
    std::cerr << Parsed.Findings_.toText(Path);
    logEvent(LogEvent::SettingsRejected,
             {{"file", Path},
              {"findings",
               static_cast<std::int64_t>(Parsed.Findings_.items().size())}});
  }
  return std::move(Parsed.Settings_);
}

int check(const std::string &Path) {
  if (!loadSettings(Path))
    return ExitFindings;
  fmt::print("{}: no findings\n", Path);
  return ExitOk;
}

/// Blocks the signals that end the process. Called before any thread starts, so
/// that all threads inherit the mask and only sigwait() receives the signals.
sigset_t blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // Writing to a connection that the caller closed must not end the process.
  (void)std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

int serve(const std::string &Path) {
  std::optional<Settings> Values = loadSettings(Path);
  if (!Values)
    return ExitFindings;
  sigset_t Signals = blockSignals();
  setLogProcessName(Values->Instance_.str());
  logEvent(LogEvent::ProcessStarted,
           {{"zone", Values->Zone_.str()},
            {"http", Values->Listen_.Http_.toString()}});
  Entry Instance(std::move(*Values));
  if (Status Started = Instance.start(); !Started) {
    logEvent(LogEvent::ThreadFailed, {{"error", Started.error().message()}});
    return ExitFailed;
  }
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return Instance.drain() ? ExitOk : ExitFailed;
}

int runParsed(const cxxopts::ParseResult &Parsed) {
  if (Parsed.count("help") > 0) {
    fmt::print("{}", Usage);
    return ExitOk;
  }
  std::vector<std::string> Positional;
  if (Parsed.count("words") > 0)
    Positional = Parsed["words"].as<std::vector<std::string>>();
  if (Positional.size() == 2 && Positional[0] == "check")
    return check(Positional[1]);
  if (Positional.empty() && Parsed.count("settings") == 1)
    return serve(Parsed["settings"].as<std::string>());
  std::cerr << Usage;
  return ExitUsage;
}

} // namespace

int runFilbertspring(int ArgumentCount, const char *const *Arguments) {
  try {
    cxxopts::Options Options("filbertspring");
    Options.add_options()("h,help", "")("settings", "",
                                        cxxopts::value<std::string>())(
        "words", "", cxxopts::value<std::vector<std::string>>());
    Options.parse_positional({"words"});
    return runParsed(Options.parse(ArgumentCount, Arguments));
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << fmt::format("filbertspring: {}\n{}", Error.what(), Usage);
    return ExitUsage;
  }
}

} // namespace filbertspring
