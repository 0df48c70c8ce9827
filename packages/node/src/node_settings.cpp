#include "filbertspring/node/node_settings.h"

#include "platform/machine_limits.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace filbertspring::node {
namespace {

using nlohmann::json;

/// Reads members of a JSON document and collects findings about invalid ones.
class SettingsReader {
public:
  SettingsReader(const json &Document, Findings &Findings)
      : Document_(Document), Findings_(Findings) {}

  void readText(const char *Path, std::string &Setting, bool IsRequired) {
    const json *Value = find(Path);
    if (!Value) {
      if (IsRequired)
        Findings_.add(Path, "is missing", "a text");
      return;
    }
    if (Value->is_string() && !Value->get_ref<const std::string &>().empty())
      Setting = Value->get<std::string>();
    else
      Findings_.add(Path, "is not a text", "a text that is not empty");
  }

  void readNumber(const char *Path, double Lowest, double Highest,
                  double &Setting) {
    const json *Value = find(Path);
    if (!Value)
      return;
    if (Value->is_number() && Value->get<double>() >= Lowest &&
        Value->get<double>() <= Highest)
      Setting = Value->get<double>();
    else
      Findings_.add(Path, "is out of range",
                    fmt::format("a number from {} to {}", Lowest, Highest));
  }

  void readDuration(const char *Path, double UnitSeconds, Duration &Setting) {
    constexpr double LongestSeconds = 86'400;
    double Units = std::chrono::duration<double>(Setting).count() / UnitSeconds;
    readNumber(Path, 0, LongestSeconds / UnitSeconds, Units);
    Setting = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Units * UnitSeconds));
  }

private:
  /// Returns the value at the JSON pointer \p Path, or nullptr if it is missing
  /// or null.
  const json *find(const char *Path) const {
    json::json_pointer Pointer(Path);
    if (!Document_.contains(Pointer) || Document_.at(Pointer).is_null())
      return nullptr;
    return &Document_.at(Pointer);
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
  SettingsReader Reader(Document, Parsed.Findings_);
  Reader.readText("/instance", Values.Instance_, true);
  Reader.readText("/zone", Values.Zone_, true);
  Reader.readText("/listen/callers", Values.CallerAddress_, true);
  Reader.readText("/listen/readiness", Values.ReadinessAddress_, true);
  Reader.readText("/listen/metrics", Values.MetricsAddress_, false);
  Reader.readText("/listen/peers", Values.PeerAddress_, true);
  Reader.readText("/store/address", Values.StoreAddress_, true);
  Reader.readNumber("/limits/cpu_share", 0.001, 1024, Values.CpuShare_);
  Reader.readNumber("/limits/cpu_cores", 0.001, 1024,
                    Values.RelativeCoreSpeed_);
  for (const char *Path : {platform::MachineMemoryPath, "/limits/memory_mb"})
    Reader.readNumber(Path, 32, 1 << 24, Values.MemoryMb_);
  for (const char *Path : {platform::MachineDescriptorsPath, "/limits/max_fds"})
    Reader.readNumber(Path, 256, 1 << 24, Values.MaxDescriptors_);
  Reader.readDuration("/bounds/max_lease_ms", Millisecond, Values.MaxLease_);
  Reader.readDuration("/bounds/kill_timeout_ms", Millisecond,
                      Values.KillTimeout_);
  Reader.readDuration("/bounds/stop_grace_s", Second, Values.StopGrace_);
  Reader.readDuration("/bounds/state_kept_s", Second, Values.StateRetention_);
  Reader.readDuration("/bounds/cancellations_kept_s", Second,
                      Values.MinCancellationRetention_);
  Reader.readNumber("/bounds/far_factor", 1, 1000, Values.RemoteDataSlowdown_);
  return Parsed;
}

} // namespace filbertspring::node
