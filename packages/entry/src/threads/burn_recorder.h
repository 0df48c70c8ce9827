#ifndef FILBERTSPRING_ENTRY_THREADS_BURN_RECORDER_H
#define FILBERTSPRING_ENTRY_THREADS_BURN_RECORDER_H

/// \file
/// The thread that stores the request counts of the error budget (burn) report.

#include "table_client_pool.h"

#include "filbertspring/config/settings.h"
#include "filbertspring/report/burn_counter.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace filbertspring {

/// Counts ended requests and stores the counts in the table every few seconds,
/// so that they survive a restart of this instance.
class BurnRecorder {
public:
  BurnRecorder(const Settings &Values, TableClientPool &Table);
  ~BurnRecorder();
  BurnRecorder(const BurnRecorder &) = delete;
  BurnRecorder &operator=(const BurnRecorder &) = delete;

  /// Counts one request that has just ended. Thread-safe.
  void count(const BurnSample &Sample);
  /// Stores the latest counts and joins the thread.
  void stop();

private:
  void run();
  void flush();
  /// Stores the counts of one hour. Before the first write of an hour, loads
  /// the counts that an earlier process stored for it and adds them.
  void store(const BurnHourRecord &Record);
  bool loadStored(std::int64_t Hour);
  void deleteOldRows();
  RowKey rowKeyOf(std::int64_t Hour) const;

  const InstanceName Instance_;
  TableClientPool &Table_;
  std::mutex Mutex_;
  BurnCounter Counter_;
  /// The stored version of each hour's row, once it has been read.
  std::map<std::int64_t, RowVersion> Versions_;
  std::int64_t LastCleanupHour_ = 0;
  std::atomic<bool> Stopping_{false};
  std::thread Thread_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_ENTRY_THREADS_BURN_RECORDER_H
