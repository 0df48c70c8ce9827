#include "filbertspring/base/log.h"

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/time.h"

#include <atomic>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace filbertspring {
namespace {

constexpr EnumTable<LogLevel, 3> LevelNames{{{LogLevel::Info, "info"},
                                             {LogLevel::Warning, "warning"},
                                             {LogLevel::Error, "error"}}};

std::atomic<std::uint64_t> DroppedLines{0};

/// Returns whether standard output takes a line without waiting: a pipe is
/// writable only while it takes PIPE_BUF bytes at once.
bool isWritable() {
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&Output, 1, 0) > 0 && (Output.revents & POLLOUT) != 0;
}

std::string &processName() {
  static std::string Name = "-";
  return Name;
}

bool needsQuotes(std::string_view Value) {
  return Value.empty() ||
         Value.find_first_of(" =\"\n\r\t\\") != std::string_view::npos;
}

/// Appends \p Value, quoted when a reader could not find its end otherwise.
void appendValue(std::string &Line, std::string_view Value) {
  if (!needsQuotes(Value)) {
    Line += Value;
    return;
  }
  Line += '"';
  for (char Character : Value) {
    if (Character == '"' || Character == '\\')
      Line += '\\';
    bool IsControl = static_cast<unsigned char>(Character) < ' ';
    Line += IsControl ? ' ' : Character;
  }
  Line += '"';
}

} // namespace

void setLogProcessName(std::string Name) { processName() = std::move(Name); }

std::string formatLogLine(LogEvent Event, std::span<const LogField> Fields) {
  const LogEventInfo &Info = logEventInfo(Event);
  std::string Line = fmt::format(
      "level={} event={} name={} process={}", nameOf(LevelNames, Info.Level_),
      static_cast<int>(Event), Info.Name_, processName());
  for (const LogField &Field : Fields) {
    Line += fmt::format(" {}=", Field.Key_);
    appendValue(Line, Field.Value_);
  }
  return Line;
}

std::string formatLogLine(LogEvent Event,
                          std::initializer_list<LogField> Fields) {
  return formatLogLine(
      Event, std::span<const LogField>(Fields.begin(), Fields.size()));
}

void logEvent(LogEvent Event, std::span<const LogField> Fields) {
  std::string Line = fmt::format("time_ms={} {}\n", wallMilliseconds(),
                                 formatLogLine(Event, Fields));
  bool IsWritten =
      isWritable() && ::write(STDOUT_FILENO, Line.data(), Line.size()) >= 0;
  if (!IsWritten)
    DroppedLines.fetch_add(1, std::memory_order_relaxed);
}

void logEvent(LogEvent Event, std::initializer_list<LogField> Fields) {
  logEvent(Event, std::span<const LogField>(Fields.begin(), Fields.size()));
}

std::uint64_t droppedLogLines() {
  return DroppedLines.load(std::memory_order_relaxed);
}

} // namespace filbertspring
