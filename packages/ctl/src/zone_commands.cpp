#include "command.h"

#include "versions.h"

#include "filbertspring/domain/zone.h"

#include <array>
#include <fmt/format.h>

namespace filbertspring::ctl_detail {
namespace {

Call readZones() {
  return {CallKind::Read, HttpMethod::Get, "/v1/admin/zones", {}};
}

/// Returns the zone called \p Name in the answer \p Body, or null.
const Json *findZone(const Json &Body, std::string_view Name) {
  for (const Json &Zone : memberArray(Body, "zones"))
    if (memberText(Zone, "name") == Name)
      return &Zone;
  return nullptr;
}

CommandOutput unknownZone(const Context &Run, std::string_view Name) {
  return Run.failed(
      ExitCode::NotFound,
      fmt::format("availability zone \"{}\" does not exist", Name));
}

CommandOutput postZone(const Context &Run, ZoneState State,
                       std::int64_t Expected) {
  const std::string &Name = Run.argument(0);
  std::string StateName(nameOf(ZoneStateNames, State));
  Json Body;
  Body["state"] = StateName;
  Body["reason"] = Run.options().text("reason");
  Body["expected_version"] = Expected;
  Body["changed_by"] = Run.operatorName();
  Call Request{CallKind::Write, HttpMethod::Post,
               "/v1/admin/zones/" + pathSegment(Name), compactText(Body)};
  return Run.call(Request, [&](const Json &Answer) {
    return Run.done(Answer,
                    fmt::format("zone {}: {}, version {}\n", Name, StateName,
                                memberText(Answer, "version")));
  });
}

CommandOutput changeZone(const Context &Run, ZoneState State) {
  if (Run.options().has("expected-version"))
    return withExpectedVersion(Run, readZones(), [&](std::int64_t Expected) {
      return postZone(Run, State, Expected);
    });
  const std::string &Name = Run.argument(0);
  return Run.call(readZones(), [&](const Json &Body) {
    const Json *Zone = findZone(Body, Name);
    if (!Zone)
      return unknownZone(Run, Name);
    auto Version = parseCount(memberText(*Zone, "version"), 0);
    if (!Version)
      return Run.failed(ExitCode::Unreachable,
                        "the answer has no version; nothing was changed");
    return postZone(Run, State, *Version);
  });
}

CommandOutput takeZoneOut(const Context &Run) {
  return changeZone(Run, ZoneState::OutOfService);
}

CommandOutput bringZoneIn(const Context &Run) {
  return changeZone(Run, ZoneState::InService);
}

std::string describeZone(const Json &Zone) {
  return fmt::format(
      "{:<16}{:<16}{:>8}{:>8}  {} {}\n", memberText(Zone, "name"),
      memberText(Zone, "state"), memberText(Zone, "version"),
      memberText(Zone, "tasks_running"), memberText(Zone, "changed_by"),
      memberText(Zone, "reason"));
}

CommandOutput showZones(const Context &Run) {
  return Run.call(readZones(), [&](const Json &Body) {
    std::string Text =
        fmt::format("{:<16}{:<16}{:>8}{:>8}  {}\n", "zone", "state", "version",
                    "tasks", "changed by, reason");
    if (Run.options().arguments().empty()) {
      for (const Json &Zone : memberArray(Body, "zones"))
        Text += describeZone(Zone);
      return Run.done(Body, Text);
    }
    const Json *Zone = findZone(Body, Run.argument(0));
    if (!Zone)
      return unknownZone(Run, Run.argument(0));
    return Run.done(*Zone, Text + describeZone(*Zone));
  });
}

constexpr std::array<OptionSpec, 1> ChangeOptions{
    {{"reason", "TEXT", "why, for the other operators"}}};

constexpr std::array<Command, 3> ZoneCommandTable{{
    {"zone out", "NAME", 1, 1, "takes an availability zone out of service",
     "filbertctl zone out bodrum --reason 'power works' --by ayse",
     ChangeOptions, takeZoneOut},
    {"zone in", "NAME", 1, 1, "brings an availability zone back into service",
     "filbertctl zone in bodrum --reason 'power is back'", ChangeOptions,
     bringZoneIn},
    {"zone status",
     "[NAME]",
     0,
     1,
     "shows the availability zones",
     "filbertctl zone status\nfilbertctl zone status bodrum --json",
     {},
     showZones},
}};

} // namespace

std::span<const Command> zoneCommands() { return ZoneCommandTable; }

} // namespace filbertspring::ctl_detail
