#include "report.h"

#include <fmt/format.h>
#include <fstream>

namespace filbertspring::caller {
namespace {

std::string counts(const char *Title,
                   const std::map<std::string, std::uint64_t> &Counts) {
  std::string Line = fmt::format("  {:<10}", Title);
  for (const auto &[Name, Count] : Counts)
    Line += fmt::format(" {}={}", Name, Count);
  return Line + "\n";
}

double milliseconds(Duration Value) {
  constexpr double MicrosecondsPerMillisecond = 1000.0;
  return static_cast<double>(Value.count()) / MicrosecondsPerMillisecond;
}

} // namespace

std::string toText(const LoadResult &Result) {
  std::string Text = fmt::format("  sent       {}\n", Result.Sent_);
  Text += counts("outcomes", Result.Outcomes_);
  if (!Result.Reasons_.empty())
    Text += counts("reasons", Result.Reasons_);
  Text += counts("zones", Result.Zones_);
  Text += fmt::format("  foreign    {}\n", Result.MismatchedAnswers_);
  Text += fmt::format("  latency    p50={:.1f}ms p99={:.1f}ms p99.9={:.1f}ms\n",
                      milliseconds(Result.Latency_.quantile(0.5)),
                      milliseconds(Result.Latency_.quantile(0.99)),
                      milliseconds(Result.Latency_.quantile(0.999)));
  return Text;
}

long peakResidentKib(int Pid) {
  std::ifstream Status(fmt::format("/proc/{}/status", Pid));
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::stol(Line.substr(Line.find_first_of("0123456789")));
  return 0;
}

} // namespace filbertspring::caller
