#include "filbertspring/base/log.h"

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/time.h"

#include <algorithm>
#include <atomic>
#include <climits>
#include <fmt/format.h>
#include <mutex>
#include <poll.h>
#include <unistd.h>
#include <utility>

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

/// What a pipe takes whole or not at all, in bytes.
constexpr std::size_t MaxWrite = PIPE_BUF;
/// Bytes of lines that wait to be written.
constexpr std::size_t MaxCollected = 65'536;

/// Lines that wait to be written.
struct Collector {
  std::mutex Mutex_;
  /// Empty while lines are written one by one.
  std::function<void()> HasFirst_;
  std::string Lines_;
};

Collector &collector() {
  static Collector Only;
  return Only;
}

void drop(std::string_view Lines) {
  auto Count = std::count(Lines.begin(), Lines.end(), '\n');
  DroppedLines.fetch_add(static_cast<std::uint64_t>(Count),
                         std::memory_order_relaxed);
}

/// Writes \p Lines as standard output takes them, and drops the rest.
void writeLines(std::string_view Lines) {
  while (!Lines.empty()) {
    std::string_view Part = Lines.substr(0, MaxWrite);
    // A longer line than a pipe takes at once may wait; there is none.
    if (Part.size() < Lines.size() && Part.rfind('\n') != Part.npos)
      Part = Part.substr(0, Part.rfind('\n') + 1);
    if (!isWritable() || ::write(STDOUT_FILENO, Part.data(), Part.size()) < 0)
      return drop(Lines);
    Lines.remove_prefix(Part.size());
  }
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
  Collector &Of = collector();
  std::unique_lock<std::mutex> Lock(Of.Mutex_);
  if (!Of.HasFirst_)
    return writeLines(Line);
  if (Of.Lines_.size() + Line.size() > MaxCollected)
    return drop(Line);
  bool IsFirst = Of.Lines_.empty();
  Of.Lines_ += Line;
  Lock.unlock();
  if (IsFirst)
    Of.HasFirst_();
}

void bufferLogLines(std::function<void()> HasFirst) {
  collector().HasFirst_ = std::move(HasFirst);
}

void flushLogLines() {
  Collector &Of = collector();
  std::lock_guard<std::mutex> Lock(Of.Mutex_);
  writeLines(std::exchange(Of.Lines_, {}));
}

void logEvent(LogEvent Event, std::initializer_list<LogField> Fields) {
  logEvent(Event, std::span<const LogField>(Fields.begin(), Fields.size()));
}

std::uint64_t droppedLogLines() {
  return DroppedLines.load(std::memory_order_relaxed);
}

} // namespace filbertspring
