#ifndef FILBERTSPRING_STANDINS_CALLER_REPORT_H
#define FILBERTSPRING_STANDINS_CALLER_REPORT_H

/// \file
/// Formats the result of a load run.

#include "load.h"

#include <string>

namespace filbertspring::caller {

/// Formats \p Result as lines of text.
std::string toText(const LoadResult &Result);

/// Returns the peak resident size of the process \p Pid in KiB, 0 when it
/// cannot be read.
long peakResidentKib(int Pid);

} // namespace filbertspring::caller

#endif // FILBERTSPRING_STANDINS_CALLER_REPORT_H
