#ifndef FILBERTSPRING_STANDINS_RUN_LOG_H
#define FILBERTSPRING_STANDINS_RUN_LOG_H

/// \file
/// Counts how often each request ran.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace filbertspring {

/// Counts the runs of the latest requests, up to MaxRequests of them.
class RunLog {
public:
  static constexpr std::size_t MaxRequests = 100000;

  void add(const std::string &Request) {
    if (++Counts_[Request] > 1)
      return;
    Order_.push_back(Request);
    if (Order_.size() <= MaxRequests)
      return;
    Counts_.erase(Order_.front());
    Order_.pop_front();
  }

  const std::map<std::string, std::int64_t> &counts() const { return Counts_; }

private:
  std::map<std::string, std::int64_t> Counts_;
  std::deque<std::string> Order_;
};

} // namespace filbertspring

#endif // FILBERTSPRING_STANDINS_RUN_LOG_H
