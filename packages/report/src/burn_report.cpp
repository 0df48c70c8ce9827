#include "filbertspring/report/burn_report.h"

#include "burn_minute_map.h"

#include <algorithm>
#include <map>
#include <utility>

namespace filbertspring {

using report_detail::totalBadRequests;

namespace {

constexpr std::size_t DayIndex = static_cast<std::size_t>(BurnWindow::Day);
constexpr std::int64_t DayMinutes = BurnWindowMinutes[DayIndex];

/// The window of the shortest timeline.
constexpr std::size_t ShortestTimelineWindow =
    static_cast<std::size_t>(BurnWindow::HalfHour);
/// Minutes per step of a timeline that covers a window, in the order of
/// BurnWindow.
constexpr std::array<std::int64_t, BurnWindowCount> TimelineStepMinutes{1, 1, 1,
                                                                        5, 15};

using ServiceKey = std::pair<ContractName, ServiceName>;

/// Calls \p Visit with the age of each observed minute of \p Record in the last
/// 24 h. The age is in minutes; the current minute has age 0.
template <typename Visitor>
void forEachObservedMinute(const BurnHourRecord &Record, std::int64_t NowMinute,
                           Visitor Visit) {
  std::int64_t FirstMinute = Record.Hour_ * report_detail::MinutesPerHour;
  for (std::int64_t Bit = 0; Bit < report_detail::MinutesPerHour; ++Bit) {
    std::int64_t Age = NowMinute - (FirstMinute + Bit);
    bool Observed = (Record.ObservedMinutes_ >> Bit) & 1;
    if (Observed && Age >= 0 && Age < DayMinutes)
      Visit(static_cast<std::size_t>(Age));
  }
}

/// Returns the number of instances that observed each minute of the last 24 h,
/// indexed by the age of the minute.
std::vector<std::int64_t>
countObservers(const std::vector<BurnHourRecord> &Records,
               std::int64_t NowMinute) {
  std::vector<std::int64_t> Observers(DayMinutes);
  for (const BurnHourRecord &Record : Records)
    forEachObservedMinute(Record, NowMinute,
                          [&](std::size_t Age) { ++Observers[Age]; });
  return Observers;
}

WindowCoverage computeCoverage(const std::vector<std::int64_t> &Observers,
                               std::int64_t Minutes) {
  auto Begin = Observers.begin();
  auto End = Begin + Minutes;
  WindowCoverage Coverage;
  Coverage.Minutes_ = Minutes;
  Coverage.Instances_ = *std::max_element(Begin, End);
  Coverage.UnobservedMinutes_ = std::count(Begin, End, 0);
  Coverage.PartialMinutes_ =
      Minutes - Coverage.UnobservedMinutes_ -
      (Coverage.Instances_ == 0 ? 0
                                : std::count(Begin, End, Coverage.Instances_));
  return Coverage;
}

BurnTimeline makeTimeline(const std::vector<std::int64_t> &Observers,
                          std::int64_t NowMinute) {
  auto OldestObserved =
      std::find_if(Observers.rbegin(), Observers.rend(),
                   [](std::int64_t Count) { return Count > 0; });
  std::int64_t NeededMinutes = Observers.rend() - OldestObserved;
  std::size_t Window = ShortestTimelineWindow;
  while (BurnWindowMinutes[Window] < NeededMinutes)
    ++Window;
  std::int64_t Minutes = BurnWindowMinutes[Window];
  BurnTimeline Timeline;
  Timeline.FirstMinute_ = NowMinute - Minutes + 1;
  Timeline.MinutesPerStep_ = TimelineStepMinutes[Window];
  Timeline.ObservedMinutes_.resize(
      static_cast<std::size_t>(Minutes / Timeline.MinutesPerStep_));
  for (std::int64_t Age = 0; Age < Minutes; ++Age)
    if (Observers[static_cast<std::size_t>(Age)] > 0)
      ++Timeline.ObservedMinutes_[static_cast<std::size_t>(
          (Minutes - 1 - Age) / Timeline.MinutesPerStep_)];
  return Timeline;
}

/// Sums the counts of one service by window, by zone and cause, and by step of
/// the timeline.
class ServiceAggregator {
public:
  ServiceAggregator(const BurnTimeline &Timeline, std::int64_t NowMinute)
      : Timeline_(Timeline), NowMinute_(NowMinute) {
    Steps_.resize(Timeline.ObservedMinutes_.size());
  }

  void add(const BurnMinute &Counts) {
    std::int64_t Age = NowMinute_ - Counts.Minute_;
    if (Age < 0 || Age >= DayMinutes)
      return;
    for (std::size_t Window = 0; Window < BurnWindowCount; ++Window) {
      if (Age >= BurnWindowMinutes[Window])
        continue;
      Windows_[Window].Good_ += Counts.Good_;
      Windows_[Window].Bad_ += totalBadRequests(Counts.Bad_);
    }
    addSources(Counts);
    addStep(Counts);
  }

  bool empty() const {
    return Windows_[DayIndex].Good_ == 0 && Windows_[DayIndex].Bad_ == 0;
  }

  /// Returns the burn of the service under its \p Terms in \p Contract.
  ServiceBurn serviceBurn(const ContractName &Contract,
                          const ServiceTerms &Terms) const;

