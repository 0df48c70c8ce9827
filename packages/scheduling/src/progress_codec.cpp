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

/// Bounds the memory that malformed ranges of tasks can take. Far above the
/// number of tasks of a job.
constexpr std::uint32_t MaxRangedTasks = 100'000;

/// Identifies a step of one occurrence within the text of a job.
using StepKey = std::pair<std::uint32_t, std::uint32_t>;

/// Returns whether \p Progress is that of a task which was placed for the first
/// time, whether or not its start has been answered.
bool isOnlyPlaced(const TaskProgress &Progress) {
  TaskProgress Placed;
  Placed.Worker_ = Progress.Worker_;
  if (!Progress.DoubtfulWorker_.empty())
    Placed.DoubtfulWorker_ = Progress.Worker_;
  Placed.LastRun_ = Progress.LastRun_;
  return !Progress.Worker_.empty() && Progress == Placed;
}

/// Returns whether the doubt about a start is as that of a task without this
/// entry: about the worker that it is placed on.
bool hasUsualDoubt(const TaskProgress &Progress) {
  return Progress.DoubtfulWorker_ == Progress.Worker_;
}

void appendCrashes(std::string &Into, const TaskProgress &Progress) {
  if (Progress.CrashedWorkers_.empty() && Progress.Exposures_ == 0 &&
      hasUsualDoubt(Progress))
    return;
  Into += ",[";
  for (const std::string &Worker : Progress.CrashedWorkers_) {
    if (&Worker != &Progress.CrashedWorkers_.front())
      Into += ',';
    appendJsonString(Into, Worker);
  }
  fmt::format_to(std::back_inserter(Into), "],{},{}", Progress.IsolatedCrashes_,
                 Progress.Exposures_);
}

void appendTask(std::string &Into, const TaskProgress &Progress) {
  fmt::format_to(std::back_inserter(Into), "[{},{},{},", Progress.IsDone_,
                 Progress.Failures_, Progress.LastFailedRun_);
  appendJsonString(Into, Progress.Checkpoint_);
  Into += ',';
  appendJsonString(Into, Progress.Worker_);
  fmt::format_to(std::back_inserter(Into), ",{}", Progress.LastRun_);
  appendCrashes(Into, Progress);
  if (!hasUsualDoubt(Progress)) {
    Into += ',';
    appendJsonString(Into, Progress.DoubtfulWorker_);
  }
  Into += ']';
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
  // Missing for a task whose workers did not crash.
  if (Value.size() > 8) {
    Progress.CrashedWorkers_ = Value[6].get<std::vector<std::string>>();
    Progress.IsolatedCrashes_ = Value[7].get<std::uint32_t>();
    Progress.Exposures_ = Value[8].get<std::uint32_t>();
  }
  Progress.DoubtfulWorker_ =
      Value.size() > 9 ? Value[9].get<std::string>() : Progress.Worker_;
  return Progress;
}

/// Appends the sorted \p Numbers as a list of the first and the last number of
/// each range.
void appendRanges(std::string &Into,
                  const std::vector<std::uint32_t> &Numbers) {
  Into += '[';
  for (auto First = Numbers.begin(); First != Numbers.end();) {
    auto End = std::next(First);
    while (End != Numbers.end() && *End == *std::prev(End) + 1)
      ++End;
    fmt::format_to(std::back_inserter(Into), "{}{},{}",
                   First == Numbers.begin() ? "" : ",", *First,
                   *std::prev(End));
    First = End;
  }
  Into += ']';
}

/// Calls \p Handle with the name of each task in \p Steps.
template <typename Handler>
void decodeRanges(const json &Steps, const std::string &Job, Handler Handle) {
  std::uint32_t Room = MaxRangedTasks;
  for (const json &Step : Steps) {
    TaskName Name{Job, Step.at(0).get<std::uint32_t>(),
                  Step.at(1).get<std::uint32_t>(), 0};
    const json &Ranges = Step.at(2);
    for (std::size_t Next = 0; Next < Ranges.size(); Next += 2) {
      auto First = Ranges.at(Next).get<std::uint32_t>();
      auto Last = Ranges.at(Next + 1).get<std::uint32_t>();
      if (Last < First || Last - First >= Room)
        throw json::out_of_range::create(401, "not a range of tasks", &Ranges);
      Room -= Last - First + 1;
      for (std::uint32_t Offset = 0; Offset <= Last - First; ++Offset) {
        Name.Index_ = First + Offset;
        Handle(Name.text());
      }
    }
  }
}

