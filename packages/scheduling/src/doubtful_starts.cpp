#include "doubtful_starts.h"

#include <algorithm>
#include <utility>

namespace filbertspring::scheduling {

TimePoint DoubtfulStarts::Commands::end() const {
  return std::max(UnansweredEnd_, OutstandingEnd_.value_or(TimePoint()));
}

DoubtfulStarts::Commands *
DoubtfulStarts::findCommands(const std::string &Task, const std::string &Worker,
                             std::uint64_t Run) {
  auto It = Tasks_.find(Task);
  if (It == Tasks_.end())
    return nullptr;
  for (Commands &Each : It->second.Runs_)
    if (Each.Run_ == Run && Each.Worker_ == Worker)
      return &Each;
  return nullptr;
}

void DoubtfulStarts::sent(const std::string &Task, const std::string &Worker,
                          std::uint64_t Run, TimePoint End) {
  Commands *Known = findCommands(Task, Worker, Run);
  if (!Known)
    Known = &Tasks_[Task].Runs_.emplace_back(Commands{Worker, Run, {}, {}});
  Known->UnansweredEnd_ = Known->end();
  Known->OutstandingEnd_ = End;
  NextEnd_ = std::min(NextEnd_, End);
}

void DoubtfulStarts::answered(const std::string &Task,
                              const std::string &Worker, std::uint64_t Run) {
  Commands *Known = findCommands(Task, Worker, Run);
  if (!Known)
    return;
  Known->OutstandingEnd_.reset();
  if (Known->UnansweredEnd_ != TimePoint())
    return;
  auto It = Tasks_.find(Task);
  std::vector<Commands> &Runs = It->second.Runs_;
  Runs.erase(Runs.begin() + (Known - Runs.data()));
  if (!Runs.empty())
    return;
  // expire() reports one that was held back.
  if (It->second.IsHeldBack_)
    NextEnd_ = TimePoint();
  else
    Tasks_.erase(It);
}

void DoubtfulStarts::unanswered(const std::string &Task,
                                const std::string &Worker, std::uint64_t Run) {
  if (Commands *Known = findCommands(Task, Worker, Run)) {
    Known->UnansweredEnd_ = Known->end();
    Known->OutstandingEnd_.reset();
  }
}

void DoubtfulStarts::restore(const std::string &Task, const std::string &Worker,
                             TimePoint End) {
  sent(Task, Worker, 0, End);
  unanswered(Task, Worker, 0);
}

std::optional<StartDoubt> DoubtfulStarts::find(const std::string &Task,
                                               TimePoint Now) const {
  auto It = Tasks_.find(Task);
  if (It == Tasks_.end())
    return std::nullopt;
  std::optional<StartDoubt> Doubt;
  for (const Commands &Each : It->second.Runs_) {
    if (Each.end() < Now)
      continue;
    if (!Doubt)
      Doubt = StartDoubt{Each.Worker_, Each.end()};
    // Two workers, as a previous owner may have left them.
    if (Doubt->Worker_ != Each.Worker_)
      Doubt->Worker_.clear();
    Doubt->End_ = std::max(Doubt->End_, Each.end());
  }
  return Doubt;
}

bool DoubtfulStarts::noteHeldBack(const std::string &Task) {
  auto It = Tasks_.find(Task);
  return It != Tasks_.end() && !std::exchange(It->second.IsHeldBack_, true);
}

std::vector<std::pair<std::string, bool>>
DoubtfulStarts::expire(TimePoint Now) {
  std::vector<std::pair<std::string, bool>> Expired;
  if (Now <= NextEnd_)
    return Expired;
  NextEnd_ = TimePoint::max();
  for (auto It = Tasks_.begin(); It != Tasks_.end();) {
    TaskDoubt &Doubt = It->second;
    std::erase_if(Doubt.Runs_,
                  [Now](const Commands &Each) { return Each.end() < Now; });
    for (const Commands &Each : Doubt.Runs_)
      NextEnd_ = std::min(NextEnd_, Each.end());
    if (!Doubt.Runs_.empty()) {
      ++It;
      continue;
    }
    Expired.emplace_back(It->first, Doubt.IsHeldBack_);
    It = Tasks_.erase(It);
  }
  return Expired;
}

} // namespace filbertspring::scheduling
