#ifndef FILBERTSPRING_MEMBERSHIP_H
#define FILBERTSPRING_MEMBERSHIP_H

/// \file
/// Includes every public header of the membership package.

#include "filbertspring/membership/configuration_sync.h"
#include "filbertspring/membership/configuration_view.h"
#include "filbertspring/membership/digest_builder.h"
#include "filbertspring/membership/heartbeat_writer.h"
#include "filbertspring/membership/lease.h"
#include "filbertspring/membership/liveness_tracker.h"
#include "filbertspring/membership/peer_message.h"
#include "filbertspring/membership/peer_selection.h"
#include "filbertspring/membership/rack_assignment.h"
#include "filbertspring/membership/share_allocator.h"
#include "filbertspring/membership/share_targets.h"

#endif // FILBERTSPRING_MEMBERSHIP_H