  UnknownServiceCounts unknownServiceCounts(const ServiceKey &Key) const {
    return {Key.first, Key.second, Windows_[DayIndex].Good_,
            Windows_[DayIndex].Bad_};
  }

private:
  void addSources(const BurnMinute &Counts) {
    for (std::size_t Cause = 0; Cause < BurnCauseCount; ++Cause)
      if (Counts.Bad_[Cause] > 0)
        BadBySource_[{Counts.Zone_, static_cast<BurnCause>(Cause)}] +=
            Counts.Bad_[Cause];
  }

  void addStep(const BurnMinute &Counts) {
    std::int64_t Offset = Counts.Minute_ - Timeline_.FirstMinute_;
    if (Offset < 0)
      return;
    BurnStep &Step =
        Steps_[static_cast<std::size_t>(Offset / Timeline_.MinutesPerStep_)];
    Step.Good_ += Counts.Good_;
    for (std::size_t Cause = 0; Cause < BurnCauseCount; ++Cause)
      Step.Bad_[Cause] += Counts.Bad_[Cause];
  }

  const BurnTimeline &Timeline_;
  std::int64_t NowMinute_;
  std::array<WindowBurn, BurnWindowCount> Windows_{};
  std::map<std::pair<ZoneName, BurnCause>, std::int64_t> BadBySource_;
  std::vector<BurnStep> Steps_;
};

double burnRate(const WindowBurn &Window, double AllowedBadFraction) {
  std::int64_t Total = Window.Good_ + Window.Bad_;
  if (Total == 0)
    return 0.0;
  return static_cast<double>(Window.Bad_) / static_cast<double>(Total) /
         AllowedBadFraction;
}

ServiceBurn ServiceAggregator::serviceBurn(const ContractName &Contract,
                                           const ServiceTerms &Terms) const {
  ServiceBurn Burn;
  Burn.Contract_ = Contract;
  Burn.Service_ = Terms.Name_;
  Burn.Objective_ = Terms.Objective_;
  Burn.LatencyTarget_ = Terms.LatencyTarget_;
  Burn.Windows_ = Windows_;
  Burn.Steps_ = Steps_;
  double AllowedBadFraction = 1.0 - Terms.Objective_;
  for (WindowBurn &Window : Burn.Windows_)
    Window.BurnRate_ = burnRate(Window, AllowedBadFraction);
  const WindowBurn &LastDay = Burn.Windows_[DayIndex];
  Burn.BudgetRequests_ =
      static_cast<double>(LastDay.Good_ + LastDay.Bad_) * AllowedBadFraction;
  Burn.BudgetLeft_ = 1.0 - LastDay.BurnRate_;
  auto Reaches = [&Burn](BurnWindow Window, double Rate) {
    return Burn.Windows_[static_cast<std::size_t>(Window)].BurnRate_ >= Rate;
  };
  Burn.FastBurn_ = Reaches(BurnWindow::Hour, FastBurnRate) &&
                   Reaches(BurnWindow::FiveMinutes, FastBurnRate);
  Burn.SlowBurn_ = Reaches(BurnWindow::SixHours, SlowBurnRate) &&
                   Reaches(BurnWindow::HalfHour, SlowBurnRate);
  for (const auto &[Source, Bad] : BadBySource_)
    Burn.Sources_.push_back({Source.first, Source.second, Bad});
  std::ranges::stable_sort(Burn.Sources_, std::greater(), &BurnSource::Bad_);
  return Burn;
}

using AggregatorMap = std::map<ServiceKey, ServiceAggregator>;

AggregatorMap aggregateByService(const std::vector<BurnHourRecord> &Records,
                                 const BurnTimeline &Timeline,
                                 std::int64_t NowMinute) {
  AggregatorMap Aggregators;
  for (const BurnHourRecord &Record : Records)
    for (const BurnMinute &Counts : Record.Minutes_)
      Aggregators
          .try_emplace({Counts.Contract_, Counts.Service_}, Timeline, NowMinute)
          .first->second.add(Counts);
  return Aggregators;
}

} // namespace

BurnReport makeBurnReport(const std::vector<BurnHourRecord> &Records,
                          const std::vector<Contract> &Contracts,
                          std::int64_t NowMs) {
  std::int64_t NowMinute = NowMs / report_detail::MillisecondsPerMinute;
  std::vector<std::int64_t> Observers = countObservers(Records, NowMinute);
  BurnReport Report;
  Report.NowMs_ = NowMs;
  for (std::size_t Window = 0; Window < BurnWindowCount; ++Window)
    Report.Coverage_[Window] =
        computeCoverage(Observers, BurnWindowMinutes[Window]);
  Report.Timeline_ = makeTimeline(Observers, NowMinute);
  AggregatorMap Aggregators =
      aggregateByService(Records, Report.Timeline_, NowMinute);
  for (const Contract &Terms : Contracts)
    for (const ServiceTerms &Service : Terms.Services_) {
      auto Entry = Aggregators
                       .try_emplace({Terms.Name_, Service.Name_},
                                    Report.Timeline_, NowMinute)
                       .first;
      Report.Services_.push_back(
          Entry->second.serviceBurn(Terms.Name_, Service));
      Aggregators.erase(Entry);
    }
  for (const auto &[Key, Aggregator] : Aggregators)
    if (!Aggregator.empty())
      Report.UnknownServices_.push_back(Aggregator.unknownServiceCounts(Key));
  return Report;
}

} // namespace filbertspring
