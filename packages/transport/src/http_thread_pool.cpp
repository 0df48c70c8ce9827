#include "http_thread_pool.h"

namespace filbertspring {
namespace {

bool &sheddingFlag() {
  thread_local bool Shedding = false;
  return Shedding;
}

} // namespace

HttpThreadPool::HttpThreadPool(std::size_t Threads, std::size_t MaxQueued)
    : Tasks_(MaxQueued) {
  Threads_.reserve(Threads);
  for (std::size_t Index = 0; Index < Threads; ++Index)
    Threads_.emplace_back([this] { run(); });
}

bool HttpThreadPool::isShedding() { return sheddingFlag(); }

void HttpThreadPool::enqueue(std::function<void()> Task) {
  ++QueuedTasks_;
  if (Tasks_.tryPush(Task))
    return;
  --QueuedTasks_;
  sheddingFlag() = true;
  Task();
  sheddingFlag() = false;
}

void HttpThreadPool::run() {
  while (std::optional<std::function<void()>> Task = Tasks_.pop()) {
    --QueuedTasks_;
    (*Task)();
  }
}

void HttpThreadPool::shutdown() {
  Tasks_.close();
  for (std::thread &PoolThread : Threads_)
    PoolThread.join();
  Threads_.clear();
}

} // namespace filbertspring
