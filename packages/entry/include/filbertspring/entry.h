#ifndef FILBERTSPRING_ENTRY_H
#define FILBERTSPRING_ENTRY_H

/// \file
/// Includes every public header of the entry package.

#include "filbertspring/entry/entry.h"
#include "filbertspring/entry/run.h"

#endif // FILBERTSPRING_ENTRY_H
