#include "filbertspring/scheduling/progress_codec.h"

#include "filbertspring/scheduling/json_text.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>

namespace filbertspring::scheduling {
namespace {

using nlohmann::json;

void appendTask(std::string &Into, const TaskProgress &Progress) {
  // Most stored tasks are done; a single number represents them.
  if (Progress.IsDone_ && Progress.Failures_ == 0) {
    Into += '1';
    return;
  }
  fmt::format_to(std::back_inserter(Into), "[{},{},{},", Progress.IsDone_,
                 Progress.Failures_, Progress.LastFailedRun_);
  appendJsonString(Into, Progress.Checkpoint_);
  Into += ',';
  appendJsonString(Into, Progress.Worker_);
  fmt::format_to(std::back_inserter(Into), ",{}]", Progress.LastRun_);
}

TaskProgress decodeTask(const json &Value) {
  TaskProgress Progress;
  if (Value.is_number()) {
    Progress.IsDone_ = true;
    return Progress;
  }
  Progress.IsDone_ = Value.at(0).get<bool>();
  Progress.Failures_ = Value.at(1).get<std::uint32_t>();
  Progress.LastFailedRun_ = Value.at(2).get<std::uint64_t>();
  Progress.Checkpoint_ = Value.at(3).get<std::string>();
  Progress.Worker_ = Value.at(4).get<std::string>();
  Progress.LastRun_ = Value.at(5).get<std::uint64_t>();
  return Progress;
}

} // namespace

// Called at each end of a task, so the JSON text is built directly, without a
// document.
std::string encodeProgress(const JobProgress &Progress) {
  std::string Text =
      fmt::format("{{\"state\":\"{}\"", nameOf(JobStateNames, Progress.State_));
  const char *Before = ",\"tasks\":{";
  for (const auto &[Name, Entry] : Progress.Tasks_) {
    Text += Before;
    appendJsonString(Text, Name);
    Text += ':';
    appendTask(Text, Entry);
    Before = ",";
  }
  Text += Progress.Tasks_.empty() ? "}" : "}}";
  return Text;
}

Result<JobProgress> decodeProgress(std::string_view Text) {
  try {
    json Value = json::parse(Text);
    JobProgress Progress;
    std::optional<JobState> State =
        valueOf(JobStateNames, Value.at("state").get<std::string>());
    if (!State)
      return fail(Errc::InvalidJson);
    Progress.State_ = *State;
    if (Value.contains("tasks"))
      for (const auto &[Name, Entry] : Value["tasks"].items())
        Progress.Tasks_[Name] = decodeTask(Entry);
    return Progress;
  } catch (const json::exception &) {
    return fail(Errc::InvalidJson);
  }
}

std::string encodeStoredWorker(const WorkerEntry &Entry) {
  json Value = {{"address", Entry.Address_},
                {"service", Entry.Service_},
                {"zone", Entry.Zone_},
                {"born_ms", Entry.StartedAtMs_}};
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<WorkerEntry> decodeStoredWorker(std::string_view Text) {
  try {
    json Value = json::parse(Text);
    WorkerEntry Entry;
    Entry.Address_ = Value.at("address").get<std::string>();
    Entry.Service_ = Value.at("service").get<std::string>();
    Entry.Zone_ = Value.at("zone").get<std::string>();
    Entry.StartedAtMs_ = Value.at("born_ms").get<std::int64_t>();
    return Entry;
  } catch (const json::exception &) {
    return fail(Errc::InvalidJson);
  }
}

std::string encodeInterference(std::span<const InterferenceEstimate> Pairs) {
  json Value = json::array();
  // Three digits suffice for the accuracy of the estimates, and the row is
  // written often.
  auto Rounded = [](double Number) { return std::round(Number * 1000) / 1000; };
  for (const InterferenceEstimate &Pair : Pairs)
    Value.push_back({Pair.ServingImage_, Pair.FillerImage_,
                     Rounded(Pair.Value_.Mean_),
                     Rounded(Pair.Value_.Deviation_)});
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<std::vector<InterferenceEstimate>>
decodeInterference(std::string_view Text) {
  try {
    std::vector<InterferenceEstimate> Pairs;
    for (const json &Entry : json::parse(Text)) {
      InterferenceEstimate Pair;
      Pair.ServingImage_ = Entry.at(0).get<std::string>();
      Pair.FillerImage_ = Entry.at(1).get<std::string>();
      Pair.Value_ = {Entry.at(2).get<double>(), Entry.at(3).get<double>()};
      Pairs.push_back(std::move(Pair));
    }
    return Pairs;
  } catch (const json::exception &) {
    return fail(Errc::InvalidJson);
  }
}

} // namespace filbertspring::scheduling
