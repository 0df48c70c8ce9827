#ifndef FILBERTSPRING_TRANSPORT_CLIENT_BUDGET_H
#define FILBERTSPRING_TRANSPORT_CLIENT_BUDGET_H

/// \file
/// Memory that a process grants to its clients.

#include "filbertspring/transport/connection_choice.h"

#include <deque>
#include <functional>
#include <limits>
#include <unordered_set>

namespace filbertspring {

/// Bounds the memory for what clients have sent and for the responses that wait
/// for them, over all connections of all servers that share it. Sets how long
/// connections may hold it. Not thread-safe.
class ClientBudget {
public:
  /// What one connection holds. Owned by the connection, which must remove it
  /// before its destruction.
  struct Entry {
    ConnectionPhase Phase_ = ConnectionPhase::Idle;
    std::size_t Bytes_ = 0;
    /// When the phase began, on the clock of the budget.
    Duration Since_{};
    /// Whether the connection waits for memory.
    bool IsWaiting_ = false;
    /// Frees the memory of the connection, by refusing its request.
    std::function<void()> Shed_;
    /// Continues a connection that waited.
    std::function<void()> Resume_;
  };

  /// Connections that hold no more than this do not wait for memory, so that
  /// ordinary requests are served beside large ones.
  static constexpr std::size_t SmallRequestBytes = 16U << 10U;
  /// How often the servers call check().
  static constexpr Duration CheckInterval = std::chrono::milliseconds(250);

  explicit ClientBudget(
      std::size_t Capacity = std::numeric_limits<std::size_t>::max());

  void add(Entry &Connection);
  /// Returns the memory of \p Connection.
  void remove(Entry &Connection);
  /// Sets what \p Connection holds.
  void charge(Entry &Connection, std::size_t Bytes);
  void enterPhase(Entry &Connection, ConnectionPhase Phase);
  /// Returns whether \p Connection may take \p More bytes. A connection is
  /// always admitted while no other holds any, so that each legal request is
  /// served.
  bool admits(const Entry &Connection, std::size_t More) const;
  /// Calls Entry::Resume_ once memory is available; the first that waits is the
  /// first to continue.
  void wait(Entry &Connection);
  void stopWaiting(Entry &Connection);
  /// Continues connections that wait while there is memory for them.
  void resumeWaiting();
  /// Advances the clock, and closes connections if others wait for memory or
  /// too much is held.
  void check(TimePoint Now);

  std::size_t used() const { return Used_; }
  std::size_t capacity() const { return Capacity_; }
  /// The time during which the process could serve its clients: the time
  /// between two checks counts as at most twice their interval, since requests
  /// that arrive while the process is suspended or late cannot be read.
  Duration now() const { return Now_; }
  Duration age(const Entry &Connection) const {
    return Now_ - Connection.Since_;
  }

private:
  void shed(std::size_t BytesToFree);

  std::size_t Capacity_;
  std::size_t Used_ = 0;
  Duration Now_{};
  TimePoint CheckedAt_{};
  std::unordered_set<Entry *> Entries_;
  std::deque<Entry *> Waiting_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_CLIENT_BUDGET_H
