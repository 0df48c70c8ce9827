#ifndef FILBERTSPRING_SCHEDULING_DOUBTFUL_STARTS_H
#define FILBERTSPRING_SCHEDULING_DOUBTFUL_STARTS_H

/// \file
/// Start commands that workers may still execute.

#include "filbertspring/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace filbertspring::scheduling {

/// How long after it was sent a command without an answer may be executed.
inline constexpr Duration LateExecutionLimit = std::chrono::seconds(12);

/// Where a task may be started while one of its start commands is in doubt.
struct StartDoubt {
  /// The only worker on which it may be started; empty if there is none.
  std::string Worker_;
  /// From then on it may be started anywhere.
  TimePoint End_{};
};

/// The start commands that may still be executed, by task.
///
/// A start command without an answer names the id of a worker and binds no
/// incarnation of it: the next one knows neither the stops nor the fencing
/// tokens that the previous one received, and its clock begins at any value. So
/// no answer of a worker shows that the command cannot be executed any more.
/// Until it certainly cannot, its task is started at no other id. At the same
/// id it may be, since only one incarnation of it is up at a time.
///
/// Each function is linear in the commands in doubt of one task, except for
/// expire(). Not thread-safe.
class DoubtfulStarts {
public:
  /// Notes a command for the run \p Run of \p Task that is sent to \p Worker
  /// and cannot be executed after \p End.
  void sent(const std::string &Task, const std::string &Worker,
            std::uint64_t Run, TimePoint End);
  /// Notes that the last command for the run was executed, refused, or not sent
  /// at all. Earlier ones stay in doubt.
  void answered(const std::string &Task, const std::string &Worker,
                std::uint64_t Run);
  /// Notes that the last command for the run got no answer.
  void unanswered(const std::string &Task, const std::string &Worker,
                  std::uint64_t Run);
  /// Notes that commands of a previous owner for \p Task may be executed by
  /// \p Worker until \p End.
  void restore(const std::string &Task, const std::string &Worker,
               TimePoint End);

  /// Returns what holds for \p Task at \p Now; nothing if it may be started on
  /// any worker.
  std::optional<StartDoubt> find(const std::string &Task, TimePoint Now) const;
  /// Returns whether \p Task may be started on \p Worker at \p Now.
  bool mayStartAt(const std::string &Task, const std::string &Worker,
                  TimePoint Now) const {
    std::optional<StartDoubt> Doubt = find(Task, Now);
    return !Doubt || Doubt->Worker_ == Worker;
  }
  /// Notes that \p Task waits because of a doubt. Returns whether it did not
  /// before.
  bool noteHeldBack(const std::string &Task);
  /// Forgets the commands that cannot be executed any more at \p Now. Returns
  /// the tasks without any other, and whether each waited for that. Linear in
  /// all commands in doubt, but constant as long as none expires.
  std::vector<std::pair<std::string, bool>> expire(TimePoint Now);
  /// Returns the number of tasks with a command in doubt.
  std::size_t size() const { return Tasks_.size(); }

private:
  /// The commands for one run.
  struct Commands {
    std::string Worker_;
    std::uint64_t Run_ = 0;
    /// The end of the last one, while its answer may come.
    std::optional<TimePoint> OutstandingEnd_;
    /// The latest end of those that got no answer.
    TimePoint UnansweredEnd_{};

    TimePoint end() const;
  };
  struct TaskDoubt {
    std::vector<Commands> Runs_;
    bool IsHeldBack_ = false;
  };
  Commands *findCommands(const std::string &Task, const std::string &Worker,
                         std::uint64_t Run);

  std::unordered_map<std::string, TaskDoubt> Tasks_;
  /// No command expires before.
  TimePoint NextEnd_ = TimePoint::max();
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_DOUBTFUL_STARTS_H
