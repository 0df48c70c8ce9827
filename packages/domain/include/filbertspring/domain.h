#ifndef FILBERTSPRING_DOMAIN_H
#define FILBERTSPRING_DOMAIN_H

/// \file
/// Includes every public header of the domain package.

#include "filbertspring/domain/burn.h"
#include "filbertspring/domain/contract.h"
#include "filbertspring/domain/endpoint.h"
#include "filbertspring/domain/heartbeat.h"
#include "filbertspring/domain/job.h"
#include "filbertspring/domain/ledger.h"
#include "filbertspring/domain/rack.h"
#include "filbertspring/domain/request_key.h"
#include "filbertspring/domain/store.h"
#include "filbertspring/domain/task.h"
#include "filbertspring/domain/watch.h"
#include "filbertspring/domain/worker_protocol.h"
#include "filbertspring/domain/zone.h"

#endif // FILBERTSPRING_DOMAIN_H
