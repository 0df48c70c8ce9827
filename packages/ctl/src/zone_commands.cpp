#include "command.h"

#include "expected_version.h"

#include "filbertspring/domain/zone.h"

#include <array>
#include <fmt/format.h>

namespace filbertspring::ctl_detail {
namespace {

EntryRequest makeZonesRequest() {
  return {RequestKind::Read, HttpMethod::Get, "/v1/admin/zones", {}};
}

/// Returns the zone named \p Name in the answer \p Body, or nullptr.
const Json *findZone(const Json &Body, std::string_view Name) {
  for (const Json &Zone : memberArray(Body, "zones"))
    if (memberText(Zone, "name") == Name)
      return &Zone;
  return nullptr;
}

CommandOutput zoneNotFoundOutput(const Context &Ctx, std::string_view Name) {
  return Ctx.failureOutput(
      ExitCode::NotFound,
      fmt::format("availability zone \"{}\" does not exist", Name));
}

CommandOutput sendZoneChange(const Context &Ctx, ZoneState State,
                             std::int64_t Expected) {
  const std::string &Name = Ctx.argument(0);
  std::string StateName(nameOf(ZoneStateNames, State));
  Json Body;
  Body["state"] = StateName;
  Body["reason"] = Ctx.options().text("reason");
  Body["expected_version"] = Expected;
  Body["changed_by"] = Ctx.operatorName();
  EntryRequest Request{RequestKind::Write, HttpMethod::Post,
                       "/v1/admin/zones/" + pathSegment(Name),
                       compactText(Body)};
  return Ctx.call(Request, [&](const Json &Answer) {
    return Ctx.successOutput(
        Answer, fmt::format("zone {}: {}, version {}\n", Name, StateName,
                            memberText(Answer, "version")));
  });
}

CommandOutput changeZone(const Context &Ctx, ZoneState State) {
  if (Ctx.options().has("expected-version"))
    return withExpectedVersion(Ctx, makeZonesRequest(),
                               [&](std::int64_t Expected) {
                                 return sendZoneChange(Ctx, State, Expected);
                               });
  const std::string &Name = Ctx.argument(0);
  return Ctx.call(makeZonesRequest(), [&](const Json &Body) {
    const Json *Zone = findZone(Body, Name);
    if (!Zone)
      return zoneNotFoundOutput(Ctx, Name);
    auto Version = parseCount(memberText(*Zone, "version"), 0);
    if (!Version)
      return Ctx.failureOutput(
          ExitCode::Unreachable,
          "the answer has no version; nothing was changed");
    return sendZoneChange(Ctx, State, *Version);
  });
}

CommandOutput takeZoneOut(const Context &Ctx) {
  return changeZone(Ctx, ZoneState::OutOfService);
}

CommandOutput bringZoneIn(const Context &Ctx) {
  return changeZone(Ctx, ZoneState::InService);
}

std::string describeZone(const Json &Zone) {
  return fmt::format(
      "{:<16}{:<16}{:>8}{:>8}  {} {}\n", memberText(Zone, "name"),
      memberText(Zone, "state"), memberText(Zone, "version"),
      memberText(Zone, "tasks_running"), memberText(Zone, "changed_by"),
      memberText(Zone, "reason"));
}

CommandOutput showZones(const Context &Ctx) {
  return Ctx.call(makeZonesRequest(), [&](const Json &Body) {
    std::string Text =
        fmt::format("{:<16}{:<16}{:>8}{:>8}  {}\n", "zone", "state", "version",
                    "tasks", "changed by, reason");
    if (Ctx.options().arguments().empty()) {
      for (const Json &Zone : memberArray(Body, "zones"))
        Text += describeZone(Zone);
      return Ctx.successOutput(Body, Text);
    }
    const Json *Zone = findZone(Body, Ctx.argument(0));
    if (!Zone)
      return zoneNotFoundOutput(Ctx, Ctx.argument(0));
    return Ctx.successOutput(*Zone, Text + describeZone(*Zone));
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
