#ifndef FILBERTSPRING_ROUTING_H
#define FILBERTSPRING_ROUTING_H

/// \file
/// All public headers of the package routing.

#include "filbertspring/routing/action.h"
#include "filbertspring/routing/attempt.h"
#include "filbertspring/routing/config.h"
#include "filbertspring/routing/event.h"
#include "filbertspring/routing/outcome_table.h"
#include "filbertspring/routing/policy.h"
#include "filbertspring/routing/router.h"

#endif // FILBERTSPRING_ROUTING_H
