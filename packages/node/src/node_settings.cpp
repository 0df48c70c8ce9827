#include "filbertspring/node/node_settings.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace filbertspring::node {
namespace {

using nlohmann::json;

/// Reads members and collects what is wrong with them.
class Reader {
public:
  Reader(const json &Document, Findings &Findings)
      : Document_(Document), Findings_(Findings) {}

  void text(const char *Pointer, std::string &Into, bool IsRequired) {
    const json *Value = find(Pointer);
    if (!Value) {
      if (IsRequired)
        Findings_.add(Pointer, "is missing", "a text");
      return;
    }
    if (Value->is_string() && !Value->get_ref<const std::string &>().empty())
      Into = Value->get<std::string>();
    else
      Findings_.add(Pointer, "is not a text", "a text that is not empty");
  }

  void number(const char *Pointer, double Lowest, double Highest,
              double &Into) {
    const json *Value = find(Pointer);
    if (!Value)
      return;
    if (Value->is_number() && Value->get<double>() >= Lowest &&
        Value->get<double>() <= Highest)
      Into = Value->get<double>();
    else
      Findings_.add(Pointer, "is out of range",
                    fmt::format("a number from {} to {}", Lowest, Highest));
  }

  void duration(const char *Pointer, double UnitSeconds, Duration &Into) {
    constexpr double LongestSeconds = 86'400;
    double Units = std::chrono::duration<double>(Into).count() / UnitSeconds;
    number(Pointer, 0, LongestSeconds / UnitSeconds, Units);
    Into = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Units * UnitSeconds));
  }

private:
  /// Returns the value at \p Pointer; null and missing are the same.
  const json *find(const char *Pointer) const {
    json::json_pointer Place(Pointer);
    if (!Document_.contains(Place) || Document_.at(Place).is_null())
      return nullptr;
    return &Document_.at(Place);
  }

  const json &Document_;
  Findings &Findings_;
};

} // namespace

ParsedNodeSettings parseNodeSettings(std::string_view Text) {
  constexpr double Millisecond = 0.001;
  constexpr double Second = 1.0;
  ParsedNodeSettings Parsed;
  json Document;
  try {
    Document = json::parse(Text, nullptr, true, true);
  } catch (const json::exception &Error) {
    Parsed.Findings_.add("", fmt::format("is not JSON: {}", Error.what()));
    return Parsed;
  }
  NodeSettings &Values = Parsed.Settings_;
  Reader Read(Document, Parsed.Findings_);
  Read.text("/instance", Values.Instance_, true);
  Read.text("/zone", Values.Zone_, true);
  Read.text("/listen/callers", Values.CallerAddress_, true);
  Read.text("/listen/readiness", Values.ReadinessAddress_, true);
  Read.text("/listen/metrics", Values.MetricsAddress_, false);
  Read.text("/listen/peers", Values.PeerAddress_, true);
  Read.text("/store/address", Values.StoreAddress_, true);
  Read.number("/limits/cpu_share", 0.001, 1024, Values.CpuShare_);
  Read.number("/limits/cpu_cores", 0.001, 1024, Values.RelativeCoreSpeed_);
  Read.duration("/bounds/max_lease_ms", Millisecond, Values.MaxLease_);
  Read.duration("/bounds/kill_timeout_ms", Millisecond, Values.KillTimeout_);
  Read.duration("/bounds/stop_grace_s", Second, Values.StopGrace_);
  Read.duration("/bounds/state_kept_s", Second, Values.StateRetention_);
  Read.number("/bounds/far_factor", 1, 1000, Values.RemoteDataSlowdown_);
  return Parsed;
}

} // namespace filbertspring::node
