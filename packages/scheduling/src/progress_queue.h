#ifndef FILBERTSPRING_SCHEDULING_PROGRESS_QUEUE_H
#define FILBERTSPRING_SCHEDULING_PROGRESS_QUEUE_H

/// \file
/// The order in which changed progress is stored.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace filbertspring::scheduling {

/// Jobs whose progress is to be stored, in the order in which they changed.
///
/// A transaction holds a limited number of jobs. Under load there are always
/// more, so an order by any other key would store some of them rarely or never.
/// All operations are at most logarithmic in the number of jobs.
class ProgressQueue {
public:
  struct Entry {
    std::uint64_t Position_ = 0;
    std::string Job_;
  };

  /// Adds \p Job behind all others. A job that is queued keeps its position.
  void add(const std::string &Job) {
    if (Positions_.try_emplace(Job, NextPosition_).second)
      Jobs_.emplace(NextPosition_++, Job);
  }
  /// Returns an entry that was taken to its position.
  void restore(const Entry &Taken) {
    erase(Taken.Job_);
    Positions_.emplace(Taken.Job_, Taken.Position_);
    Jobs_.emplace(Taken.Position_, Taken.Job_);
  }
  /// Takes the entry that was added first; nothing if the queue is empty.
  std::optional<Entry> takeFirst() {
    if (Jobs_.empty())
      return std::nullopt;
    auto First = Jobs_.extract(Jobs_.begin());
    Positions_.erase(First.mapped());
    return Entry{First.key(), std::move(First.mapped())};
  }
  void erase(const std::string &Job) {
    auto It = Positions_.find(Job);
    if (It == Positions_.end())
      return;
    Jobs_.erase(It->second);
    Positions_.erase(It);
  }
  bool empty() const { return Jobs_.empty(); }
  /// Returns the position that the next added job gets.
  std::uint64_t nextPosition() const { return NextPosition_; }
  /// Returns the first position of which the job is queued. All jobs that were
  /// added before it have been taken.
  std::uint64_t firstPosition() const {
    return Jobs_.empty() ? NextPosition_ : Jobs_.begin()->first;
  }

private:
  std::map<std::uint64_t, std::string> Jobs_;
  std::unordered_map<std::string, std::uint64_t> Positions_;
  std::uint64_t NextPosition_ = 1;
};

} // namespace filbertspring::scheduling

#endif // FILBERTSPRING_SCHEDULING_PROGRESS_QUEUE_H
