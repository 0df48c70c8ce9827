#include "filbertspring/scheduling/configuration_check.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>
#include <map>
#include <set>

namespace filbertspring::scheduling {
namespace {

/// The number of hexadecimal digits in a job's id, which follows the prefix of
/// a queue in a request's path.
constexpr std::size_t JobIdDigits = 16;
/// One core.
constexpr std::int64_t MilliCpuOfCore = 1000;

std::string placeOf(const Queue &Entry) { return "queue " + Entry.Name_; }
std::string placeOf(const ServicePool &Entry) {
  return "service " + Entry.Name_;
}
std::string placeOf(const Workspace &Entry) {
  return "workspace " + Entry.Name_;
}

/// Reports each name that more than one of \p Entries has.
template <typename Entry>
void checkNames(const std::vector<Entry> &Entries, Findings &Into) {
  std::map<std::string, int> Counts;
  for (const Entry &Each : Entries)
    if (++Counts[Each.Name_] == 2)
      Into.add(placeOf(Each), "is defined more than once", "unique names");
}

/// Returns whether some ids of jobs of a queue with prefix \p Shorter are taken
/// for a part of the prefix \p Longer.
bool hidesIds(std::string_view Longer, std::string_view Shorter) {
  if (Longer.size() <= Shorter.size() || !Longer.starts_with(Shorter))
    return false;
  std::string_view Rest = Longer.substr(Shorter.size());
  return Rest.size() <= JobIdDigits &&
         std::all_of(Rest.begin(), Rest.end(), [](unsigned char Digit) {
           return std::isxdigit(Digit) != 0;
         });
}

/// Checks the host and prefix of the queue with index \p Index.
void checkMatch(const QueueTable &Table, std::size_t Index, Findings &Into) {
  const Queue &Checked = Table.Queues_[Index];
  if (!Checked.PathPrefix_.starts_with('/'))
    Into.add(placeOf(Checked),
             fmt::format("no path begins with \"{}\"", Checked.PathPrefix_),
             "a prefix that begins with a slash");
  if (Checked.Host_.empty() || Checked.Host_.find(':') != std::string::npos)
    Into.add(placeOf(Checked),
             fmt::format("no request has the host \"{}\"", Checked.Host_),
             "a host without a port");
  for (std::size_t Other = 0; Other < Table.Queues_.size(); ++Other) {
    const Queue &Rival = Table.Queues_[Other];
    if (Other == Index || Rival.Host_ != Checked.Host_)
      continue;
    // Of several equal prefixes, the first one matches.
    if (Other < Index && Rival.PathPrefix_ == Checked.PathPrefix_)
      Into.add(placeOf(Checked),
               fmt::format("never matches: {} has the same host and prefix",
                           placeOf(Rival)));
    if (hidesIds(Rival.PathPrefix_, Checked.PathPrefix_))
      Into.add(placeOf(Checked),
               fmt::format("jobs whose ids begin with \"{}\" go to {}, whose "
                           "prefix is longer, and are not found there",
                           Rival.PathPrefix_.substr(Checked.PathPrefix_.size()),
                           placeOf(Rival)));
  }
}

void checkLimits(const Queue &Checked, Findings &Into) {
  if (Checked.Attempts_ == 0)
    Into.add(placeOf(Checked), "its jobs have no attempt", "1 or more");
  if (Checked.SlackFactor_ <= 0)
    Into.add(placeOf(Checked), "its slack factor is 0", "more than 0");
  if (Checked.Timeout_ == Duration::zero())
    Into.add(placeOf(Checked), "its requests have no time", "more than 0 ms");
  else if (Checked.TargetLatency_ > Checked.Timeout_)
    Into.add(placeOf(Checked),
             fmt::format("its target latency, {} ms, is above the time limit "
                         "of a request, {} ms",
                         Checked.TargetLatency_ / std::chrono::milliseconds(1),
                         Checked.Timeout_ / std::chrono::milliseconds(1)));
}

void checkQueues(const QueueTable &Table, Findings &Into) {
  checkNames(Table.Queues_, Into);
  for (std::size_t Index = 0; Index < Table.Queues_.size(); ++Index) {
    const Queue &Checked = Table.Queues_[Index];
    checkMatch(Table, Index, Into);
    checkLimits(Checked, Into);
    bool HasService = std::any_of(
        Table.Services_.begin(), Table.Services_.end(),
        [&](const auto &Pool) { return Pool.Name_ == Checked.Service_; });
    if (!HasService)
      Into.add(
          placeOf(Checked),
          fmt::format("its service \"{}\" does not exist", Checked.Service_));
    if (Checked.IsPublic_ && !Table.requiresKeys())
      Into.add(placeOf(Checked),
               "being public has no effect: there are no workspaces");
  }
}

void checkMaximum(const Workspace &Checked, Findings &Into) {
  const Resources &Maximum = Checked.Maximum_;
  if (Maximum.MilliCpu_ < 0 || Maximum.MemoryMb_ < 0 ||
      Maximum.Accelerators_ < 0)
    Into.add(placeOf(Checked), "its maximum is negative", "0 for no limit");
  if (Maximum.MilliCpu_ > 0 && Maximum.MilliCpu_ < MilliCpuOfCore)
    Into.add(placeOf(Checked),
             fmt::format("its maximum of {} thousandths of a core is below one "
                         "core",
                         Maximum.MilliCpu_),
             "0 for no limit, or 1000 or more");
}

void checkWorkspaces(const QueueTable &Table, Findings &Into) {
  checkNames(Table.Workspaces_, Into);
  std::map<std::string, const Workspace *> OwnerOfKey;
  for (const Workspace &Checked : Table.Workspaces_) {
    checkMaximum(Checked, Into);
    if (!(Checked.Weight_ > 0))
      Into.add(placeOf(Checked), "its weight gives it no share", "more than 0");
    if (Checked.Keys_.empty())
      Into.add(placeOf(Checked), "no caller has a key of it");
    for (const std::string &Key : Checked.Keys_) {
      if (Key.empty())
        Into.add(placeOf(Checked), "one of its keys is empty");
      auto [Entry, IsNew] = OwnerOfKey.try_emplace(Key, &Checked);
      if (!IsNew)
        Into.add(placeOf(Checked),
                 fmt::format("its key {} is also one of {}", shortenedKey(Key),
                             placeOf(*Entry->second)));
    }
  }
  bool HasPrivateQueue =
      std::any_of(Table.Queues_.begin(), Table.Queues_.end(),
                  [](const Queue &Each) { return !Each.IsPublic_; });
  if (Table.requiresKeys() && OwnerOfKey.empty() && HasPrivateQueue)
    Into.add("workspaces",
             "none has a key, so only public queues can be called");
}

using Changes = std::vector<ConfigurationChange>;

/// Adds a change of one field if its texts differ.
void compareField(const std::string &Place, std::string_view Field,
                  const std::string &Before, const std::string &After,
                  Changes &Into) {
  if (Before != After)
    Into.push_back({ChangeKind::Changed, fmt::format("{}: {}", Place, Field),
                    Before, After});
}

std::string milliseconds(Duration Time) {
  return fmt::format("{} ms", Time / std::chrono::milliseconds(1));
}

using Fields = std::vector<std::pair<std::string_view, std::string>>;

Fields fieldsOf(const Queue &Entry) {
  return {{"host", Entry.Host_},
          {"prefix", Entry.PathPrefix_},
          {"service", Entry.Service_},
          {"priority", std::to_string(Entry.Priority_)},
          {"attempts", std::to_string(Entry.Attempts_)},
          {"slack factor", fmt::format("{}", Entry.SlackFactor_)},
          {"target latency", milliseconds(Entry.TargetLatency_)},
          {"time limit", milliseconds(Entry.Timeout_)},
          {"public", Entry.IsPublic_ ? "yes" : "no"}};
}

Fields fieldsOf(const ServicePool &Entry) {
  return {{"enforces capacity", Entry.EnforcesCapacity_ ? "yes" : "no"}};
}

Fields fieldsOf(const Workspace &Entry) {
  return {{"weight", fmt::format("{}", Entry.Weight_)},
          {"maximum of cores",
           fmt::format("{}", static_cast<double>(Entry.Maximum_.MilliCpu_) /
                                 MilliCpuOfCore)},
          {"maximum of memory", fmt::format("{} MB", Entry.Maximum_.MemoryMb_)},
          {"maximum of accelerators",
           std::to_string(Entry.Maximum_.Accelerators_)}};
}

template <typename Entry>
const Entry *findEntry(const std::vector<Entry> &Entries,
                       const std::string &Name) {
  for (const Entry &Each : Entries)
    if (Each.Name_ == Name)
      return &Each;
  return nullptr;
}

/// Reports the keys of \p From that \p Other does not have.
void compareKeys(ChangeKind Kind, const Workspace &From, const Workspace &Other,
                 Changes &Into) {
  std::set<std::string> Known(Other.Keys_.begin(), Other.Keys_.end());
  for (const std::string &Key : From.Keys_) {
    if (Known.contains(Key))
      continue;
    ConfigurationChange Change{Kind, placeOf(From) + ": key", {}, {}};
    (Kind == ChangeKind::Added ? Change.After_ : Change.Before_) =
        shortenedKey(Key);
    Into.push_back(std::move(Change));
  }
}

template <typename Entry>
void compareEntries(const std::vector<Entry> &Before,
                    const std::vector<Entry> &After, Changes &Into) {
  for (const Entry &Old : Before)
    if (!findEntry(After, Old.Name_))
      Into.push_back({ChangeKind::Removed, placeOf(Old), {}, {}});
  for (const Entry &New : After) {
    const Entry *Old = findEntry(Before, New.Name_);
    if (!Old) {
      Into.push_back({ChangeKind::Added, placeOf(New), {}, {}});
      continue;
    }
    Fields OldFields = fieldsOf(*Old);
    Fields NewFields = fieldsOf(New);
    for (std::size_t Field = 0; Field < NewFields.size(); ++Field)
      compareField(placeOf(New), NewFields[Field].first,
                   OldFields[Field].second, NewFields[Field].second, Into);
    if constexpr (std::is_same_v<Entry, Workspace>) {
      compareKeys(ChangeKind::Removed, *Old, New, Into);
      compareKeys(ChangeKind::Added, New, *Old, Into);
    }
  }
}

} // namespace

Findings checkConfiguration(const QueueTable &Table) {
  Findings Found;
  checkQueues(Table, Found);
  checkNames(Table.Services_, Found);
  checkWorkspaces(Table, Found);
  if (Table.MaxBodyBytes_ == 0)
    Found.add("body limit", "no job can be submitted", "more than 0 bytes");
  return Found;
}

Changes compareConfigurations(const QueueTable &Before,
                              const QueueTable &After) {
  Changes Found;
  compareField("version", "number", std::to_string(Before.Version_),
               std::to_string(After.Version_), Found);
  compareEntries(Before.Queues_, After.Queues_, Found);
  compareEntries(Before.Services_, After.Services_, Found);
  compareEntries(Before.Workspaces_, After.Workspaces_, Found);
  compareField("body limit", "bytes", std::to_string(Before.MaxBodyBytes_),
               std::to_string(After.MaxBodyBytes_), Found);
  return Found;
}

std::string shortenedKey(std::string_view Key) {
  constexpr std::size_t Shown = 4;
  constexpr std::size_t MinKey = 3 * Shown;
  return "..." + std::string(Key.size() < MinKey
                                 ? std::string_view()
                                 : Key.substr(Key.size() - Shown));
}

} // namespace filbertspring::scheduling
