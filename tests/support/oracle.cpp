#include "oracle.h"

#include <fmt/format.h>
#include <limits>

namespace filbertspring::tests {

std::map<std::string, int> runsByRequest(Cluster &System) {
  std::map<std::string, int> Runs;
  for (const Node &Executor : System.executors()) {
    nlohmann::json Body = call(Executor.Port_, "GET", "/runs").json();
    if (!Body.is_object())
      continue;
    for (const auto &[Id, Count] : Body["runs"].items())
      Runs[Id] += Count.get<int>();
  }
  return Runs;
}

std::vector<RunInterval> taskRunIntervals(Cluster &System) {
  std::vector<RunInterval> Runs;
  for (const Node &Worker : System.workers()) {
    nlohmann::json Body = call(Worker.Port_, "GET", "/runs").json();
    if (!Body.is_object())
      continue;
    for (const nlohmann::json &Each : Body["runs"]) {
      RunInterval Run;
      Run.Task_ = fmt::format("{}/{}", Each["job"].get<std::string>(),
                              Each["index"].get<int>());
      Run.Attempt_ = Each["attempt"].get<std::int64_t>();
      Run.Worker_ = Worker.Name_;
      Run.From_ = Each["from_us"].get<std::int64_t>();
      Run.Until_ = Each["until_us"].is_null()
                       ? std::numeric_limits<std::int64_t>::max()
                       : Each["until_us"].get<std::int64_t>();
      Runs.push_back(std::move(Run));
    }
  }
  return Runs;
}

std::vector<std::string> findOverlaps(const std::vector<RunInterval> &Runs) {
  std::vector<std::string> Found;
  for (std::size_t Left = 0; Left < Runs.size(); ++Left)
    for (std::size_t Right = Left + 1; Right < Runs.size(); ++Right) {
      const RunInterval &A = Runs[Left];
      const RunInterval &B = Runs[Right];
      if (A.Task_ == B.Task_ && A.From_ < B.Until_ && B.From_ < A.Until_)
        Found.push_back(fmt::format("{} ran as attempt {} on {} and {} on {}",
                                    A.Task_, A.Attempt_, A.Worker_, B.Attempt_,
                                    B.Worker_));
    }
  return Found;
}

std::map<std::string, int> countTaskStates(const Node &Entry,
                                           const std::string &Job) {
  std::map<std::string, int> States;
  nlohmann::json Body = call(Entry.Port_, "GET", "/v1/jobs/" + Job).json();
  if (!Body.is_object() || !Body.contains("tasks"))
    return States;
  for (const nlohmann::json &Task : Body["tasks"])
    ++States[Task["state"].get<std::string>()];
  return States;
}

} // namespace filbertspring::tests