void decodePlaced(const json &Steps, const std::string &Job,
                  JobProgress &Into) {
  for (const json &Step : Steps) {
    TaskName Name{Job, Step.at(1).get<std::uint32_t>(),
                  Step.at(2).get<std::uint32_t>(), 0};
    TaskProgress Placed;
    Placed.LastRun_ = Step.at(0).get<std::uint64_t>();
    const json &Tasks = Step.at(3);
    for (std::size_t Next = 0; Next < Tasks.size(); Next += 2) {
      Name.Index_ = Tasks.at(Next).get<std::uint32_t>();
      Placed.Worker_ = Tasks.at(Next + 1).get<std::string>();
      Placed.DoubtfulWorker_ = Placed.Worker_;
      Into.Tasks_[Name.text()] = Placed;
    }
  }
}

/// The tasks of a job, by the form in which they are written.
struct GroupedTasks {
  std::string Job_;
  std::map<StepKey, std::vector<std::uint32_t>> Done_;
  /// Those of Placed_ of which no start is in doubt.
  std::map<StepKey, std::vector<std::uint32_t>> Answered_;
  /// Index and worker of each task, by run number, which most tasks of a step
  /// share, and step.
  std::map<std::pair<std::uint64_t, StepKey>,
           std::vector<std::pair<std::uint32_t, std::string_view>>>
      Placed_;
  std::vector<std::pair<std::string_view, const TaskProgress *>> Others_;

  explicit GroupedTasks(const JobProgress &Progress) {
    for (const auto &[Text, Entry] : Progress.Tasks_) {
      std::optional<TaskName> Name = parseTaskName(Text);
      bool IsOfJob = Name && (Job_.empty() || Name->Job_ == Job_);
      if (IsOfJob)
        Job_ = Name->Job_;
      if (IsOfJob && Entry.IsDone_ && Entry.Failures_ == 0)
        Done_[{Name->Occurrence_, Name->Step_}].push_back(Name->Index_);
      else if (IsOfJob && isOnlyPlaced(Entry))
        addPlaced(*Name, Entry);
      else
        Others_.emplace_back(Text, &Entry);
    }
    for (auto *Steps : {&Done_, &Answered_})
      for (auto &[Step, Numbers] : *Steps)
        std::sort(Numbers.begin(), Numbers.end());
  }

private:
  void addPlaced(const TaskName &Name, const TaskProgress &Entry) {
    StepKey Step{Name.Occurrence_, Name.Step_};
    Placed_[{Entry.LastRun_, Step}].emplace_back(Name.Index_, Entry.Worker_);
    if (Entry.DoubtfulWorker_.empty())
      Answered_[Step].push_back(Name.Index_);
  }
};

void appendSteps(std::string &Into, const char *Field,
                 const std::map<StepKey, std::vector<std::uint32_t>> &Steps) {
  std::string Before = fmt::format(",\"{}\":[", Field);
  for (const auto &[Step, Numbers] : Steps) {
    fmt::format_to(std::back_inserter(Into), "{}[{},{},", Before, Step.first,
                   Step.second);
    appendRanges(Into, Numbers);
    Into += ']';
    Before = ",";
  }
  Into += Steps.empty() ? "" : "]";
}

void appendPlaced(std::string &Into, const GroupedTasks &Tasks) {
  const char *Before = ",\"placed\":[";
  for (const auto &[Group, Placements] : Tasks.Placed_) {
    const auto &[Run, Step] = Group;
    fmt::format_to(std::back_inserter(Into), "{}[{},{},{},[", Before, Run,
                   Step.first, Step.second);
    for (const auto &[Index, Worker] : Placements) {
      fmt::format_to(std::back_inserter(Into), "{},", Index);
      appendJsonString(Into, Worker);
      Into += ',';
    }
    Into.pop_back();
    Into += "]]";
    Before = ",";
  }
  Into += Tasks.Placed_.empty() ? "" : "]";
}

