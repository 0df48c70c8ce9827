#ifndef FILBERTSPRING_REPORT_SRC_UTC_H
#define FILBERTSPRING_REPORT_SRC_UTC_H

/// \file
/// Formats points in time in UTC.

#include <cstdint>
#include <string>

namespace filbertspring::report_detail {

/// Returns \p Milliseconds since the Unix epoch as "YYYY-MM-DD HH:MM UTC".
std::string formatUtc(std::int64_t Milliseconds);

/// Returns \p Minute, in minutes since the Unix epoch, as "HH:MM".
std::string formatUtcMinute(std::int64_t Minute);

} // namespace filbertspring::report_detail

#endif // FILBERTSPRING_REPORT_SRC_UTC_H
