#ifndef FILBERTSPRING_CONFIG_H
#define FILBERTSPRING_CONFIG_H

/// \file
/// Includes every public header of the config package.

#include "filbertspring/config/contract_document.h"
#include "filbertspring/config/settings.h"
#include "filbertspring/config/settings_document.h"
#include "filbertspring/config/text_file.h"
#include "filbertspring/config/units.h"

#endif // FILBERTSPRING_CONFIG_H