std::string encodeAll(const JobProgress &Progress) {
  GroupedTasks Tasks(Progress);
  std::string Text =
      fmt::format("{{\"state\":\"{}\"", nameOf(JobStateNames, Progress.State_));
  if (!Progress.Cause_.empty()) {
    Text += ",\"cause\":";
    appendJsonString(Text, Progress.Cause_);
  }
  if (Progress.IncludedJournal_ != 0)
    fmt::format_to(std::back_inserter(Text), ",\"journal\":{}",
                   Progress.IncludedJournal_);
  if (!Tasks.Job_.empty()) {
    Text += ",\"job\":";
    appendJsonString(Text, Tasks.Job_);
  }
  appendSteps(Text, "done", Tasks.Done_);
  appendPlaced(Text, Tasks);
  appendSteps(Text, "answered", Tasks.Answered_);
  const char *Before = ",\"tasks\":{";
  for (const auto &[Name, Entry] : Tasks.Others_) {
    Text += Before;
    appendJsonString(Text, Name);
    Text += ':';
    appendTask(Text, *Entry);
    Before = ",";
  }
  Text += Tasks.Others_.empty() ? "}" : "}}";
  return Text;
}

} // namespace

// Called at each end of a task, so the JSON text is built directly, without a
// document. Ranges and shared run numbers keep a job of hundreds of tasks
// within a few kilobytes.
std::string encodeProgress(const JobProgress &Progress) {
  std::string Text = encodeAll(Progress);
  if (Text.size() <= MaxRowBytes)
    return Text;
  // Without checkpoints the work since the start of each task is lost if its
  // worker is. A row that is too large could not be stored at all.
  JobProgress WithoutCheckpoints = Progress;
  for (auto &[Name, Task] : WithoutCheckpoints.Tasks_)
    Task.Checkpoint_.clear();
  return encodeAll(WithoutCheckpoints);
}

namespace {

JobProgress decodeProgressObject(const json &Value) {
  JobProgress Progress;
  std::optional<JobState> State =
      valueOf(JobStateNames, Value.at("state").get<std::string>());
  if (!State)
    throw json::out_of_range::create(403, "unknown state", &Value);
  Progress.State_ = *State;
  Progress.Cause_ = Value.value("cause", std::string());
  Progress.IncludedJournal_ = Value.value("journal", std::uint64_t{0});
  std::string Job = Value.value("job", std::string());
  if (Value.contains("done"))
    decodeRanges(Value["done"], Job, [&](const std::string &Name) {
      Progress.Tasks_[Name] = TaskProgress();
      Progress.Tasks_[Name].IsDone_ = true;
    });
  if (Value.contains("placed"))
    decodePlaced(Value["placed"], Job, Progress);
  // Earlier versions do not tell which starts have been answered.
  if (Value.contains("answered"))
    decodeRanges(Value["answered"], Job, [&](const std::string &Name) {
      Progress.Tasks_[Name].DoubtfulWorker_.clear();
    });
  // Earlier versions wrote all tasks in this form.
  if (Value.contains("tasks"))
    for (const auto &[Name, Entry] : Value["tasks"].items())
      Progress.Tasks_[Name] = decodeTask(Entry);
  return Progress;
}

} // namespace

Result<JobProgress> decodeProgress(std::string_view Text) {
  try {
    return decodeProgressObject(json::parse(Text));
  } catch (const json::exception &) {
    return fail(Errc::InvalidJson);
  }
}

std::size_t maxEncodedBytes(const Job &TheJob) {
  std::string Quoted;
  appendJsonString(Quoted, TheJob.accepted().Id_);
  std::string Cause;
  appendJsonString(Cause, TheJob.cause());
  // The id twice, the state and the names of the fields.
  constexpr std::size_t Fields = 96;
  return 2 * Quoted.size() + Cause.size() + Fields;
}

