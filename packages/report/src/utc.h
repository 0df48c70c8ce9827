#ifndef FILBERTSPRING_REPORT_SRC_UTC_H
#define FILBERTSPRING_REPORT_SRC_UTC_H

/// \file
/// Points in time as text, in coordinated universal time.

#include <cstdint>
#include <string>

namespace filbertspring::report_detail {

/// Returns "YYYY-MM-DD HH:MM UTC" of milliseconds since 1970.
std::string formatUtc(std::int64_t Milliseconds);

/// Returns "HH:MM" of minutes since 1970.
std::string formatUtcMinute(std::int64_t Minute);

} // namespace filbertspring::report_detail

#endif // FILBERTSPRING_REPORT_SRC_UTC_H
