#ifndef FILBERTSPRING_SCHEDULING_TASK_NAME_H
#define FILBERTSPRING_SCHEDULING_TASK_NAME_H

/// \file
/// Identifiers of tasks.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace filbertspring::scheduling {

/// Identifies a task: its job, the occurrence of the job, the step within the
/// occurrence and the task within the step. All numbers count from 0.
struct TaskName {
  std::string Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;

  friend bool operator==(const TaskName &, const TaskName &) = default;

  /// Returns the four parts joined by dots.
  std::string text() const;
};

/// Parses the result of TaskName::text(); returns nothing for any other text.
std::optional<TaskName> parseTaskName(std::string_view Text);

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_TASK_NAME_H
