#include "filbertspring/base/log.h"

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/time.h"

#include <cstdio>
#include <fmt/format.h>

namespace filbertspring {
namespace {

constexpr EnumTable<LogLevel, 3> LevelNames{{{LogLevel::Info, "info"},
                                             {LogLevel::Warning, "warning"},
                                             {LogLevel::Error, "error"}}};

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

std::string formatLogLine(LogEvent Event,
                          std::initializer_list<LogField> Fields) {
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

void logEvent(LogEvent Event, std::initializer_list<LogField> Fields) {
  std::string Line = fmt::format("time_ms={} {}\n", wallMilliseconds(),
                                 formatLogLine(Event, Fields));
  std::fwrite(Line.data(), 1, Line.size(), stderr);
}

} // namespace filbertspring