namespace {

std::size_t maxTaskBytes(std::string_view Name, const TaskProgress &Progress) {
  // The brackets, indices and run number of a group of its own.
  constexpr std::size_t Group = 40;
  std::string Text;
  if (Progress.IsDone_ && Progress.Failures_ == 0)
    return Group;
  if (isOnlyPlaced(Progress)) {
    appendJsonString(Text, Progress.Worker_);
    return (Progress.DoubtfulWorker_.empty() ? 2 : 1) * Group + Text.size();
  }
  appendJsonString(Text, Name);
  appendTask(Text, Progress);
  return Text.size() + 2;
}

/// Returns an upper bound of the text of \p Progress without its tasks, also
/// within a row of the journal.
std::size_t maxHeaderBytes(const JobProgress &Progress) {
  // The state, the number of the journal and the names of the fields.
  constexpr std::size_t Fields = 140;
  std::string Text;
  appendJsonString(Text, Progress.Cause_);
  // The id of the job is the beginning of each task's name. It occurs twice.
  if (!Progress.Tasks_.empty())
    for (int Time = 0; Time < 2; ++Time)
      appendJsonString(Text, Progress.Tasks_.begin()->first);
  return Text.size() + Fields;
}

std::vector<JobProgress> splitTasks(const JobProgress &Snapshot) {
  JobProgress Header = Snapshot;
  Header.Tasks_.clear();
  const std::size_t HeaderBytes = maxHeaderBytes(Snapshot);
  std::vector<JobProgress> Parts{Header};
  std::size_t Bytes = HeaderBytes;
  for (const auto &[Name, Task] : Snapshot.Tasks_) {
    std::size_t TaskBytes = maxTaskBytes(Name, Task);
    if (Bytes + TaskBytes > MaxRowBytes && !Parts.back().Tasks_.empty()) {
      Parts.push_back(Header);
      Bytes = HeaderBytes;
    }
    Parts.back().Tasks_.emplace(Name, Task);
    Bytes += TaskBytes;
  }
  return Parts;
}

} // namespace

std::size_t maxEncodedBytes(const TaskName &Name,
                            const TaskProgress &Progress) {
  return maxTaskBytes(Name.text(), Progress);
}

std::size_t maxEncodedBytes(const JobProgress &Progress) {
  std::size_t Bytes = maxHeaderBytes(Progress);
  for (const auto &[Name, Task] : Progress.Tasks_)
    Bytes += maxTaskBytes(Name, Task);
  return Bytes;
}

std::vector<JobProgress> splitSnapshot(JobProgress Snapshot) {
  /// 384 KiB in the encoding of binary values, of the 1 MB of a transaction.
  constexpr std::size_t MaxParts = 6;
  std::vector<JobProgress> Parts;
  if (maxEncodedBytes(Snapshot) <= MaxRowBytes) {
    Parts.push_back(std::move(Snapshot));
    return Parts;
  }
  Parts = splitTasks(Snapshot);
  if (Parts.size() <= MaxParts)
    return Parts;
  for (auto &[Name, Task] : Snapshot.Tasks_)
    Task.Checkpoint_.clear();
  return splitTasks(Snapshot);
}

std::string encodeJournal(const JournalEntries &Entries) {
  std::string Text = "{";
  for (const auto &[Job, Changes] : Entries) {
    if (Text.size() > 1)
      Text += ',';
    appendJsonString(Text, Job);
    Text += ':';
    Text += encodeProgress(Changes);
  }
  return Text + '}';
}

Result<JournalEntries> decodeJournal(std::string_view Text) {
  try {
    json Value = json::parse(Text);
    if (!Value.is_object())
      return fail(Errc::InvalidJson);
    JournalEntries Entries;
    for (const auto &[Job, Changes] : Value.items())
      Entries.emplace_back(Job, decodeProgressObject(Changes));
    return Entries;
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
  struct Entry {
    double Deviation_;
    std::string Text_;
  };
  std::vector<Entry> Entries;
  std::size_t Bytes = 1;
  // Three digits suffice for the accuracy of the estimates, and the row is
  // written often.
  auto Rounded = [](double Number) { return std::round(Number * 1000) / 1000; };
  for (const InterferenceEstimate &Pair : Pairs) {
    json Value = {Pair.ServingImage_, Pair.FillerImage_,
                  Rounded(Pair.Value_.Mean_), Rounded(Pair.Value_.Deviation_)};
    Entries.push_back(
        {Pair.Value_.Deviation_,
         Value.dump(-1, ' ', false, json::error_handler_t::replace)});
    Bytes += Entries.back().Text_.size() + 1;
  }
  if (Bytes > MaxRowBytes)
    std::stable_sort(Entries.begin(), Entries.end(),
                     [](const Entry &Left, const Entry &Right) {
                       return Left.Deviation_ < Right.Deviation_;
                     });
  std::string Text = "[";
  for (const Entry &Next : Entries) {
    // With a comma or the bracket at the end.
    if (Text.size() + Next.Text_.size() + 1 > MaxRowBytes)
      break;
    Text += Next.Text_;
    Text += ',';
  }
  if (Text.size() > 1)
    Text.pop_back();
  return Text + ']';
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
