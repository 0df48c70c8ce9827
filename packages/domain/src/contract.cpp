#include "filbertspring/domain/contract.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace filbertspring {
namespace {

/// Adds a finding at \p Place unless \p Holds.
void require(bool Holds, Findings &Found, const std::string &Place,
             std::string_view Problem, std::string_view Allowed) {
  if (!Holds)
    Found.add(Place, Problem, Allowed);
}

void checkService(const ServiceTerms &Service, const std::string &Place,
                  Findings &Found) {
  require(!Service.Name_.empty(), Found, Place + "/name", "name is empty",
          "a name");
  require(Service.LatencyTarget_ > Duration::zero(), Found,
          Place + "/latency_target", "latency target is not above zero",
          "above 0ms");
  require(Service.Objective_ > 0.0 && Service.Objective_ < 1.0, Found,
          Place + "/objective", "objective is out of range",
          "above 0 and below 1, such as 0.99");
  require(Service.RatePerSecond_ >= MinServiceRate, Found, Place + "/rate",
          "rate is too small", fmt::format("at least {}/s", MinServiceRate));
  require(Service.Concurrency_ >= MinServiceConcurrency, Found,
          Place + "/concurrency",
          "concurrency is too small to be divided between entry instances",
          fmt::format("at least {}", MinServiceConcurrency));
  require(Service.Deadline_ >= Service.LatencyTarget_ &&
              Service.Deadline_ <= MaxRequestDeadline,
          Found, Place + "/deadline", "deadline is out of range",
          "from the latency target to 5min");
}

void checkKind(const BatchKindTerms &Kind, const std::string &Place,
               Findings &Found) {
  require(!Kind.Name_.empty(), Found, Place + "/name", "name is empty",
          "a name");
  require(Kind.MaxAttempts_ >= 1 && Kind.MaxAttempts_ <= MaxTaskAttempts, Found,
          Place + "/max_attempts", "max_attempts is out of range",
          fmt::format("1 to {}", MaxTaskAttempts));
  require(Kind.DeclaredRunTime_ > Duration::zero(), Found, Place + "/run_time",
          "run time is not above zero", "above 0s");
}

void checkBatch(const BatchTerms &Batch, Findings &Found) {
  require(Batch.Quota_.isNonNegative(), Found, "/batch/quota",
          "quota is below zero", "0 or more");
  require(Batch.MaxWaitingTasks_ >= 1, Found, "/batch/max_waiting_tasks",
          "max_waiting_tasks is too small", "at least 1");
  std::set<BatchKindName> Names;
  for (std::size_t Index = 0; Index < Batch.Kinds_.size(); ++Index) {
    std::string Place = fmt::format("/batch/kinds/{}", Index);
    checkKind(Batch.Kinds_[Index], Place, Found);
    require(Names.insert(Batch.Kinds_[Index].Name_).second, Found,
            Place + "/name", "name is used twice", "a name of its own");
  }
}

void checkZones(const std::vector<ZoneName> &Zones,
                const std::vector<ZoneName> &KnownZones, Findings &Found) {
  std::set<ZoneName> Names;
  for (std::size_t Index = 0; Index < Zones.size(); ++Index) {
    std::string Place = fmt::format("/zones/{}", Index);
    require(Names.insert(Zones[Index]).second, Found, Place,
            "availability zone is named twice", "each zone once");
    bool Known =
        KnownZones.empty() ||
        std::ranges::find(KnownZones, Zones[Index]) != KnownZones.end();
    require(Known, Found, Place,
            fmt::format("availability zone \"{}\" does not exist",
                        Zones[Index].str()),
            "a zone of the platform");
  }
}

} // namespace

const ServiceTerms *Contract::findService(const ServiceName &Service) const {
  auto Found = std::ranges::find(Services_, Service, &ServiceTerms::Name_);
  return Found == Services_.end() ? nullptr : &*Found;
}

const BatchKindTerms *Contract::findKind(const BatchKindName &Kind) const {
  if (!Batch_)
    return nullptr;
  auto Found = std::ranges::find(Batch_->Kinds_, Kind, &BatchKindTerms::Name_);
  return Found == Batch_->Kinds_.end() ? nullptr : &*Found;
}

bool Contract::allowsZone(const ZoneName &Zone) const {
  return Zones_.empty() || std::ranges::find(Zones_, Zone) != Zones_.end();
}

void checkContract(const Contract &Terms,
                   const std::vector<ZoneName> &KnownZones, Findings &Found) {
  require(!Terms.Name_.empty(), Found, "/name", "name is empty", "a name");
  require(!Terms.Team_.empty(), Found, "/team", "team is empty", "a name");
  require(Terms.Weight_ >= 1 && Terms.Weight_ <= MaxContractWeight, Found,
          "/weight", "weight is out of range",
          fmt::format("1 to {}", MaxContractWeight));
  checkZones(Terms.Zones_, KnownZones, Found);
  std::set<ServiceName> Names;
  for (std::size_t Index = 0; Index < Terms.Services_.size(); ++Index) {
    std::string Place = fmt::format("/services/{}", Index);
    checkService(Terms.Services_[Index], Place, Found);
    require(Names.insert(Terms.Services_[Index].Name_).second, Found,
            Place + "/name", "name is used twice", "a name of its own");
  }
  if (Terms.Batch_)
    checkBatch(*Terms.Batch_, Found);
  if (!Terms.Watches_)
    return;
  require(Terms.Watches_->MaxOpen_ >= 1, Found, "/watches/max_open",
          "max_open is too small", "at least 1");
  require(Terms.Watches_->MaxDuration_ > Duration::zero(), Found,
          "/watches/max_duration", "max_duration is not above zero",
          "above 0s");
}

} // namespace filbertspring
