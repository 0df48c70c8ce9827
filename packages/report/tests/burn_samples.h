#ifndef FILBERTSPRING_REPORT_TESTS_BURN_SAMPLES_H
#define FILBERTSPRING_REPORT_TESTS_BURN_SAMPLES_H

/// \file
/// Sample requests and a sample contract for the tests of the report package.

#include "filbertspring/domain/burn.h"
#include "filbertspring/domain/contract.h"
#include "filbertspring/report/burn_counter.h"

#include <string>

namespace filbertspring {

/// 2026-12-04 00:00 UTC, in hours and in minutes since the Unix epoch.
inline constexpr std::int64_t SampleHour = 498'984;
inline constexpr std::int64_t SampleMinute = SampleHour * 60;

inline Contract sampleContract() {
  Contract Terms;
  Terms.Name_ = ContractName("denizkul");
  Terms.Team_ = TeamName("denizkul");
  Terms.Services_ = {{ServiceName("booking-check"),
                      std::chrono::milliseconds(250), 0.99, 400, 300,
                      std::chrono::seconds(2), true}};
  return Terms;
}

inline BurnSample goodSample(const std::string &Zone = "bodrum") {
  return {ContractName("denizkul"), ServiceName("booking-check"),
          ZoneName(Zone), std::nullopt};
}

inline BurnSample badSample(BurnCause Cause,
                            const std::string &Zone = "bodrum") {
  BurnSample Sample = goodSample(Zone);
  Sample.Cause_ = Cause;
  return Sample;
}

/// Counts \p Good good requests, and \p Bad bad requests with \p Cause, in
/// \p Minute.
inline void countSamples(BurnCounter &Counter, std::int64_t Minute, int Good,
                         int Bad, BurnCause Cause = BurnCause::Slow) {
  for (int Index = 0; Index < Good; ++Index)
    Counter.count(goodSample(), Minute);
  for (int Index = 0; Index < Bad; ++Index)
    Counter.count(badSample(Cause), Minute);
}

/// Returns the last millisecond of \p Minute.
inline std::int64_t lastMillisecondOf(std::int64_t Minute) {
  return (Minute + 1) * 60'000 - 1;
}

} // namespace filbertspring

#endif // FILBERTSPRING_REPORT_TESTS_BURN_SAMPLES_H
