#ifndef FILBERTSPRING_STANDINS_REGISTRATION_H
#define FILBERTSPRING_STANDINS_REGISTRATION_H

/// \file
/// Registers a stand-in instance in the platform's instance list.

#include "filbertspring/base/result.h"
#include "filbertspring/domain/endpoint.h"

namespace filbertspring {

/// Sets the entry of \p Instance in the list of \p Platform, retrying for
/// several seconds while the platform does not answer. Blocks. Errors:
/// InvalidInput; Unavailable.
Status registerInstance(const Address &Platform,
                        const ListedInstance &Instance);

} // namespace filbertspring

#endif // FILBERTSPRING_STANDINS_REGISTRATION_H
