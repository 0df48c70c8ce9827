#include "rows.h"

#include "filbertspring/transport/async_http_client.h"
#include "platform/caller_codec.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace filbertspring::node {
namespace {

using nlohmann::json;
using scheduling::AcceptedJob;
using scheduling::RowKey;

/// More processor cores than a machine has. An instance that seems to have more
/// would make all others wait before they take a cell over.
constexpr double MaxCapacityCores = 100'000;
/// The largest time, in milliseconds since 1970, that converts to nanoseconds.
constexpr double MaxWallMs = 9e12;

constexpr const char *WorkspaceMember = "workspace";
constexpr std::string_view CancelSuffix = ".cancel";
/// Between the id of a job and the scope of its cancellation. Ids of jobs are
/// hexadecimal.
constexpr char ScopeSeparator = '.';
/// Not the beginning of a job's id, which is hexadecimal.
constexpr std::string_view JournalPrefix = "journal-";

std::string dump(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Returns the number \p Value. Throws json::exception if it is not one.
double requireNumber(const json &Value) {
  if (!Value.is_number())
    throw json::type_error::create(302, "not a number", &Value);
  return Value.get<double>();
}

} // namespace

std::string jobPartition(unsigned Number) {
  return "jobs-" + std::to_string(Number);
}

std::string partitionOfJob(std::string_view Job) {
  Job = Job.substr(0, Job.find(ScopeSeparator));
  return jobPartition(static_cast<unsigned>(
      XXH3_64bits(Job.data(), Job.size()) % JobPartitionCount));
}

scheduling::Row makeRow(RowKey Key, std::string Value) {
  scheduling::Row NewRow;
  NewRow.Key_ = std::move(Key);
  NewRow.Value_ = std::move(Value);
  return NewRow;
}

RowKey jobKey(const std::string &Job) {
  return {JobTable, partitionOfJob(Job), Job};
}

RowKey cancellationKey(const std::string &Job) {
  return {JobTable, partitionOfJob(Job), Job + std::string(CancelSuffix)};
}

RowKey cancellationKeyWithin(const std::string &Workspace,
                             const std::string &Job) {
  // The hash bounds the length of the key and the characters in it. If two
  // workspaces have the same, a cancellation binds both.
  return cancellationKey(
      fmt::format("{}{}{:016x}", Job, ScopeSeparator,
                  XXH3_64bits(Workspace.data(), Workspace.size())));
}

RowKey progressKey(const std::string &Job) {
  return {ProgressTable, CellPartition, Job};
}

RowKey journalKey(std::uint64_t Number) {
  return {ProgressTable, CellPartition,
          fmt::format("{}{:020}", JournalPrefix, Number)};
}

std::optional<std::uint64_t> journalNumberFromKey(std::string_view Key) {
  if (!Key.starts_with(JournalPrefix))
    return std::nullopt;
  Key.remove_prefix(JournalPrefix.size());
  std::uint64_t Number = 0;
  auto [End, Error] =
      std::from_chars(Key.data(), Key.data() + Key.size(), Number);
  if (Error != std::errc() || End != Key.data() + Key.size())
    return std::nullopt;
  return Number;
}

RowKey knownWorkerKey(const std::string &Worker) {
  return {KnownWorkerTable, CellPartition, Worker};
}

RowKey ownerKey() { return {CellTable, CellPartition, OwnerKey}; }

RowKey statusKey() { return {CellTable, CellPartition, StatusKey}; }

RowKey modelKey() { return {ModelTable, CellPartition, ModelKey}; }

RowKey instanceKey(const std::string &Instance) {
  return {CellTable, CellPartition, std::string(InstancePrefix) + Instance};
}

std::optional<std::string> cancelledJobFromKey(std::string_view Key) {
  if (!Key.ends_with(CancelSuffix))
    return std::nullopt;
  Key.remove_suffix(CancelSuffix.size());
  return std::string(Key);
}

std::string encodeAcceptance(const StoredAcceptance &Accepted) {
  json Value{{"queue", Accepted.Queue_},
             {"service", Accepted.Service_},
             {"accepted_ms", Accepted.AcceptedMs_},
             {"body", Accepted.Body_}};
  if (!Accepted.Workspace_.empty())
    Value[WorkspaceMember] = Accepted.Workspace_;
  return dump(Value);
}

namespace {

/// Decodes all but the specification of an accepted job. Throws json::exception
/// if \p Value does not have the expected form.
AcceptedJob decodeWithoutSpec(std::string_view Job, const json &Value) {
  AcceptedJob Accepted;
  Accepted.Id_ = Job;
  Accepted.Queue_ = Value.at("queue").get<std::string>();
  Accepted.Service_ = Value.at("service").get<std::string>();
  Accepted.Workspace_ = Value.value(WorkspaceMember, std::string());
  auto AcceptedMs = requireNumber(Value.at("accepted_ms"));
  if (!(AcceptedMs >= 0 && AcceptedMs <= MaxWallMs))
    throw json::out_of_range::create(401, "not a time", &Value);
  Accepted.AcceptedMs_ = static_cast<std::int64_t>(AcceptedMs);
  return Accepted;
}

} // namespace

Result<AcceptedJob> decodeAcceptance(std::string_view Job,
                                     std::string_view Text) {
  try {
    json Value = json::parse(Text);
    AcceptedJob Accepted = decodeWithoutSpec(Job, Value);
    Result<scheduling::JobSpec> Spec =
        platform::decodeJobSpec(Value.at("body").get<std::string>());
    if (!Spec || !scheduling::findSpecError(*Spec).empty())
      return fail(Errc::InvalidInput);
    Accepted.Spec_ = std::move(*Spec);
    return Accepted;
  } catch (const json::exception &) {
    return fail(Errc::InvalidJson);
  }
}

Result<AcceptedJob> decodeUnusableAcceptance(std::string_view Job,
                                             std::string_view Text) {
  try {
    AcceptedJob Accepted = decodeWithoutSpec(Job, json::parse(Text));
    Accepted.Spec_.Steps_.emplace_back();
    return Accepted;
  } catch (const json::exception &) {
    return fail(Errc::InvalidJson);
  }
}

Result<std::string> decodeAcceptedWorkspace(std::string_view Text) {
  try {
    return json::parse(Text).value(WorkspaceMember, std::string());
  } catch (const json::exception &) {
    return fail(Errc::InvalidJson);
  }
}

std::string encodeAnnouncement(const Announcement &Announced) {
  return dump({{"address", Announced.PeerAddress_},
               {"zone", Announced.Zone_},
               {"cores", Announced.CapacityCores_}});
}

Result<Announcement> decodeAnnouncement(std::string_view Text) {
  try {
    json Value = json::parse(Text);
    Announcement Announced;
    Announced.PeerAddress_ = Value.at("address").get<std::string>();
    // Earlier versions announced no zone.
    Announced.Zone_ = Value.value("zone", std::string());
    Announced.CapacityCores_ = requireNumber(Value.at("cores"));
    if (!isSocketAddress(Announced.PeerAddress_) ||
        !(Announced.CapacityCores_ >= 0 &&
          Announced.CapacityCores_ <= MaxCapacityCores))
      return fail(Errc::InvalidJson);
    return Announced;
  } catch (const json::exception &) {
    return fail(Errc::InvalidJson);
  }
}

std::string encodeStatus(const CellStatus &Status) {
  return dump({{"tenure", Status.Tenure_}, {"pending", Status.Pending_}});
}

Result<CellStatus> decodeStatus(std::string_view Text) {
  try {
    CellStatus Status;
    json Value = json::parse(Text);
    Status.Tenure_ = Value.at("tenure").get<std::uint64_t>();
    Status.Pending_ =
        Value.at("pending").get<std::map<std::string, std::uint64_t>>();
    return Status;
  } catch (const json::exception &) {
    return fail(Errc::InvalidJson);
  }
}

} // namespace filbertspring::node
