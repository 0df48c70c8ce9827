#ifndef FILBERTSPRING_PLATFORM_H
#define FILBERTSPRING_PLATFORM_H

/// \file
/// Includes every public header of the platform package.

#include "filbertspring/platform/instance_codec.h"
#include "filbertspring/platform/instance_list_client.h"
#include "filbertspring/platform/object_client.h"
#include "filbertspring/platform/row_codec.h"
#include "filbertspring/platform/table_client.h"
#include "filbertspring/platform/worker_client.h"
#include "filbertspring/platform/worker_codec.h"

#endif // FILBERTSPRING_PLATFORM_H
