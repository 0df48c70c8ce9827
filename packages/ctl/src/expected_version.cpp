#include "expected_version.h"

namespace filbertspring::ctl_detail {

CommandOutput
withExpectedVersion(const Context &Ctx, const EntryRequest &Read,
                    const std::function<CommandOutput(std::int64_t)> &Write) {
  if (Ctx.options().has("expected-version")) {
    auto Expected = parseCount(Ctx.options().text("expected-version"), 0);
    if (!Expected)
      return Ctx.failureOutput(ExitCode::Usage,
                               "--expected-version is not a whole number");
    return Write(*Expected);
  }
  std::optional<std::int64_t> Current;
  CommandOutput Output = Ctx.call(Read, [&](const Json &Body) {
    Current = parseCount(memberText(Body, "version"), 0);
    return Current ? CommandOutput()
                   : Ctx.failureOutput(ExitCode::Unreachable,
                                       "the answer has no version; nothing was "
                                       "changed");
  });
  if (Output.Code_ == ExitCode::NotFound)
    Current = 0;
  return Current ? Write(*Current) : Output;
}

} // namespace filbertspring::ctl_detail
