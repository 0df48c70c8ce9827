#include "filbertspring/membership.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace filbertspring::membership;
using namespace std::chrono_literals;

namespace {

const InstanceName Other("entry-2");
const LeaseSettings Settings;

TimePoint at(Duration Since) { return TimePoint(Since); }

StoredRow heartbeat(RowVersion Version, bool Leaving = false) {
  HeartbeatRecord Record;
  Record.Instance_ = Other;
  Record.Leaving_ = Leaving;
  return {{RowKind::Heartbeat, Other.str()},
          Version,
          TransactionId("boot/hb/1"),
          Record};
}

struct TrackerFixture {
  /// Processes a scan sent and answered at \p Since.
  void scan(Duration Since, std::vector<StoredRow> Rows) {
    Tracker_.handle({at(Since), std::move(Rows)}, at(Since));
  }
  Liveness state(Duration Since) const {
    return Tracker_.stateOf(Other, at(Since));
  }
  LivenessTracker Tracker_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_observed_instance, TrackerFixture)

BOOST_AUTO_TEST_CASE(is_alive_while_its_row_changes) {
  for (int Second = 0; Second < 60; Second += 2)
    scan(std::chrono::seconds(Second), {heartbeat(Second + 1)});
  BOOST_TEST((state(60s) == Liveness::Alive));
}

BOOST_AUTO_TEST_CASE(is_leaving_when_it_says_so) {
  scan(1s, {heartbeat(1, true)});
  BOOST_TEST((state(1s) == Liveness::Leaving));
}

BOOST_AUTO_TEST_CASE(is_suspected_by_time_alone_but_never_lapsed) {
  scan(1s, {heartbeat(1)});
  BOOST_TEST((state(1s + Settings.SuspicionTimeout_) == Liveness::Suspected));
  BOOST_TEST((state(1h) == Liveness::Suspected));
  BOOST_TEST(!Tracker_.lapsedGuard(Other).has_value());
}

BOOST_AUTO_TEST_CASE(lapses_by_a_scan_sent_after_its_lease) {
  scan(1s, {heartbeat(7)});
  scan(1s + Settings.observedLeaseDuration() - 1us, {heartbeat(7)});
  BOOST_TEST(!Tracker_.lapsedGuard(Other).has_value());
  scan(1s + Settings.observedLeaseDuration(), {heartbeat(7)});
  BOOST_TEST((state(12s) == Liveness::Lapsed));
  BOOST_TEST(Tracker_.lapsedGuard(Other)->Expected_ == 7);
}

BOOST_AUTO_TEST_CASE(comes_back_with_its_next_heartbeat) {
  scan(1s, {heartbeat(7)});
  scan(20s, {heartbeat(7)});
  scan(21s, {heartbeat(8)});
  BOOST_TEST((state(21s) == Liveness::Alive));
  BOOST_TEST(!Tracker_.lapsedGuard(Other).has_value());
}

BOOST_AUTO_TEST_CASE(is_not_judged_by_scans_that_arrive_out_of_order) {
  scan(30s, {heartbeat(9)});
  Tracker_.handle({at(2s), {heartbeat(8)}}, at(31s));
  BOOST_TEST(Tracker_.members(at(31s)).front().Version_ == 9);
}

BOOST_AUTO_TEST_CASE(without_a_row_lapses_from_the_first_scan) {
  BOOST_TEST((state(100s) == Liveness::Suspected));
  scan(100s, {});
  BOOST_TEST((state(100s) == Liveness::Suspected));
  scan(100s + Settings.observedLeaseDuration(), {});
  BOOST_TEST((state(111s) == Liveness::Lapsed));
  BOOST_TEST(Tracker_.lapsedGuard(Other)->Expected_ == AbsentVersion);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

const InstanceName Earlier("entry-2.aaaa");
const InstanceName Successor("entry-2.bbbb");

StoredRow heartbeatOf(const InstanceName &Process, RowVersion Version,
                      std::uint16_t Port, bool Leaving = false) {
  StoredRow Row = heartbeat(Version, Leaving);
  Row.Key_.Name_ = Process.str();
  auto &Record = std::get<HeartbeatRecord>(Row.Value_);
  Record.Instance_ = Process;
  Record.Http_ = {"10.0.0.1", Port};
  return Row;
}

struct RestartFixture : TrackerFixture {
  void scanBoth(Duration Since, bool Leaving = false, std::uint16_t Port = 80) {
    scan(Since, {heartbeatOf(Earlier, 5, Port, Leaving),
                 heartbeatOf(Successor, Since / 1s + 10, 80)});
  }
  bool hasEnded() const {
    return Tracker_.predecessorGuard(Earlier, Successor).has_value();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_earlier_process_of_an_instance, RestartFixture)

BOOST_AUTO_TEST_CASE(has_ended_once_its_heartbeat_is_overdue) {
  scanBoth(1s);
  scanBoth(1s + Settings.SuspicionTimeout_ - 1us);
  BOOST_TEST(!hasEnded());
  scanBoth(1s + Settings.SuspicionTimeout_);
  BOOST_REQUIRE(hasEnded());
  BOOST_TEST(Tracker_.predecessorGuard(Earlier, Successor)->Expected_ == 5);
}

BOOST_AUTO_TEST_CASE(may_still_drain) {
  scanBoth(1s, true);
  scanBoth(1s + Settings.SuspicionTimeout_, true);
  BOOST_TEST(!hasEnded());
  scanBoth(1s + Settings.SuspicionTimeout_ + Settings.DrainLimit_, true);
  BOOST_TEST(hasEnded());
}

BOOST_AUTO_TEST_CASE(has_ended_once_its_row_is_deleted) {
  scanBoth(1s);
  scan(2s, {heartbeatOf(Successor, 12, 80)});
  BOOST_REQUIRE(hasEnded());
  BOOST_TEST(Tracker_.predecessorGuard(Earlier, Successor)->Expected_ ==
             AbsentVersion);
}

BOOST_AUTO_TEST_CASE(may_run_if_it_listens_elsewhere) {
  scanBoth(1s, false, 81);
  scanBoth(1h, false, 81);
  BOOST_TEST(!hasEnded());
}

BOOST_AUTO_TEST_CASE(is_not_one_of_another_instance) {
  scan(1s, {heartbeatOf(Successor, 12, 80)});
  scan(1h, {heartbeatOf(Successor, 13, 80)});
  for (const char *Name : {"entry-3.aaaa", "entry-2", "entry-2.bbbb"})
    BOOST_TEST(
        !Tracker_.predecessorGuard(InstanceName(Name), Successor).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct HeartbeatWriterFixture {
  HeartbeatWriterFixture() {
    HeartbeatRecord Self;
    Self.Instance_ = Other;
    HeartbeatWriter_ = HeartbeatWriter(Self, "boot");
  }
  std::vector<HeartbeatAction> handle(const HeartbeatEvent &Event,
                                      Duration Since) {
    return HeartbeatWriter_.handle(Event, at(Since));
  }
  /// Handles the initial read of the row and returns the first write.
  TransactionId readAndWrite(std::optional<StoredRow> Row, Duration Since) {
    handle(HeartbeatTick{}, Since);
    const auto Actions = handle(OwnHeartbeatRead{std::move(Row)}, Since);
    return std::get<CommitHeartbeat>(Actions.front()).Request_.Id_;
  }
  void commit(const TransactionId &Id, RowVersion Version, Duration Since) {
    handle(HeartbeatCommitEnded{Id, {CommitOutcome::Committed, Version, {}}},
           Since);
  }
  HeartbeatWriter HeartbeatWriter_{{}, ""};
};

StoredRow foreignRow(RowVersion Version) {
  StoredRow Row = heartbeat(Version);
  Row.Writer_ = TransactionId("earlier/hb/3");
  return Row;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_own_lease, HeartbeatWriterFixture)

BOOST_AUTO_TEST_CASE(counts_from_the_send_time) {
  commit(readAndWrite(std::nullopt, 1s), 1, 2s);
  BOOST_TEST((HeartbeatWriter_.lease().Since_ == at(2s)));
  BOOST_TEST(
      (HeartbeatWriter_.lease().Until_ == at(1s + Settings.LeaseDuration_)));
}

BOOST_AUTO_TEST_CASE(begins_late_after_an_earlier_process) {
  commit(readAndWrite(foreignRow(5), 1s), 6, 2s);
  BOOST_TEST((HeartbeatWriter_.lease().Since_ ==
              at(2s + Settings.observedLeaseDuration())));
}

BOOST_AUTO_TEST_CASE(that_had_ended_needs_rows_read_anew) {
  commit(readAndWrite(std::nullopt, 1s), 1, 2s);
  const auto Actions = handle(HeartbeatTick{}, 20s);
  commit(std::get<CommitHeartbeat>(Actions.front()).Request_.Id_, 2, 21s);
  BOOST_TEST((HeartbeatWriter_.lease().Since_ == at(21s)));
}

BOOST_AUTO_TEST_CASE(is_not_renewed_by_an_unknown_write) {
  const TransactionId Id = readAndWrite(std::nullopt, 1s);
  const auto Actions = handle(HeartbeatCommitEnded{Id, {}}, 2s);
  BOOST_TEST(std::holds_alternative<ReadOwnHeartbeat>(Actions.front()));
  BOOST_TEST(!HeartbeatWriter_.lease().holdsAt(at(2s)));
}

BOOST_AUTO_TEST_CASE(ends_for_good_when_the_name_is_taken_over) {
  commit(readAndWrite(std::nullopt, 1s), 1, 2s);
  const auto Actions = handle(HeartbeatTick{}, 4s);
  const auto Id = std::get<CommitHeartbeat>(Actions.front()).Request_.Id_;
  handle(HeartbeatCommitEnded{Id, {CommitOutcome::Conflict, 0, {}}}, 4s);
  handle(OwnHeartbeatRead{foreignRow(9)}, 5s);
  BOOST_TEST(HeartbeatWriter_.superseded());
  BOOST_TEST(!HeartbeatWriter_.lease().holdsAt(at(5s)));
  BOOST_TEST(handle(HeartbeatTick{}, 60s).empty());
}

BOOST_AUTO_TEST_CASE(ends_with_the_row_on_a_stop) {
  commit(readAndWrite(std::nullopt, 1s), 1, 2s);
  const auto Actions = handle(StopRequested{}, 3s);
  const auto &Request = std::get<CommitHeartbeat>(Actions.front()).Request_;
  BOOST_TEST(!Request.Changes_.front().Value_.has_value());
  BOOST_TEST(!HeartbeatWriter_.lease().holdsAt(at(3s)));
  commit(Request.Id_, 2, 4s);
  BOOST_TEST(handle(HeartbeatTick{}, 60s).empty());
}

BOOST_AUTO_TEST_SUITE_END()
