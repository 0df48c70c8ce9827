#ifndef FILBERTSPRING_BASE_LOG_H
#define FILBERTSPRING_BASE_LOG_H

/// \file
/// Structured logs on standard output, one line per event.

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

/// Sets the process name in all later lines. Call it once, before threads are
/// started.
void setLogProcessName(std::string Name);

/// Writes one line: time, level, number, name, then \p Fields. Thread-safe; the
/// line is written by one call and does not interleave with others. Never
/// blocks: a line that standard output does not accept immediately is dropped
/// and counted.
void logEvent(LogEvent Event, std::span<const LogField> Fields);
void logEvent(LogEvent Event, std::initializer_list<LogField> Fields = {});

/// Buffers all later lines, so that several are written by one call.
/// \p OnFirstLine is called for the first line after each flush and must
/// schedule the next flush. Lines beyond 64 KB are dropped. Call it once,
/// before threads are started.
void bufferLogLines(std::function<void()> OnFirstLine);
/// Writes the buffered lines. Never blocks. Thread-safe.
void flushLogLines();

/// Returns the text of a line without its time, for tests and for logEvent.
std::string formatLogLine(LogEvent Event, std::span<const LogField> Fields);
std::string formatLogLine(LogEvent Event,
                          std::initializer_list<LogField> Fields);

/// Returns the number of lines dropped since the start of the process.
std::uint64_t droppedLogLines();

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_LOG_H
