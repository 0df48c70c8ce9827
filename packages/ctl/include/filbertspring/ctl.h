#ifndef FILBERTSPRING_CTL_H
#define FILBERTSPRING_CTL_H

/// \file
/// Includes every public header of the ctl package.

#include "filbertspring/ctl/command_line.h"

#endif // FILBERTSPRING_CTL_H
