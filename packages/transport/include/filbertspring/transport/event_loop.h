#ifndef FILBERTSPRING_TRANSPORT_EVENT_LOOP_H
#define FILBERTSPRING_TRANSPORT_EVENT_LOOP_H

/// \file
/// A single-threaded event loop for timers, signals and sockets.

#include "filbertspring/base/time.h"
#include "filbertspring/transport/loop_clock.h"

#include <functional>
#include <initializer_list>
#include <memory>

namespace asio {
class io_context;
} // namespace asio

namespace filbertspring {

/// Runs callbacks one after another on the thread that calls run(), so that
/// the duties of an instance share one core. Only stop() is thread-safe.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs until stop() is called.
  void run();
  void stop();
  /// Calls \p Callback once, \p Delay from now.
  void after(Duration Delay, std::function<void()> Callback);
  /// Calls \p Callback once, \p Delay from now, unless the result is destroyed
  /// before.
  [[nodiscard]] std::shared_ptr<void> timer(Duration Delay,
                                            std::function<void()> Callback);
  /// Calls \p Callback with the number of each of \p Signals that arrives.
  void onSignals(std::initializer_list<int> Signals,
                 std::function<void(int)> Callback);

  /// Returns how late the loop is at present: near zero while it keeps up, and
  /// otherwise about the time that an event waits for its callback. Constant
  /// complexity.
  Duration delay() const;
  /// Calls \p Callback at each probe, every LoopClock::ProbeInterval, with the
  /// delay of the probe. Replaces an earlier callback.
  void onProbe(std::function<void(Duration)> Callback);

  /// Deadlines of calls, on a clock that hardly counts the time during which
  /// this loop is late; see LoopClock.
  LoopTime deadlineAfter(Duration Timeout) const;
  bool hasPassed(LoopTime Deadline) const;
  /// Returns the time after which to look at \p Deadline, which has not passed,
  /// again.
  Duration timeLeft(LoopTime Deadline) const;

  /// Returns the underlying context, for transports that run on this loop.
  asio::io_context &context();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_TRANSPORT_EVENT_LOOP_H
