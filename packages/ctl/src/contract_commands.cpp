#include "command.h"

#include "versions.h"

#include "filbertspring/config/contract_document.h"
#include "filbertspring/config/text_file.h"

#include <array>
#include <fmt/format.h>

namespace filbertspring::ctl_detail {
namespace {

Call readContract(std::string_view Name) {
  return {CallKind::Read,
          HttpMethod::Get,
          "/v1/admin/contracts/" + pathSegment(Name),
          {}};
}

/// The zones that the entry instances know, when one of them could be asked.
struct KnownZones {
  bool Known_ = false;
  std::vector<ZoneName> Names_;
};

KnownZones readZones(const Context &Run) {
  KnownZones Zones;
  Run.call({CallKind::Read, HttpMethod::Get, "/v1/admin/zones", {}},
           [&](const Json &Body) {
             Zones.Known_ = true;
             for (const Json &Zone : memberArray(Body, "zones"))
               Zones.Names_.emplace_back(memberText(Zone, "name"));
             return CommandOutput();
           });
  return Zones;
}

/// Calls \p Use with the contract in the file that the command names, or
/// returns the output for a file that cannot be used.
CommandOutput
withContractFile(const Context &Run,
                 const std::function<CommandOutput(const Contract &)> &Use) {
  const std::string &Path = Run.argument(0);
  Result<std::string> Text = readTextFile(Path);
  if (!Text)
    return Run.failed(ExitCode::Usage,
                      fmt::format("{}: {}", Path, Text.error().message()));
  // The file is checked also when no instance answers, so that the operator
  // sees its findings first.
  KnownZones Zones = readZones(Run);
  ParsedContract Parsed = parseContract(*Text, Zones.Names_);
  if (!Parsed.Terms_)
    return Run.rejected(Path, Parsed.Findings_);
  if (!Zones.Known_)
    return Run.failed(ExitCode::Unreachable,
                      "no entry instance told the availability zones; nothing "
                      "was changed");
  return Use(*Parsed.Terms_);
}

CommandOutput putContract(const Context &Run, const Contract &Terms,
                          std::int64_t Expected) {
  Json Body;
  Body["terms"] = Json::parse(writeContract(Terms), nullptr, false);
  Body["expected_version"] = Expected;
  Body["changed_by"] = Run.operatorName();
  Call Request{CallKind::Write, HttpMethod::Put,
               "/v1/admin/contracts/" + pathSegment(Terms.Name_.str()),
               compactText(Body)};
  return Run.call(Request, [&](const Json &Answer) {
    return Run.done(Answer, fmt::format("contract {}: version {} is accepted\n",
                                        Terms.Name_.str(),
                                        memberText(Answer, "version")));
  });
}

CommandOutput applyContract(const Context &Run) {
  return withContractFile(Run, [&](const Contract &Terms) {
    return withExpectedVersion(Run, readContract(Terms.Name_.str()),
                               [&](std::int64_t Expected) {
                                 return putContract(Run, Terms, Expected);
                               });
  });
}

CommandOutput showContract(const Context &Run) {
  return Run.call(readContract(Run.argument(0)), [&](const Json &Body) {
    Json Terms = Body.value("terms", Json::object());
    return Run.done(Body,
                    fmt::format("// version {} by {}\n{}\n",
                                memberText(Body, "version"),
                                memberText(Body, "changed_by"), Terms.dump(2)));
  });
}

CommandOutput listContracts(const Context &Run) {
  Call Request{CallKind::Read, HttpMethod::Get, "/v1/admin/contracts", {}};
  return Run.call(Request, [&](const Json &Body) {
    std::string Text =
        fmt::format("{:<32}{:>10}  {}\n", "contract", "version", "changed by");
    for (const Json &Item : memberArray(Body, "contracts"))
      Text += fmt::format("{:<32}{:>10}  {}\n", memberText(Item, "name"),
                          memberText(Item, "version"),
                          memberText(Item, "changed_by"));
    return Run.done(Body, Text);
  });
}

/// Returns one line for each operation of a JSON patch against \p Before.
std::string describePatch(const Json &Before, const Json &Patch) {
  std::string Text;
  for (const Json &Step : Patch) {
    std::string Place = memberText(Step, "path");
    Json::json_pointer Pointer(Place);
    if (memberText(Step, "op") == "add")
      Text += fmt::format("+ {}: {}\n", Place, Step["value"].dump());
    else if (memberText(Step, "op") == "remove")
      Text += fmt::format("- {}: {}\n", Place, Before[Pointer].dump());
    else
      Text += fmt::format("~ {}: {} -> {}\n", Place, Before[Pointer].dump(),
                          Step["value"].dump());
  }
  return Text.empty() ? "no difference\n" : Text;
}

/// Returns the terms in \p InForce with the units that writeContract() uses.
Json canonicalTerms(const Json &InForce) {
  Json Terms = InForce.value("terms", Json::object());
  ParsedContract Parsed = parseContract(compactText(Terms), {});
  return Parsed.Terms_ ? Json::parse(writeContract(*Parsed.Terms_)) : Terms;
}

CommandOutput compare(const Context &Run, const Json &InForce,
                      const Contract &Terms) {
  Json Before = canonicalTerms(InForce);
  Json After = Json::parse(writeContract(Terms), nullptr, false);
  Json Document;
  Document["version"] = InForce.value("version", Json(0));
  Document["patch"] = Json::diff(Before, After);
  return Run.done(Document, describePatch(Before, Document["patch"]));
}

CommandOutput diffContract(const Context &Run) {
  return withContractFile(Run, [&](const Contract &Terms) {
    return Run.call(readContract(Terms.Name_.str()), [&](const Json &Body) {
      return compare(Run, Body, Terms);
    });
  });
}

constexpr std::array<Command, 4> ContractCommandTable{{
    {"contract apply",
     "FILE",
     1,
     1,
     "checks a contract file and puts it in force",
     "filbertctl contract apply contract.json --entry 127.0.0.1:18101\n"
     "filbertctl contract apply contract.json --expected-version 7",
     {},
     applyContract},
    {"contract show",
     "NAME",
     1,
     1,
     "prints a contract in force as a file",
     "filbertctl contract show denizkul-tours > contract.json",
     {},
     showContract},
    {"contract list",
     "",
     0,
     0,
     "lists the contracts in force",
     "filbertctl contract list --json",
     {},
     listContracts},
    {"contract diff",
     "FILE",
     1,
     1,
     "shows what apply would change, place by place",
     "filbertctl contract diff contract.json",
     {},
     diffContract},
}};

} // namespace

std::span<const Command> contractCommands() { return ContractCommandTable; }

} // namespace filbertspring::ctl_detail
