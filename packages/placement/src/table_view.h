#ifndef FILBERTSPRING_PLACEMENT_TABLE_VIEW_H
#define FILBERTSPRING_PLACEMENT_TABLE_VIEW_H

/// \file
/// Cached contracts, availability zones and quota ledgers.

#include "filbertspring/domain/store.h"

#include <map>

namespace filbertspring::placement {

/// A row's value and version.
template <typename Value> struct Versioned {
  Value Value_{};
  RowVersion Version_ = AbsentVersion;
};

template <typename Name, typename Value>
using VersionedRows = std::map<Name, Versioned<Value>>;

/// Stores \p Incoming when its version is higher than the one held; returns
/// whether it was stored.
template <typename Name, typename Value>
bool storeIfNewer(VersionedRows<Name, Value> &Rows, const Name &Key,
                  const Value &Incoming, RowVersion Version) {
  Versioned<Value> &Entry = Rows[Key];
  if (Version <= Entry.Version_)
    return false;
  Entry = {Incoming, Version};
  return true;
}

/// Returns the row of \p Key, or null. \p Rows owns it.
template <typename Name, typename Value>
const Versioned<Value> *findRow(const VersionedRows<Name, Value> &Rows,
                                const Name &Key) {
  auto It = Rows.find(Key);
  return It == Rows.end() ? nullptr : &It->second;
}

/// The highest version of each row that was read.
struct TableView {
  VersionedRows<ContractName, ContractRecord> Contracts_;
  VersionedRows<ZoneName, AvailabilityZone> Zones_;
  /// Ledgers that were read and do not exist are held with AbsentVersion.
  VersionedRows<ContractName, QuotaLedgerRecord> Ledgers_;
  /// Set once a scan of the zones has completed.
  bool ZonesComplete_ = false;
};

} // namespace filbertspring::placement

#endif // FILBERTSPRING_PLACEMENT_TABLE_VIEW_H
