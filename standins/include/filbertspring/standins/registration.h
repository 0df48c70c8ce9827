#ifndef FILBERTSPRING_STANDINS_REGISTRATION_H
#define FILBERTSPRING_STANDINS_REGISTRATION_H

/// \file
/// Registration of a stand-in at the platform stand-in.

#include "filbertspring/base/result.h"
#include "filbertspring/domain/endpoint.h"

namespace filbertspring {

/// Sets the entry of \p Instance in the list of \p Platform, trying again for
/// a few seconds while the platform does not answer. Blocks. Errors:
/// InvalidInput; Unavailable.
Status registerInstance(const Address &Platform,
                        const ListedInstance &Instance);

} // namespace filbertspring

#endif // FILBERTSPRING_STANDINS_REGISTRATION_H
