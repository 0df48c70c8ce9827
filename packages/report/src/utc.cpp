#include "utc.h"

#include <chrono>
#include <fmt/chrono.h>

namespace filbertspring::report_detail {
namespace {

using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

std::string formatTime(std::int64_t Milliseconds, const char *Format) {
  WallTime Time{std::chrono::milliseconds(Milliseconds)};
  std::time_t Seconds = std::chrono::system_clock::to_time_t(
      std::chrono::time_point_cast<std::chrono::system_clock::duration>(Time));
  return fmt::format(fmt::runtime(Format), fmt::gmtime(Seconds));
}

} // namespace

std::string formatUtc(std::int64_t Milliseconds) {
  return formatTime(Milliseconds, "{:%Y-%m-%d %H:%M} UTC");
}

std::string formatUtcMinute(std::int64_t Minute) {
  return formatTime(Minute * 60'000, "{:%H:%M}");
}

} // namespace filbertspring::report_detail
