#ifndef FILBERTSPRING_BASE_RING_H
#define FILBERTSPRING_BASE_RING_H

/// \file
/// A bounded queue that connects threads.

#include "filbertspring/base/time.h"

#include <boost/lockfree/queue.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <semaphore>
#include <utility>

namespace filbertspring {

/// A bounded multi-producer, multi-consumer queue. Pushing to a full ring
/// fails; writers never block.
template <typename T> class Ring {
public:
  /// Creates a ring for at most \p Capacity values (1 to 65533).
  explicit Ring(std::size_t Capacity) : Queue_(Capacity) {}

  ~Ring() {
    while (tryPop())
      ;
  }
  Ring(const Ring &) = delete;
  Ring &operator=(const Ring &) = delete;

  /// Stores \p Value and returns true; returns false when the ring is full or
  /// closed.
  bool tryPush(T Value) {
    if (Closed_)
      return false;
    auto Item = std::make_unique<T>(std::move(Value));
    if (!Queue_.bounded_push(Item.get()))
      return false;
    (void)Item.release(); // The queue owns it from here on.
    Ready_.release();
    return true;
  }

  /// Returns the oldest value, or std::nullopt when the ring is empty.
  std::optional<T> tryPop() {
    if (!Ready_.try_acquire())
      return std::nullopt;
    return take();
  }

  /// Returns the oldest value, blocking until there is one. Returns
  /// std::nullopt once the ring is closed and empty.
  std::optional<T> pop() {
    Ready_.acquire();
    return take();
  }

  /// Returns the oldest value, blocking for at most \p Limit. Returns
  /// std::nullopt when there is none by then.
  std::optional<T> popFor(Duration Limit) {
    if (!Ready_.try_acquire_for(Limit))
      return std::nullopt;
    return take();
  }

  /// Rejects all further values and wakes all blocked readers.
  void close() {
    Closed_ = true;
    Ready_.release();
  }

private:
  std::optional<T> take() {
    T *Raw = nullptr;
    while (!Queue_.pop(Raw)) {
      // The push that released this permit may still be in progress, unless the
      // permit came from close(); that permit is passed on to the next reader.
      if (Closed_ && Queue_.empty()) {
        Ready_.release();
        return std::nullopt;
      }
    }
    std::unique_ptr<T> Item(Raw);
    return std::move(*Item);
  }

  boost::lockfree::queue<T *, boost::lockfree::fixed_sized<true>> Queue_;
  std::counting_semaphore<> Ready_{0};
  std::atomic<bool> Closed_{false};
};

} // namespace filbertspring

#endif // FILBERTSPRING_BASE_RING_H
