#include "filbertspring/transport/event_loop.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

namespace filbertspring {

struct EventLoop::Impl {
  // Only one thread runs the context; the hint 1 avoids needless
  // synchronization.
  asio::io_context Context_{1};
  std::unique_ptr<asio::signal_set> Signals_;
  asio::steady_timer Probe_{Context_};
  LoopClock Clock_{SchedulerClock::now()};
  std::function<void(Duration)> Probed_;

  void scheduleProbe() {
    Probe_.expires_after(LoopClock::ProbeInterval);
    Probe_.async_wait([this](const std::error_code &Error) {
      if (Error)
        return;
      Duration Delay = Clock_.probed(SchedulerClock::now());
      scheduleProbe();
      if (Probed_)
        Probed_(Delay);
    });
  }

  void waitForSignal(std::function<void(int)> Callback) {
    Signals_->async_wait([this, Callback = std::move(Callback)](
                             const std::error_code &Error, int Signal) mutable {
      if (Error)
        return;
      Callback(Signal);
      waitForSignal(std::move(Callback));
    });
  }
};

EventLoop::EventLoop() : Impl_(std::make_unique<Impl>()) {}
EventLoop::~EventLoop() = default;

asio::io_context &EventLoop::context() { return Impl_->Context_; }

void EventLoop::run() {
  auto Work = asio::make_work_guard(Impl_->Context_);
  Impl_->Clock_.started(SchedulerClock::now());
  Impl_->scheduleProbe();
  Impl_->Context_.run();
}

Duration EventLoop::delay() const {
  return Impl_->Clock_.delay(SchedulerClock::now());
}

void EventLoop::onProbe(std::function<void(Duration)> Callback) {
  Impl_->Probed_ = std::move(Callback);
}

LoopTime EventLoop::deadlineAfter(Duration Timeout) const {
  return Impl_->Clock_.deadlineAfter(Timeout, SchedulerClock::now());
}

bool EventLoop::hasPassed(LoopTime Deadline) const {
  return Impl_->Clock_.hasPassed(Deadline);
}

Duration EventLoop::timeLeft(LoopTime Deadline) const {
  return std::max(Impl_->Clock_.timeLeft(Deadline), LoopClock::ProbeInterval);
}

void EventLoop::stop() { Impl_->Context_.stop(); }

void EventLoop::after(Duration Delay, std::function<void()> Callback) {
  auto Timer = std::make_shared<asio::steady_timer>(Impl_->Context_, Delay);
  Timer->async_wait(
      [Timer, Callback = std::move(Callback)](const std::error_code &Error) {
        if (!Error)
          Callback();
      });
}

std::shared_ptr<void> EventLoop::timer(Duration Delay,
                                       std::function<void()> Callback) {
  auto Timer = std::make_shared<asio::steady_timer>(Impl_->Context_, Delay);
  Timer->async_wait(
      [Callback = std::move(Callback)](const std::error_code &Error) {
        if (!Error)
          Callback();
      });
  return Timer;
}

void EventLoop::onSignals(std::initializer_list<int> Signals,
                          std::function<void(int)> Callback) {
  Impl_->Signals_ = std::make_unique<asio::signal_set>(Impl_->Context_);
  for (int Signal : Signals)
    Impl_->Signals_->add(Signal);
  Impl_->waitForSignal(std::move(Callback));
}

} // namespace filbertspring
