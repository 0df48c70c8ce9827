#include "filbertspring/config/contract_document.h"

#include "filbertspring/config/units.h"

#include "document_reader.h"

#include <limits>

namespace filbertspring {
namespace {

using namespace std::chrono_literals;
using config_detail::ObjectReader;
using config_detail::Presence;

template <typename T> using Bounds = config_detail::Bounds<T>;
using Json = nlohmann::ordered_json;

constexpr Bounds<Duration> RequestTimeBounds{1us, MaxRequestDeadline};
constexpr Bounds<Duration> RunTimeBounds{1s, std::chrono::hours(24 * 365)};
constexpr Bounds<Duration> WatchTimeBounds{1s, std::chrono::hours(24 * 31)};
constexpr Bounds<std::int64_t> RateBounds{MinServiceRate, 10'000'000};
constexpr Bounds<std::int64_t> ConcurrencyBounds{MinServiceConcurrency,
                                                 10'000'000};
constexpr Bounds<std::int64_t> CountBounds{1, 10'000'000};
constexpr Bounds<std::int64_t> AcceleratorBounds{0, 1'000'000};
constexpr Bounds<Millicores> CpuBounds{Millicores(0),
                                       Millicores(10'000'000'000)};
constexpr Bounds<Mebibytes> MemoryBounds{Mebibytes(0),
                                         Mebibytes(std::int64_t{1} << 40)};

void readService(ObjectReader &Reader, ServiceTerms &Into) {
  Reader.readName("name", Into.Name_);
  Reader.readDuration("latency_target", Into.LatencyTarget_, RequestTimeBounds);
  Reader.readFraction("objective", Into.Objective_, {0.0, 1.0});
  Reader.readRate("rate", Into.RatePerSecond_, RateBounds);
  Reader.readInteger("concurrency", Into.Concurrency_, ConcurrencyBounds);
  Reader.readDuration("deadline", Into.Deadline_, RequestTimeBounds);
  Reader.readBoolean("idempotent", Into.Idempotent_);
}

void readKind(ObjectReader &Reader, BatchKindTerms &Into) {
  Reader.readName("name", Into.Name_);
  Reader.readBoolean("urgent", Into.Urgent_, Presence::Optional);
  Reader.readInteger("max_attempts", Into.MaxAttempts_,
                     Bounds<std::int32_t>{1, MaxTaskAttempts});
  Reader.readDuration("run_time", Into.DeclaredRunTime_, RunTimeBounds);
}

void readQuota(ObjectReader &Reader, Resources &Into) {
  Reader.readCpu("cpu", Into.Cpu_, CpuBounds);
  Reader.readMemory("memory", Into.Memory_, MemoryBounds);
  std::int64_t Count = 0;
  Reader.readInteger("accelerators", Count, AcceleratorBounds,
                     Presence::Optional);
  Into.Accelerators_ = Accelerators(Count);
}

void readBatch(ObjectReader &Reader, BatchTerms &Into) {
  Reader.readObject("quota", Presence::Required, [&](ObjectReader &Member) {
    readQuota(Member, Into.Quota_);
  });
  Reader.readInteger("max_waiting_tasks", Into.MaxWaitingTasks_, CountBounds);
  Reader.readObjects("kinds", Presence::Required, [&](ObjectReader &Item) {
    readKind(Item, Into.Kinds_.emplace_back());
  });
}

void readContract(ObjectReader &Reader, Contract &Into) {
  Reader.readName("name", Into.Name_);
  Reader.readName("team", Into.Team_);
  Reader.readInteger("weight", Into.Weight_,
                     Bounds<std::int32_t>{1, MaxContractWeight},
                     Presence::Optional);
  Reader.readNames("zones", Into.Zones_, Presence::Optional);
  Reader.readObjects("services", Presence::Optional, [&](ObjectReader &Item) {
    readService(Item, Into.Services_.emplace_back());
  });
  Reader.readObject("batch", Presence::Optional, [&](ObjectReader &Member) {
    readBatch(Member, Into.Batch_.emplace());
  });
  Reader.readObject("watches", Presence::Optional, [&](ObjectReader &Member) {
    WatchTerms &Watches = Into.Watches_.emplace();
    Member.readInteger("max_open", Watches.MaxOpen_, CountBounds);
    Member.readDuration("max_duration", Watches.MaxDuration_, WatchTimeBounds);
  });
}

/// Adds the findings of checkContract(), except for fields that already have a
/// finding because they could not be read.
void checkRules(const Contract &Terms, const std::vector<ZoneName> &KnownZones,
                Findings &Report) {
  Findings Violations;
  checkContract(Terms, KnownZones, Violations);
  Findings ReadErrors = Report;
  for (const Finding &Item : Violations.items())
    if (!config_detail::hasFindingAt(ReadErrors, Item.Place_))
      Report.add(Item.Place_, Item.Problem_, Item.Allowed_);
}

Json writeService(const ServiceTerms &Service) {
  Json Object;
  Object["name"] = Service.Name_.str();
  Object["latency_target"] = formatDuration(Service.LatencyTarget_);
  Object["objective"] = Service.Objective_;
  Object["rate"] = formatRate(Service.RatePerSecond_);
  Object["concurrency"] = Service.Concurrency_;
  Object["deadline"] = formatDuration(Service.Deadline_);
  Object["idempotent"] = Service.Idempotent_;
  return Object;
}

Json writeKind(const BatchKindTerms &Kind) {
  Json Object;
  Object["name"] = Kind.Name_.str();
  Object["urgent"] = Kind.Urgent_;
  Object["max_attempts"] = Kind.MaxAttempts_;
  Object["run_time"] = formatDuration(Kind.DeclaredRunTime_);
  return Object;
}

Json writeBatch(const BatchTerms &Batch) {
  Json Object;
  Object["quota"]["cpu"] = formatCpu(Batch.Quota_.Cpu_);
  Object["quota"]["memory"] = formatMemory(Batch.Quota_.Memory_);
  Object["quota"]["accelerators"] = Batch.Quota_.Accelerators_.count();
  Object["max_waiting_tasks"] = Batch.MaxWaitingTasks_;
  Object["kinds"] = Json::array();
  for (const BatchKindTerms &Kind : Batch.Kinds_)
    Object["kinds"].push_back(writeKind(Kind));
  return Object;
}

} // namespace

ParsedContract parseContract(std::string_view Text,
                             const std::vector<ZoneName> &KnownZones) {
  ParsedContract Parsed;
  Contract Terms;
  config_detail::readDocument(Text, Parsed.Findings_,
                              [&](ObjectReader &Reader) {
                                readContract(Reader, Terms);
                                checkRules(Terms, KnownZones, Parsed.Findings_);
                              });
  if (Parsed.Findings_.empty())
    Parsed.Terms_ = std::move(Terms);
  return Parsed;
}

std::string writeContract(const Contract &Terms) {
  Json Object;
  Object["name"] = Terms.Name_.str();
  Object["team"] = Terms.Team_.str();
  Object["weight"] = Terms.Weight_;
  Object["zones"] = Json::array();
  for (const ZoneName &Zone : Terms.Zones_)
    Object["zones"].push_back(Zone.str());
  Object["services"] = Json::array();
  for (const ServiceTerms &Service : Terms.Services_)
    Object["services"].push_back(writeService(Service));
  if (Terms.Batch_)
    Object["batch"] = writeBatch(*Terms.Batch_);
  if (Terms.Watches_) {
    Object["watches"]["max_open"] = Terms.Watches_->MaxOpen_;
    Object["watches"]["max_duration"] =
        formatDuration(Terms.Watches_->MaxDuration_);
  }
  return Object.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace filbertspring
