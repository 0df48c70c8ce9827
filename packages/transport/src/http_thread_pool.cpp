#include "http_thread_pool.h"

namespace filbertspring {
namespace {

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
  while (std::optional<std::function<void()>> Task = Tasks_.pop()) {
    --Waiting_;
    (*Task)();
  }
}

void HttpThreadPool::shutdown() {
  Tasks_.close();
  for (std::thread &Each : Threads_)
    Each.join();
  Threads_.clear();
}

} // namespace filbertspring
