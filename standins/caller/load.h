#ifndef FILBERTSPRING_STANDINS_CALLER_LOAD_H
#define FILBERTSPRING_STANDINS_CALLER_LOAD_H

/// \file
/// Generates open-loop load on entry instances.

#include "filbertspring/base/histogram.h"
#include "filbertspring/domain/endpoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace filbertspring::caller {

/// Settings of a load run.
struct LoadOptions {
  std::vector<Address> Entries_;
  std::string Contract_;
  std::string Service_;
  double RatePerSecond_ = 50.0;
  int Seconds_ = 5;
  int Callers_ = 32;
  int DeadlineMs_ = 2000;
  bool Idempotent_ = true;
  std::uint64_t Seed_ = 1;
  /// Prefix of the request identifiers, which separates this run from others.
  std::string Prefix_ = "c";
};

/// Results of a load run.
struct LoadResult {
  std::uint64_t Sent_ = 0;
  /// Answers by outcome; "lost" when the entry instance sent no complete
  /// answer.
  std::map<std::string, std::uint64_t> Outcomes_;
  std::map<std::string, std::uint64_t> Reasons_;
  std::map<std::string, std::uint64_t> Zones_;
  /// Answers whose identifier or body belongs to another request.
  std::uint64_t MismatchedAnswers_ = 0;
  /// Completed requests, counted from the intended send time.
  Histogram Latency_;
  /// Identifiers of the requests that were answered "not run".
  std::vector<std::string> NotRun_;

  void merge(const LoadResult &Other);
};

/// Sends requests at Poisson times, each from the first free caller.
LoadResult runLoad(const LoadOptions &Options);

} // namespace filbertspring::caller

#endif // FILBERTSPRING_STANDINS_CALLER_LOAD_H
