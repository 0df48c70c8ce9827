#include "load.h"

#include "filbertspring/transport/http_exchange.h"

#include <fmt/format.h>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

namespace filbertspring::caller {
namespace {

/// Generates Poisson send times; shared by the threads of all callers.
class ArrivalSchedule {
public:
  explicit ArrivalSchedule(const LoadOptions &Options)
      : InterarrivalTime_(Options.RatePerSecond_), Random_(Options.Seed_),
        Next_(SchedulerClock::now()),
        End_(Next_ + std::chrono::seconds(Options.Seconds_)) {}

  struct Arrival {
    std::uint64_t Number_ = 0;
    TimePoint SendTime_;
  };

  std::optional<Arrival> next() {
    std::scoped_lock Lock(Mutex_);
    std::chrono::duration<double> Gap(InterarrivalTime_(Random_));
    Next_ += std::chrono::duration_cast<Duration>(Gap);
    if (Next_ >= End_)
      return std::nullopt;
    return Arrival{++Count_, Next_};
  }

private:
  std::mutex Mutex_;
  std::exponential_distribution<double> InterarrivalTime_;
  std::mt19937_64 Random_;
  TimePoint Next_;
  TimePoint End_;
  std::uint64_t Count_ = 0;
};

HttpRequest makeRequest(const LoadOptions &Options, const std::string &Id) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ =
      fmt::format("/v1/requests/{}/{}", Options.Contract_, Options.Service_);
  Request.Headers_ = {{"x-request-id", Id},
                      {"x-deadline-ms", std::to_string(Options.DeadlineMs_)},
                      {"x-idempotent", Options.Idempotent_ ? "true" : "false"},
                      {"x-idempotency-key", Id},
                      {"content-type", "application/octet-stream"}};
  Request.Body_ = "check " + Id;
  return Request;
}

void record(const std::string &Id, const ExchangeResult &Exchange,
            Duration Elapsed, LoadResult &Result) {
  ++Result.Sent_;
  if (Exchange.Outcome_ == ExchangeOutcome::RequestIdMismatch)
    ++Result.MismatchedAnswers_;
  if (Exchange.Outcome_ != ExchangeOutcome::Answered) {
    ++Result.Outcomes_["lost"];
    ++Result.Reasons_[std::string(
        nameOf(ExchangeOutcomeNames, Exchange.Outcome_))];
    return;
  }
  const HttpAnswer &Answer = Exchange.Answer_;
  std::string Outcome(Answer.header("x-outcome"));
  ++Result.Outcomes_[Outcome];
  if (Outcome != "completed")
    ++Result.Reasons_[std::string(Answer.header("x-reason"))];
  if (Outcome == "not-run")
    Result.NotRun_.push_back(Id);
  if (Outcome != "completed")
    return;
  ++Result.Zones_[std::string(Answer.header("x-zone"))];
  if (Answer.Body_.find(Id) == std::string::npos)
    ++Result.MismatchedAnswers_;
  Result.Latency_.add(Elapsed);
}

void runCaller(const LoadOptions &Options, ArrivalSchedule &Arrivals,
               ExchangePool &Pool, LoadResult &Result) {
  // Callers wait longer than the deadline that they send.
  constexpr Duration AnswerGrace = std::chrono::seconds(4);
  Duration Timeout =
      std::chrono::milliseconds(Options.DeadlineMs_) + AnswerGrace;
  while (std::optional<ArrivalSchedule::Arrival> Arrival = Arrivals.next()) {
    std::this_thread::sleep_for(Arrival->SendTime_ - SchedulerClock::now());
    std::string Id = fmt::format("{}-{}", Options.Prefix_, Arrival->Number_);
    const Address &Entry =
        Options.Entries_[Arrival->Number_ % Options.Entries_.size()];
    ExchangeResult Exchange = Pool.exchange(Entry, makeRequest(Options, Id),
                                            {RequestId(Id), Timeout, false});
    record(Id, Exchange, SchedulerClock::now() - Arrival->SendTime_, Result);
  }
}

} // namespace

void LoadResult::merge(const LoadResult &Other) {
  Sent_ += Other.Sent_;
  MismatchedAnswers_ += Other.MismatchedAnswers_;
  for (const auto &[Name, Count] : Other.Outcomes_)
    Outcomes_[Name] += Count;
  for (const auto &[Name, Count] : Other.Reasons_)
    Reasons_[Name] += Count;
  for (const auto &[Name, Count] : Other.Zones_)
    Zones_[Name] += Count;
  Latency_.merge(Other.Latency_);
  NotRun_.insert(NotRun_.end(), Other.NotRun_.begin(), Other.NotRun_.end());
}

LoadResult runLoad(const LoadOptions &Options) {
  ArrivalSchedule Arrivals(Options);
  ExchangePool Pool(static_cast<std::size_t>(Options.Callers_),
                    std::chrono::seconds(3));
  std::vector<LoadResult> Results(static_cast<std::size_t>(Options.Callers_));
  std::vector<std::thread> Callers;
  Callers.reserve(Results.size());
  for (LoadResult &Each : Results)
    Callers.emplace_back([&] { runCaller(Options, Arrivals, Pool, Each); });
  for (std::thread &Each : Callers)
    Each.join();
  LoadResult Sum;
  for (const LoadResult &Each : Results)
    Sum.merge(Each);
  return Sum;
}

} // namespace filbertspring::caller
