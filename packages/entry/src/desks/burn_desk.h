#ifndef FILBERTSPRING_ENTRY_DESKS_BURN_DESK_H
#define FILBERTSPRING_ENTRY_DESKS_BURN_DESK_H

/// \file
/// The thread that stores the counts of the report on service-level burn.

#include "table_desk.h"

#include "filbertspring/config/settings.h"
#include "filbertspring/report/burn_counter.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace filbertspring {

/// Counts ended requests and stores the counts every few seconds, so that they
/// survive this instance.
class BurnDesk {
public:
  BurnDesk(const Settings &Values, TableDesk &Table);
  ~BurnDesk();
  BurnDesk(const BurnDesk &) = delete;
  BurnDesk &operator=(const BurnDesk &) = delete;

  /// Counts one request that ended now. Thread-safe.
  void count(const BurnSample &Sample);
  /// Stores the latest counts and joins the thread.
  void stop();

private:
  void run();
  void flush();
  /// Stores one hour; adds what an earlier process stored for it first.
  void store(const BurnHourRecord &Record);
  bool adoptStored(std::int64_t Hour);
  void deleteOldRows();
  RowKey keyOf(std::int64_t Hour) const;

  const InstanceName Instance_;
  TableDesk &Table_;
  std::mutex Mutex_;
  BurnCounter Counter_;
  /// The version of each hour's row, once it is known.
  std::map<std::int64_t, RowVersion> Versions_;
  std::int64_t CleanedHour_ = 0;
  std::atomic<bool> Stopping_{false};
  std::thread Thread_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_DESKS_BURN_DESK_H
