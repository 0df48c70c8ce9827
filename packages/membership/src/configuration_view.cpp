#include "filbertspring/membership/configuration_view.h"

#include <algorithm>
#include <map>

namespace filbertspring::membership {

namespace {

bool isConfigurationRow(const RowKey &Key) {
  return Key.Kind_ == RowKind::Contract || Key.Kind_ == RowKind::Zone;
}

void advance(std::optional<TimePoint> &ConfirmedAt, TimePoint SentAt) {
  if (!ConfirmedAt || *ConfirmedAt < SentAt)
    ConfirmedAt = SentAt;
}

} // namespace

struct ConfigurationView::Impl {
  std::map<RowKey, StoredRow> Rows_;
  std::optional<RowVersion> CompleteTo_;
  /// The confirmation time of all rows.
  std::optional<TimePoint> HeadConfirmedAt_;
  std::map<ZoneName, TimePoint> ZonesConfirmedAt_;

  bool merge(const StoredRow &Row);
  ConfigurationChange mergeAll(const std::vector<StoredRow> &Rows);
  void raiseCompleteTo(RowVersion Version);
  const StoredRow *find(RowKind Kind, const std::string &Name) const;
};

bool ConfigurationView::Impl::merge(const StoredRow &Row) {
  if (!isConfigurationRow(Row.Key_))
    return false;
  auto [Existing, Inserted] = Rows_.try_emplace(Row.Key_, Row);
  if (Inserted)
    return true;
  if (Row.Version_ <= Existing->second.Version_)
    return false;
  Existing->second = Row;
  return true;
}

ConfigurationChange
ConfigurationView::Impl::mergeAll(const std::vector<StoredRow> &Rows) {
  ConfigurationChange Change;
  for (const StoredRow &Row : Rows)
    if (merge(Row))
      Change.ChangedKeys_.push_back(Row.Key_);
  std::ranges::sort(Change.ChangedKeys_);
  return Change;
}

void ConfigurationView::Impl::raiseCompleteTo(RowVersion Version) {
  CompleteTo_ = std::max(CompleteTo_.value_or(AbsentVersion), Version);
}

const StoredRow *ConfigurationView::Impl::find(RowKind Kind,
                                               const std::string &Name) const {
  auto It = Rows_.find({Kind, Name});
  return It == Rows_.end() ? nullptr : &It->second;
}

ConfigurationView::ConfigurationView() : Impl_(std::make_unique<Impl>()) {}
ConfigurationView::~ConfigurationView() = default;
ConfigurationView::ConfigurationView(ConfigurationView &&) noexcept = default;
ConfigurationView &
ConfigurationView::operator=(ConfigurationView &&) noexcept = default;

ConfigurationChange
ConfigurationView::mergeScan(const ConfigurationScan &Scan) {
  ConfigurationChange Change = Impl_->mergeAll(Scan.Rows_);
  // The scan was sent after the head read was answered, so it contains every
  // change up to that head version. Later changes may be missing.
  Impl_->raiseCompleteTo(Scan.Head_);
  advance(Impl_->HeadConfirmedAt_, Scan.HeadSentAt_);
  for (const StoredRow &Row : Scan.Rows_) {
    if (Row.Key_.Kind_ != RowKind::Zone)
      continue;
    TimePoint &ConfirmedAt = Impl_->ZonesConfirmedAt_[ZoneName(Row.Key_.Name_)];
    ConfirmedAt = std::max(ConfirmedAt, Scan.ScanSentAt_);
  }
  return Change;
}

ConfigurationChange
ConfigurationView::mergeDelta(const ConfigurationDelta &Delta) {
  ConfigurationChange Change = Impl_->mergeAll(Delta.Rows_);
  const bool Contiguous = Delta.Since_ == AbsentVersion ||
                          (Impl_->CompleteTo_ && Delta.Since_ <= completeTo());
  if (Contiguous)
    Impl_->raiseCompleteTo(Delta.CompleteTo_);
  return Change;
}

bool ConfigurationView::confirmHead(RowVersion Head, TimePoint SentAt) {
  if (!Impl_->CompleteTo_ || Head > *Impl_->CompleteTo_)
    return false;
  advance(Impl_->HeadConfirmedAt_, SentAt);
  return true;
}

bool ConfigurationView::ready() const { return Impl_->CompleteTo_.has_value(); }

RowVersion ConfigurationView::completeTo() const {
  return Impl_->CompleteTo_.value_or(AbsentVersion);
}

const AvailabilityZone *ConfigurationView::zone(const ZoneName &Name) const {
  const StoredRow *Row = Impl_->find(RowKind::Zone, Name.str());
  return Row ? std::get_if<AvailabilityZone>(&Row->Value_) : nullptr;
}

const Contract *ConfigurationView::contract(const ContractName &Name) const {
  const StoredRow *Row = Impl_->find(RowKind::Contract, Name.str());
  const auto *Record =
      Row ? std::get_if<ContractRecord>(&Row->Value_) : nullptr;
  return Record && !Record->Removed_ ? &Record->Terms_ : nullptr;
}

RowVersion ConfigurationView::versionOf(const RowKey &Key) const {
  const StoredRow *Row = Impl_->find(Key.Kind_, Key.Name_);
  return Row ? Row->Version_ : AbsentVersion;
}

std::vector<AvailabilityZone> ConfigurationView::zones() const {
  std::vector<AvailabilityZone> Zones;
  for (const auto &[Key, Row] : Impl_->Rows_)
    if (const auto *Zone = std::get_if<AvailabilityZone>(&Row.Value_))
      Zones.push_back(*Zone);
  return Zones;
}

std::vector<Contract> ConfigurationView::contracts() const {
  std::vector<Contract> Contracts;
  for (const auto &[Key, Row] : Impl_->Rows_) {
    const auto *Record = std::get_if<ContractRecord>(&Row.Value_);
    if (Record && !Record->Removed_)
      Contracts.push_back(Record->Terms_);
  }
  return Contracts;
}

std::optional<TimePoint>
ConfigurationView::zoneConfirmedAt(const ZoneName &Name) const {
  std::optional<TimePoint> ConfirmedAt = Impl_->HeadConfirmedAt_;
  auto It = Impl_->ZonesConfirmedAt_.find(Name);
  if (It != Impl_->ZonesConfirmedAt_.end())
    advance(ConfirmedAt, It->second);
  return zone(Name) ? ConfirmedAt : std::nullopt;
}

Result<ConfigurationDelta> ConfigurationView::delta(RowVersion Since) const {
  if (!ready())
    return fail(Errc::NotReady);
  ConfigurationDelta Delta{Since, std::max(Since, completeTo()), {}};
  for (const auto &[Key, Row] : Impl_->Rows_)
    if (Row.Version_ > Since)
      Delta.Rows_.push_back(Row);
  return Delta;
}

} // namespace filbertspring::membership
