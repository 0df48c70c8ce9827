#ifndef FILBERTSPRING_CTL_SRC_EXPECTED_VERSION_H
#define FILBERTSPRING_CTL_SRC_EXPECTED_VERSION_H

/// \file
/// Conditional writes: a change names the version that it expects to replace.

#include "context.h"

#include <cstdint>
#include <functional>

namespace filbertspring::ctl_detail {

/// Calls \p Write with the expected version of the object to be changed: the
/// value of --expected-version, or else the "version" in the answer to \p Read,
/// or 0 when that answer is 404. Other failures of \p Read are returned.
CommandOutput
withExpectedVersion(const Context &Ctx, const EntryRequest &Read,
                    const std::function<CommandOutput(std::int64_t)> &Write);

} // namespace filbertspring::ctl_detail

#endif // FILBERTSPRING_CTL_SRC_EXPECTED_VERSION_H
