#include "versions.h"

namespace filbertspring::ctl_detail {

CommandOutput
withExpectedVersion(const Context &Run, const Call &Read,
                    const std::function<CommandOutput(std::int64_t)> &Write) {
  if (Run.options().has("expected-version")) {
    auto Given = parseCount(Run.options().text("expected-version"), 0);
    if (!Given)
      return Run.failed(ExitCode::Usage,
                        "--expected-version is not a whole number");
    return Write(*Given);
  }
  std::optional<std::int64_t> Current;
  CommandOutput Output = Run.call(Read, [&](const Json &Body) {
    Current = parseCount(memberText(Body, "version"), 0);
    return Current ? CommandOutput()
                   : Run.failed(ExitCode::Unreachable,
                                "the answer has no version; nothing was "
                                "changed");
  });
  if (Output.Code_ == ExitCode::NotFound)
    Current = 0;
  return Current ? Write(*Current) : Output;
}

} // namespace filbertspring::ctl_detail
