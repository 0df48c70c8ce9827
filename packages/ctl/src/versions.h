#ifndef FILBERTSPRING_CTL_SRC_VERSIONS_H
#define FILBERTSPRING_CTL_SRC_VERSIONS_H

/// \file
/// The version that a conditional write expects.

#include "context.h"

#include <cstdint>
#include <functional>

namespace filbertspring::ctl_detail {

/// Calls \p Write with the version that it is to expect: that of
/// --expected-version, or the "version" in the answer to \p Read, or 0 when
/// that answer is 404. Other failures of the read become the output.
CommandOutput
withExpectedVersion(const Context &Run, const Call &Read,
                    const std::function<CommandOutput(std::int64_t)> &Write);

} // namespace filbertspring::ctl_detail

#endif // FILBERTSPRING_CTL_SRC_VERSIONS_H
