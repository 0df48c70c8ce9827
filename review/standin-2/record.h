#ifndef REVIEW_STANDIN_RECORD_H
#define REVIEW_STANDIN_RECORD_H

/// \file
/// The record of a scene: what was sent, answered and run, with times.

#include <chrono>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <mutex>
#include <string>

namespace review {

/// Writes lines with the time since its construction. Thread-safe.
class Record {
public:
  explicit Record(const std::string &Path) : File_(Path) {}

  bool isOpen() const { return File_.is_open(); }
  /// Returns the milliseconds since the construction.
  std::int64_t now() const {
    return (std::chrono::steady_clock::now() - Begin_) /
           std::chrono::milliseconds(1);
  }
  void line(const std::string &Text) {
    std::lock_guard<std::mutex> Lock(Mutex_);
    File_ << std::setw(7) << now() << " ms  " << Text << std::endl;
  }

private:
  std::chrono::steady_clock::time_point Begin_ =
      std::chrono::steady_clock::now();
  std::mutex Mutex_;
  std::ofstream File_;
};

} // namespace review

#endif // REVIEW_STANDIN_RECORD_H
