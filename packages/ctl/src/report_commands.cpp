#include "command.h"

#include "filbertspring/report.h"

#include <array>
#include <fmt/format.h>
#include <fstream>

namespace filbertspring::ctl_detail {
namespace {

/// The output format of a report.
enum class ReportFormat { Text, Json, Svg };

constexpr EnumTable<ReportFormat, 3> ReportFormatNames{
    {{ReportFormat::Text, "text"},
     {ReportFormat::Json, "json"},
     {ReportFormat::Svg, "svg"}}};

constexpr std::int64_t ReportWindowMs =
    BurnWindowMinutes.back() * std::int64_t{60'000};

/// Returns the format selected by the options, or std::nullopt when --format
/// has an invalid value.
std::optional<ReportFormat> parseFormat(const ParsedOptions &Options) {
  if (Options.has("format"))
    return valueOf(ReportFormatNames, Options.text("format"));
  return Options.has("json") ? ReportFormat::Json : ReportFormat::Text;
}

std::string render(const BurnReport &Report, ReportFormat Format) {
  switch (Format) {
  case ReportFormat::Json:
    return renderBurnJson(Report);
  case ReportFormat::Svg:
    return renderBurnSvg(Report);
  case ReportFormat::Text:
    break;
  }
  return renderBurnText(Report);
}

/// Prints \p Text, or writes it to the file of --output.
CommandOutput printOrWrite(const Context &Ctx, std::string Text) {
  if (!Ctx.options().has("output"))
    return {ExitCode::Done, std::move(Text), {}};
  std::string Path = Ctx.options().text("output");
  std::ofstream Stream(Path, std::ios::binary);
  Stream << Text;
  Stream.close();
  if (!Stream)
    return Ctx.failureOutput(ExitCode::Usage,
                             fmt::format("{}: file cannot be written", Path));
  return {};
}

CommandOutput reportBurn(const Context &Ctx) {
  std::optional<ReportFormat> Format = parseFormat(Ctx.options());
  if (!Format)
    return Ctx.failureOutput(ExitCode::Usage, "--format is text, json or svg");
  EntryRequest Request{
      RequestKind::Read,
      HttpMethod::Get,
      fmt::format("/v1/admin/burn?window_ms={}", ReportWindowMs),
      {}};
  return Ctx.call(Request, [&](const Json &Body) {
    Result<BurnCounts> Counts = parseBurnCounts(compactText(Body));
    if (!Counts)
      return Ctx.failureOutput(ExitCode::Unreachable,
                               fmt::format("the counts cannot be read: {}",
                                           Counts.error().message()));
    BurnReport Report =
        makeBurnReport(Counts->Records_, Counts->Contracts_, Counts->NowMs_);
    return printOrWrite(Ctx, render(Report, *Format));
  });
}

constexpr std::array<OptionSpec, 2> BurnOptions{{
    {"format", "FORMAT", "text, json or svg (default: text)"},
    {"output", "FILE", "writes the report to a file"},
}};

constexpr std::array<Command, 1> ReportCommandTable{{
    {"report burn", "", 0, 0,
     "reports how fast services spend their error budgets",
     "filbertctl report burn\n"
     "filbertctl report burn --format svg --output burn.svg",
     BurnOptions, reportBurn},
}};

} // namespace

std::span<const Command> reportCommands() { return ReportCommandTable; }

} // namespace filbertspring::ctl_detail
