#ifndef FILBERTSPRING_DOMAIN_H
#define FILBERTSPRING_DOMAIN_H

/// \file
/// Includes every public header of the domain package.

#include "filbertspring/domain/contract.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/domain/job.h"
#include "filbertspring/domain/rack.h"
#include "filbertspring/domain/task.h"
#include "filbertspring/domain/watch.h"
#include "filbertspring/domain/zone.h"

#endif // FILBERTSPRING_DOMAIN_H
