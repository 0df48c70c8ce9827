#include "filbertspring/domain/contract.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace filbertspring {
namespace {

/// Adds a finding at \p Place unless \p Holds.
void require(bool Holds, Findings &Report, const std::string &Place,
             std::string_view Problem, std::string_view Allowed) {
  if (!Holds)
    Report.add(Place, Problem, Allowed);
}

void checkService(const ServiceTerms &Service, const std::string &Place,
                  Findings &Report) {
  require(!Service.Name_.empty(), Report, Place + "/name", "name is empty",
          "a name");
  require(Service.LatencyTarget_ > Duration::zero(), Report,
          Place + "/latency_target", "latency target is not above zero",
          "above 0ms");
  require(Service.Objective_ > 0.0 && Service.Objective_ < 1.0, Report,
          Place + "/objective", "objective is out of range",
          "above 0 and below 1, such as 0.99");
  require(Service.RatePerSecond_ >= MinServiceRate, Report, Place + "/rate",
          "rate is too small", fmt::format("at least {}/s", MinServiceRate));
  require(Service.Concurrency_ >= MinServiceConcurrency, Report,
          Place + "/concurrency",
          "concurrency is too small to be divided between entry instances",
          fmt::format("at least {}", MinServiceConcurrency));
  require(Service.Deadline_ >= Service.LatencyTarget_ &&
              Service.Deadline_ <= MaxRequestDeadline,
          Report, Place + "/deadline", "deadline is out of range",
          "from the latency target to 5min");
}

void checkKind(const BatchKindTerms &Kind, const std::string &Place,
               Findings &Report) {
  require(!Kind.Name_.empty(), Report, Place + "/name", "name is empty",
          "a name");
  require(Kind.MaxAttempts_ >= 1 && Kind.MaxAttempts_ <= MaxTaskAttempts,
          Report, Place + "/max_attempts", "max_attempts is out of range",
          fmt::format("1 to {}", MaxTaskAttempts));
  require(Kind.DeclaredRunTime_ > Duration::zero(), Report, Place + "/run_time",
          "run time is not above zero", "above 0s");
}

void checkBatch(const BatchTerms &Batch, Findings &Report) {
  require(Batch.Quota_.isNonNegative(), Report, "/batch/quota",
          "quota is below zero", "0 or more");
  require(Batch.MaxWaitingTasks_ >= 1, Report, "/batch/max_waiting_tasks",
          "max_waiting_tasks is too small", "at least 1");
  std::set<BatchKindName> Names;
  for (std::size_t Index = 0; Index < Batch.Kinds_.size(); ++Index) {
    std::string Place = fmt::format("/batch/kinds/{}", Index);
    checkKind(Batch.Kinds_[Index], Place, Report);
    require(Names.insert(Batch.Kinds_[Index].Name_).second, Report,
            Place + "/name", "name is used twice", "a name of its own");
  }
}

void checkZones(const std::vector<ZoneName> &Zones,
                const std::vector<ZoneName> &KnownZones, Findings &Report) {
  std::set<ZoneName> Names;
  for (std::size_t Index = 0; Index < Zones.size(); ++Index) {
    std::string Place = fmt::format("/zones/{}", Index);
    require(Names.insert(Zones[Index]).second, Report, Place,
            "availability zone is named twice", "each zone once");
    bool Exists =
        KnownZones.empty() ||
        std::ranges::find(KnownZones, Zones[Index]) != KnownZones.end();
    require(Exists, Report, Place,
            fmt::format("availability zone \"{}\" does not exist",
                        Zones[Index].str()),
            "a zone of the platform");
  }
}

} // namespace

const ServiceTerms *Contract::findService(const ServiceName &Service) const {
  auto It = std::ranges::find(Services_, Service, &ServiceTerms::Name_);
  return It == Services_.end() ? nullptr : &*It;
}

const BatchKindTerms *Contract::findKind(const BatchKindName &Kind) const {
  if (!Batch_)
    return nullptr;
  auto It = std::ranges::find(Batch_->Kinds_, Kind, &BatchKindTerms::Name_);
  return It == Batch_->Kinds_.end() ? nullptr : &*It;
}

bool Contract::allowsZone(const ZoneName &Zone) const {
  return Zones_.empty() || std::ranges::find(Zones_, Zone) != Zones_.end();
}

void checkContract(const Contract &Terms,
                   const std::vector<ZoneName> &KnownZones, Findings &Report) {
  require(!Terms.Name_.empty(), Report, "/name", "name is empty", "a name");
  require(!Terms.Team_.empty(), Report, "/team", "team is empty", "a name");
  require(Terms.Weight_ >= 1 && Terms.Weight_ <= MaxContractWeight, Report,
          "/weight", "weight is out of range",
          fmt::format("1 to {}", MaxContractWeight));
  checkZones(Terms.Zones_, KnownZones, Report);
  std::set<ServiceName> Names;
  for (std::size_t Index = 0; Index < Terms.Services_.size(); ++Index) {
    std::string Place = fmt::format("/services/{}", Index);
    checkService(Terms.Services_[Index], Place, Report);
    require(Names.insert(Terms.Services_[Index].Name_).second, Report,
            Place + "/name", "name is used twice", "a name of its own");
  }
  if (Terms.Batch_)
    checkBatch(*Terms.Batch_, Report);
  if (!Terms.Watches_)
    return;
  require(Terms.Watches_->MaxOpen_ >= 1, Report, "/watches/max_open",
          "max_open is too small", "at least 1");
  require(Terms.Watches_->MaxDuration_ > Duration::zero(), Report,
          "/watches/max_duration", "max_duration is not above zero",
          "above 0s");
}

} // namespace filbertspring
