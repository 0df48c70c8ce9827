#include "http_thread_pool.h"

namespace filbertspring {
namespace {

constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);

bool &sheddingFlag() {
  thread_local bool Shedding = false;
  return Shedding;
}

} // namespace

HttpThreadPool::HttpThreadPool(std::size_t Threads, std::size_t MaxWaiting)
    : Tasks_(MaxWaiting) {
  Threads_.reserve(Threads);
  for (std::size_t Index = 0; Index < Threads; ++Index)
    Threads_.emplace_back([this] { run(); });
}

bool HttpThreadPool::shedding() { return sheddingFlag(); }

void HttpThreadPool::enqueue(std::function<void()> Task) {
  ++Waiting_;
  if (Tasks_.tryPush(Task))
    return;
  --Waiting_;
  sheddingFlag() = true;
  Task();
  sheddingFlag() = false;
}

void HttpThreadPool::run() {
  while (true) {
    std::optional<std::function<void()>> Task =
        Tasks_.popFor(StopCheckInterval);
    if (Task) {
      --Waiting_;
      (*Task)();
    } else if (Stopping_) {
      return;
    }
  }
}

void HttpThreadPool::shutdown() {
  Stopping_ = true;
  for (std::thread &Each : Threads_)
    Each.join();
  Threads_.clear();
}

} // namespace filbertspring
