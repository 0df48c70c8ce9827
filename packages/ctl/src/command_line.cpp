#include "filbertspring/ctl/command_line.h"

#include "command.h"

#include "filbertspring/config/address_text.h"
#include "filbertspring/config/units.h"

#include <cstdlib>
#include <fmt/format.h>
#include <sstream>

namespace filbertspring {
namespace {

using namespace ctl_detail;
using namespace std::chrono_literals;

constexpr Duration DefaultTimeout = 5s;
constexpr const char *EntryVariable = "FILBERTSPRING_ENTRY";

std::vector<Command> allCommands() {
  std::vector<Command> Commands;
  for (std::span<const Command> Group :
       {contractCommands(), zoneCommands(), jobCommands(), reportCommands(),
        statusCommands(), configurationCommands()})
    Commands.insert(Commands.end(), Group.begin(), Group.end());
  return Commands;
}

std::string describeExitCodes() {
  std::string Text = "Exit codes:";
  for (const EnumName<ExitCode> &Entry : ExitCodeNames)
    Text += fmt::format(" {} {}{}", static_cast<int>(Entry.Value_), Entry.Name_,
                        Entry.Value_ == ExitCode::OutcomeUnknown ? "\n" : ",");
  return Text;
}

std::string helpText() {
  std::string Text = "Usage: filbertctl COMMAND [OPTIONS]\n\nCommands:\n";
  for (const Command &Cmd : allCommands())
    Text += fmt::format("  {:<26} {}\n",
                        fmt::format("{} {}", Cmd.Name_, Cmd.Arguments_),
                        Cmd.Summary_);
  return Text + "\nOptions of all commands:\n" +
         describeOptions(CommonOptions) + "\n" + describeExitCodes() +
         "\nfilbertctl COMMAND --help shows examples.\n";
}

std::string helpText(const Command &Cmd) {
  std::string Text = fmt::format("Usage: filbertctl {}{}{} [OPTIONS]\n\n{}\n",
                                 Cmd.Name_, Cmd.Arguments_.empty() ? "" : " ",
                                 Cmd.Arguments_, Cmd.Summary_);
  if (!Cmd.Options_.empty())
    Text += "\nOptions:\n" + describeOptions(Cmd.Options_);
  Text += "\nOptions of all commands:\n" + describeOptions(CommonOptions);
  std::istringstream Lines{std::string(Cmd.Examples_)};
  Text += "\nExamples:\n";
  for (std::string Line; std::getline(Lines, Line);)
    Text += fmt::format("  {}\n", Line);
  return Text + "\n" + describeExitCodes();
}

CommandOutput usageError(std::string_view Message) {
  return {ExitCode::Usage,
          {},
          fmt::format("filbertctl: {}\nfilbertctl --help shows the commands\n",
                      Message)};
}

/// Returns the number of words in the name of \p Cmd when \p Arguments start
/// with that name, otherwise 0.
std::size_t matchCommand(const Command &Cmd,
                         const std::vector<std::string> &Arguments) {
  std::istringstream Words{std::string(Cmd.Name_)};
  std::size_t Count = 0;
  for (std::string Word; Words >> Word; ++Count)
    if (Count >= Arguments.size() || Arguments[Count] != Word)
      return 0;
  return Count;
}

/// Parses the addresses given by --entry or, without that option, by the
/// environment variable FILBERTSPRING_ENTRY.
tl::expected<std::vector<Address>, std::string>
readEntries(const ParsedOptions &Options) {
  std::vector<std::string> AddressLists = Options.texts("entry");
  if (const char *Default = std::getenv(EntryVariable);
      Default && AddressLists.empty())
    AddressLists.emplace_back(Default);
  std::vector<Address> Entries;
  for (const std::string &List : AddressLists) {
    std::istringstream Items(List);
    for (std::string AddressText; std::getline(Items, AddressText, ',');) {
      std::optional<Address> Parsed = parseAddress(AddressText);
      if (!Parsed)
        return tl::unexpected(
            fmt::format("\"{}\" is not an IP number and a port", AddressText));
      Entries.push_back(std::move(*Parsed));
    }
  }
  if (Entries.empty())
    return tl::unexpected(fmt::format(
        "no entry instance is named: use --entry or ${}", EntryVariable));
  return Entries;
}

/// Parses the value of --timeout.
tl::expected<Duration, std::string> readTimeout(const ParsedOptions &Options) {
  if (!Options.has("timeout"))
    return DefaultTimeout;
  ParsedQuantity<Duration> Timeout = parseDuration(Options.text("timeout"));
  if (!Timeout)
    return tl::unexpected(fmt::format(
        "--timeout {}", nameOf(QuantityErrorMessages, Timeout.error())));
  if (*Timeout < 1ms || *Timeout > 10min)
    return tl::unexpected(std::string("--timeout is from 1ms to 10min"));
  return *Timeout;
}

CommandOutput runCommand(const Command &Cmd,
                         const std::vector<std::string> &Arguments) {
  std::vector<OptionSpec> Specs(CommonOptions.begin(), CommonOptions.end());
  Specs.insert(Specs.end(), Cmd.Options_.begin(), Cmd.Options_.end());
  auto Options = parseOptions(Specs, Arguments);
  if (!Options)
    return usageError(Options.error());
  if (Options->has("help"))
    return {ExitCode::Done, helpText(Cmd), {}};
  std::size_t Count = Options->arguments().size();
  if (Count < Cmd.MinArguments_ || Count > Cmd.MaxArguments_)
    return usageError(fmt::format("usage: {} {}", Cmd.Name_, Cmd.Arguments_));
  auto Entries = readEntries(*Options);
  if (!Entries && Cmd.NeedsEntry_)
    return usageError(Entries.error());
  auto Timeout = readTimeout(*Options);
  if (!Timeout)
    return usageError(Timeout.error());
  return Cmd.Run_(
      Context(std::move(*Options),
              EntryClient(std::move(Entries).value_or(std::vector<Address>()),
                          *Timeout)));
}

CommandOutput dispatchCommand(const std::vector<std::string> &Arguments) {
  if (Arguments.empty())
    return usageError("no command");
  if (Arguments[0] == "--help" || Arguments[0] == "help")
    return {ExitCode::Done, helpText(), {}};
  for (const Command &Cmd : allCommands())
    if (std::size_t Words = matchCommand(Cmd, Arguments); Words > 0)
      return runCommand(Cmd,
                        {Arguments.begin() + static_cast<std::ptrdiff_t>(Words),
                         Arguments.end()});
  return usageError(fmt::format("unknown command \"{}\"", Arguments[0]));
}

} // namespace

CommandOutput runCommandLine(const std::vector<std::string> &Arguments) {
  try {
    return dispatchCommand(Arguments);
  } catch (const std::exception &Error) {
    // Thrown by a library, possibly after a change was sent, so the outcome of
    // the command is unknown.
    return {ExitCode::OutcomeUnknown,
            {},
            fmt::format("filbertctl: internal error: {}; a change may have "
                        "taken effect\n",
                        Error.what())};
  }
}

} // namespace filbertspring
