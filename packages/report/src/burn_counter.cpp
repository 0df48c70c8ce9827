#include "filbertspring/report/burn_counter.h"

#include "burn_minute_map.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace filbertspring {

using report_detail::BurnMinuteMap;
using report_detail::MinutesPerHour;

namespace {

/// The counts of one hour.
struct HourCounts {
  std::uint64_t ObservedMinutes_ = 0;
  BurnMinuteMap Minutes_;
  /// Whether restore() added the stored record of the hour.
  bool Restored_ = false;
};

/// Returns true if the minute of \p Counts is in \p Hour and no count is
/// negative.
bool isValidInHour(const BurnMinute &Counts, std::int64_t Hour) {
  return Counts.Minute_ / MinutesPerHour == Hour && Counts.Good_ >= 0 &&
         std::ranges::all_of(Counts.Bad_,
                             [](std::int64_t Bad) { return Bad >= 0; });
}

} // namespace

struct BurnCounter::Impl {
  InstanceName Instance_;
  std::map<std::int64_t, HourCounts> Hours_;
  std::int64_t FirstKeptHour_ = std::numeric_limits<std::int64_t>::min();

  /// Marks \p Minute as observed and returns the counts of its hour. Returns
  /// null if the minute is negative or its hour was erased.
  HourCounts *markObserved(std::int64_t Minute) {
    std::int64_t Hour = Minute / MinutesPerHour;
    if (Minute < 0 || Hour < FirstKeptHour_)
      return nullptr;
    HourCounts &Counts = Hours_[Hour];
    Counts.ObservedMinutes_ |= std::uint64_t{1} << (Minute % MinutesPerHour);
    return &Counts;
  }
};

BurnCounter::BurnCounter(InstanceName Instance)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Instance_ = std::move(Instance);
}

BurnCounter::~BurnCounter() = default;
BurnCounter::BurnCounter(BurnCounter &&) noexcept = default;
BurnCounter &BurnCounter::operator=(BurnCounter &&) noexcept = default;

void BurnCounter::count(const BurnSample &Sample, std::int64_t Minute) {
  HourCounts *Hour = Impl_->markObserved(Minute);
  if (!Hour)
    return;
  BurnMinute &Counts =
      report_detail::countsOf(Hour->Minutes_, {Minute, Sample.Contract_,
                                               Sample.Service_, Sample.Zone_});
  if (Sample.Cause_)
    ++Counts.Bad_[static_cast<std::size_t>(*Sample.Cause_)];
  else
    ++Counts.Good_;
}

void BurnCounter::observe(std::int64_t Minute) {
  (void)Impl_->markObserved(Minute);
}

Status BurnCounter::restore(const BurnHourRecord &Stored) {
  bool Valid =
      Stored.Instance_ == Impl_->Instance_ &&
      std::ranges::all_of(Stored.Minutes_, [&](const BurnMinute &Counts) {
        return isValidInHour(Counts, Stored.Hour_);
      });
  if (!Valid)
    return fail(Errc::InvalidInput);
  if (Stored.Hour_ < Impl_->FirstKeptHour_)
    return {};
  HourCounts &Hour = Impl_->Hours_[Stored.Hour_];
  if (Hour.Restored_)
    return fail(Errc::Duplicate);
  Hour.Restored_ = true;
  Hour.ObservedMinutes_ |= Stored.ObservedMinutes_;
  for (const BurnMinute &Counts : Stored.Minutes_)
    report_detail::addCounts(Hour.Minutes_, Counts);
  return {};
}

std::vector<BurnHourRecord> BurnCounter::records() const {
  std::vector<BurnHourRecord> Records;
  for (const auto &[Hour, Counts] : Impl_->Hours_) {
    BurnHourRecord &Record = Records.emplace_back();
    Record.Instance_ = Impl_->Instance_;
    Record.Hour_ = Hour;
    Record.ObservedMinutes_ = Counts.ObservedMinutes_;
    for (const auto &[Key, Minute] : Counts.Minutes_)
      Record.Minutes_.push_back(Minute);
  }
  return Records;
}

void BurnCounter::eraseHoursBefore(std::int64_t Hour) {
  Impl_->FirstKeptHour_ = std::max(Impl_->FirstKeptHour_, Hour);
  Impl_->Hours_.erase(Impl_->Hours_.begin(), Impl_->Hours_.lower_bound(Hour));
}

} // namespace filbertspring
