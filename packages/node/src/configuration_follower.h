#ifndef FILBERTSPRING_NODE_CONFIGURATION_FOLLOWER_H
#define FILBERTSPRING_NODE_CONFIGURATION_FOLLOWER_H

/// \file
/// Follows the rows by which operators configure the scheduler.

#include "filbertspring/scheduling/queue_table.h"
#include "store_client.h"
#include "unreadable_rows.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace filbertspring::node {

/// Reports each newer configuration and each change of the availability zones
/// that are out of service. A lower version is never reported.
class ConfigurationFollower {
public:
  using QueuesCallback =
      std::function<void(std::shared_ptr<const scheduling::QueueTable>)>;
  using ZonesCallback = std::function<void(std::set<std::string>)>;

  /// Receives a time at which the last reported configuration was the newest.
  using ConfirmationCallback = std::function<void(TimePoint)>;

  ConfigurationFollower(EventLoop &Loop, StoreClient &Store,
                        QueuesCallback QueuesChanged,
                        ZonesCallback ZonesChanged,
                        ConfirmationCallback Confirmed);
  void start();
  /// Returns whether a configuration has been read.
  bool isConfigured() const { return Version_ != 0; }

private:
  void readAll();
  void followChanges(std::uint64_t After);
  void confirm(TimePoint Time);
  /// Returns how long the store may hold the next call open.
  Duration feedWait() const;
  void handleRow(const scheduling::Row &StoredRow);

  EventLoop &Loop_;
  StoreClient &Store_;
  QueuesCallback QueuesChanged_;
  ZonesCallback ZonesChanged_;
  ConfirmationCallback Confirmed_;
  std::uint64_t Version_ = 0;
  /// The configuration has workspaces.
  bool RequiresKeys_ = false;
  TimePoint ConfirmedAt_{};
  std::set<std::string> ClosedZones_;
  UnreadableRows UnreadableRows_;
};

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_CONFIGURATION_FOLLOWER_H
