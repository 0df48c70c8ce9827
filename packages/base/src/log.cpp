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

/// Returns whether standard output accepts a line without blocking. poll()
/// reports a pipe as writable only while it accepts PIPE_BUF bytes at once.
bool isWritable() {
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&Output, 1, 0) > 0 && (Output.revents & POLLOUT) != 0;
}

/// The largest write to a pipe that is atomic.
constexpr std::size_t MaxAtomicWriteBytes = PIPE_BUF;
/// The largest size of the lines in the buffer.
constexpr std::size_t MaxBufferedBytes = 65'536;

/// Lines that are waiting to be written.
struct LogBuffer {
  std::mutex Mutex_;
  /// Called for the first line in an empty buffer. Without it, lines are
  /// written one by one.
  std::function<void()> OnFirstLine_;
  std::string Lines_;
};

LogBuffer &logBuffer() {
  static LogBuffer Instance;
  return Instance;
}

void countDropped(std::string_view Lines) {
  auto Count = std::count(Lines.begin(), Lines.end(), '\n');
  DroppedLines.fetch_add(static_cast<std::uint64_t>(Count),
                         std::memory_order_relaxed);
}

/// Writes \p Lines as long as standard output accepts them without blocking,
/// and drops the rest.
void writeLines(std::string_view Lines) {
  while (!Lines.empty()) {
    std::string_view Chunk = Lines.substr(0, MaxAtomicWriteBytes);
    // A single line longer than MaxAtomicWriteBytes could block; no line is
    // that long.
    if (Chunk.size() < Lines.size() && Chunk.rfind('\n') != Chunk.npos)
      Chunk = Chunk.substr(0, Chunk.rfind('\n') + 1);
    if (!isWritable() || ::write(STDOUT_FILENO, Chunk.data(), Chunk.size()) < 0)
      return countDropped(Lines);
    Lines.remove_prefix(Chunk.size());
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

/// Appends \p Value, quoted when its end would be ambiguous otherwise.
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
  LogBuffer &Buffer = logBuffer();
  std::unique_lock<std::mutex> Lock(Buffer.Mutex_);
  if (!Buffer.OnFirstLine_)
    return writeLines(Line);
  if (Buffer.Lines_.size() + Line.size() > MaxBufferedBytes)
    return countDropped(Line);
  bool IsFirst = Buffer.Lines_.empty();
  Buffer.Lines_ += Line;
  Lock.unlock();
  if (IsFirst)
    Buffer.OnFirstLine_();
}

void bufferLogLines(std::function<void()> OnFirstLine) {
  logBuffer().OnFirstLine_ = std::move(OnFirstLine);
}

void flushLogLines() {
  LogBuffer &Buffer = logBuffer();
  std::lock_guard<std::mutex> Lock(Buffer.Mutex_);
  writeLines(std::exchange(Buffer.Lines_, {}));
}

void logEvent(LogEvent Event, std::initializer_list<LogField> Fields) {
  logEvent(Event, std::span<const LogField>(Fields.begin(), Fields.size()));
}

std::uint64_t droppedLogLines() {
  return DroppedLines.load(std::memory_order_relaxed);
}

} // namespace filbertspring
