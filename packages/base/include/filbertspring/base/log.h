#ifndef FILBERTSPRING_BASE_LOG_H
#define FILBERTSPRING_BASE_LOG_H

/// \file
/// Structured logs on standard output, one line for each event.

#include "filbertspring/base/log_event.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace filbertspring {

/// A key and its value in a log line.
struct LogField {
  LogField(std::string_view Key, std::string_view Value)
      : Key_(Key), Value_(Value) {}
  LogField(std::string_view Key, std::int64_t Value)
      : Key_(Key), Value_(std::to_string(Value)) {}

  std::string_view Key_;
  std::string Value_;
};

/// Sets the name that each later line carries. Call it once, before threads
/// are started.
void setLogProcessName(std::string Name);

/// Writes one line: time, level, number, name, then \p Fields. Thread-safe;
/// the line is written by one call and does not mix with others. Never waits:
/// a line that standard output does not take at once is dropped and counted.
void logEvent(LogEvent Event, std::span<const LogField> Fields);
void logEvent(LogEvent Event, std::initializer_list<LogField> Fields = {});

/// Collects lines from now on, so that several are written by one call;
/// \p HasFirst is called with the first line after each flush and has to see to
/// the next flush. Lines beyond 64 KB are dropped. Call it once, before threads
/// are started.
void bufferLogLines(std::function<void()> HasFirst);
/// Writes the collected lines. Never waits. Thread-safe.
void flushLogLines();

/// Returns the text of a line without its time, for tests and for logEvent.
std::string formatLogLine(LogEvent Event, std::span<const LogField> Fields);
std::string formatLogLine(LogEvent Event,
                          std::initializer_list<LogField> Fields);

/// Returns how many lines were dropped since the start.
std::uint64_t droppedLogLines();

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_LOG_H
