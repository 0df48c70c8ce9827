#include "filbertspring/platform/table_client.h"

#include "filbertspring/standins/platform_server.h"
#include "filbertspring/standins/relay.h"
#include "filbertspring/standins/running_server.h"
#include "scripted_server.h"
#include "unused_address.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using std::chrono::milliseconds;

namespace {

constexpr Duration LongTimeout = std::chrono::seconds(20);
constexpr Duration ShortTimeout = milliseconds(100);
constexpr std::string_view HourLongDelay = R"({"delay_ms":3600000})";

Transaction writeZone(const std::string &Zone, RowVersion Expected,
                      const std::string &Id = "t1") {
  AvailabilityZone Value;
  Value.Name_ = ZoneName(Zone);
  return {TransactionId(Id), {}, {{{RowKind::Zone, Zone}, Expected, Value}}};
}

std::string httpAnswer(int Status, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " X\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

struct Fixture {
  RunningServer<PlatformServer> Platform_{Duration::zero()};
  CounterRegistry Counters_;

  TableClient makeClient(Duration Timeout = LongTimeout,
                         const char *Zone = "porto") {
    return {Platform_.address(), ZoneName(Zone), Timeout, Counters_};
  }
  void setFaults(std::string_view Body) {
    Platform_.post("/faults", std::string(Body));
  }
  std::size_t storedRowCount() {
    return makeClient().scan(RowKind::Zone).value().Rows_.size();
  }
};

/// Returns the result of a commit that a server answers by \p Script.
CommitResult commitAnsweredBy(Script Script, Duration Timeout = LongTimeout) {
  ScriptedServer Server(std::move(Script));
  CounterRegistry Counters;
  TableClient Client(Server.address(), ZoneName("z"), Timeout, Counters);
  return Client.commit(writeZone("a", AbsentVersion));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(table_client, Fixture)

BOOST_AUTO_TEST_SUITE(on_a_healthy_platform)

BOOST_AUTO_TEST_CASE(reads_what_it_committed) {
  TableClient Client = makeClient();
  CommitResult FirstCommit = Client.commit(writeZone("a", AbsentVersion));
  BOOST_TEST((FirstCommit.Outcome_ == CommitOutcome::Committed));
  RowBatch Batch =
      Client.read({{RowKind::Zone, "a"}, {RowKind::Zone, "b"}}).value();
  BOOST_REQUIRE(Batch.Rows_.size() == 1U);
  BOOST_TEST(Batch.Rows_[0].Version_ == FirstCommit.Version_);
  BOOST_TEST(Batch.Rows_[0].Writer_.str() == "t1");
  BOOST_TEST(std::get<AvailabilityZone>(Batch.Rows_[0].Value_).Name_.str() ==
             "a");
}

BOOST_AUTO_TEST_CASE(names_the_rows_in_conflict_and_writes_none_of_them) {
  TableClient Client = makeClient();
  Client.commit(writeZone("a", AbsentVersion));
  Transaction GuardedWrite = writeZone("b", AbsentVersion, "t2");
  GuardedWrite.Guards_ = {{{RowKind::Zone, "a"}, AbsentVersion}};
  CommitResult Result = Client.commit(GuardedWrite);
  BOOST_TEST((Result.Outcome_ == CommitOutcome::Conflict));
  BOOST_REQUIRE(Result.Conflicts_.size() == 1U);
  BOOST_TEST((Result.Conflicts_[0] == RowKey{RowKind::Zone, "a"}));
  BOOST_TEST(storedRowCount() == 1U);
}

BOOST_AUTO_TEST_CASE(deletes_a_row_at_its_version_only) {
  TableClient Client = makeClient();
  RowVersion Version = Client.commit(writeZone("a", AbsentVersion)).Version_;
  Transaction Delete{
      TransactionId("d"), {}, {{{RowKind::Zone, "a"}, Version + 1, {}}}};
  BOOST_TEST((Client.commit(Delete).Outcome_ == CommitOutcome::Conflict));
  Delete.Changes_[0].Expected_ = Version;
  BOOST_TEST((Client.commit(Delete).Outcome_ == CommitOutcome::Committed));
  BOOST_TEST(storedRowCount() == 0U);
}

BOOST_AUTO_TEST_CASE(scans_all_pages_of_one_kind_in_key_order) {
  TableClient Client = makeClient();
  for (const char *Name : {"c", "a", "b", "a1", "a2"})
    Client.commit(writeZone(Name, AbsentVersion));
  Client.commit({TransactionId("h"),
                 {},
                 {{{RowKind::Head, ""}, AbsentVersion, HeadRecord{}}}});
  std::string Names;
  RowBatch Batch = Client.scan(RowKind::Zone, "", 2).value();
  for (const StoredRow &Row : Batch.Rows_)
    Names += Row.Key_.Name_ + " ";
  BOOST_TEST(Names == "a a1 a2 b c ");
  BOOST_TEST(Client.scan(RowKind::Zone, "a", 2).value().Rows_.size() == 3U);
}

BOOST_AUTO_TEST_CASE(returns_invalid_rows_as_findings_beside_the_valid_ones) {
  TableClient Client = makeClient();
  Client.commit(writeZone("a", AbsentVersion));
  Client.commit(writeZone("c", AbsentVersion));
  Platform_.post("/table/commit", R"({"id":"x","guards":[],"changes":[
      {"key":"zone/b","version":0,"value":{"name":7}}]})");
  RowBatch Batch = Client.scan(RowKind::Zone, "", 1).value();
  BOOST_TEST(Batch.Rows_.size() == 2U);
  BOOST_REQUIRE(Batch.Findings_.items().size() == 1U);
  BOOST_TEST(Batch.Findings_.items()[0].Place_ == "zone/b");
}

BOOST_AUTO_TEST_CASE(counts_calls_rows_and_failures) {
  TableClient Client = makeClient();
  Client.commit(writeZone("a", AbsentVersion));
  setFaults(R"({"refuse":1})");
  Client.commit(writeZone("b", AbsentVersion));
  (void)Client.scan(RowKind::Zone);
  auto Value = [this](const char *Name, const char *Labels = "") {
    return Counters_.counter(Name, Labels).value();
  };
  BOOST_TEST(Value("filbertspring_table_writes_total") == 2U);
  BOOST_TEST(Value("filbertspring_table_rows_written_total") == 1U);
  BOOST_TEST(Value("filbertspring_table_reads_total") == 1U);
  BOOST_TEST(Value("filbertspring_table_rows_read_total") == 1U);
  BOOST_TEST(Value("filbertspring_table_failures_total", "call=\"write\"") ==
             1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_commit_is_certainly_not_done)

BOOST_AUTO_TEST_CASE(when_no_server_listens) {
  CounterRegistry Counters;
  TableClient Client(unusedAddress(), ZoneName("z"), LongTimeout, Counters);
  BOOST_TEST((Client.commit(writeZone("a", AbsentVersion)).Outcome_ ==
              CommitOutcome::NotCommitted));
  BOOST_TEST((Client.read({}).error() == Errc::ConnectFailed));
}

BOOST_AUTO_TEST_CASE(when_the_service_refuses_it) {
  setFaults(R"({"refuse":1})");
  TableClient Client = makeClient();
  BOOST_TEST((Client.commit(writeZone("a", AbsentVersion)).Outcome_ ==
              CommitOutcome::NotCommitted));
  BOOST_TEST(storedRowCount() == 0U);
}

BOOST_AUTO_TEST_CASE(
    when_it_cannot_be_encoded_or_its_value_is_of_another_kind) {
  TableClient Client = makeClient();
  BOOST_TEST((Client.commit(writeZone("\xff", AbsentVersion)).Outcome_ ==
              CommitOutcome::NotCommitted));
  Transaction Mixed{TransactionId("m"),
                    {},
                    {{{RowKind::Zone, "a"}, AbsentVersion, HeadRecord{}}}};
  BOOST_TEST((Client.commit(Mixed).Outcome_ == CommitOutcome::NotCommitted));
  BOOST_TEST(storedRowCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_commit_is_unknown)

BOOST_AUTO_TEST_CASE(when_its_answer_is_lost_after_it_took_effect) {
  setFaults(R"({"lose_answers":1})");
  TableClient Client = makeClient();
  BOOST_TEST((Client.commit(writeZone("a", AbsentVersion, "lost")).Outcome_ ==
              CommitOutcome::Unknown));
  RowBatch Batch = Client.read({{RowKind::Zone, "a"}}).value();
  BOOST_REQUIRE(Batch.Rows_.size() == 1U);
  BOOST_TEST(Batch.Rows_[0].Writer_.str() == "lost");
}

BOOST_AUTO_TEST_CASE(when_the_service_closes_after_the_bytes_were_sent) {
  TableClient Client = makeClient();
  setFaults(R"({"down":true})");
  BOOST_TEST((Client.commit(writeZone("a", AbsentVersion)).Outcome_ ==
              CommitOutcome::Unknown));
  setFaults(R"({"down":false})");
  BOOST_TEST((Client.commit(writeZone("a", AbsentVersion)).Outcome_ ==
              CommitOutcome::Committed));
}

BOOST_AUTO_TEST_CASE(when_the_answer_does_not_come_within_the_timeout) {
  setFaults(HourLongDelay);
  TableClient Client = makeClient(ShortTimeout);
  BOOST_TEST((Client.commit(writeZone("a", AbsentVersion)).Outcome_ ==
              CommitOutcome::Unknown));
  BOOST_TEST((Client.scan(RowKind::Zone).error() == Errc::Timeout));
}

BOOST_AUTO_TEST_CASE(and_may_take_effect_after_the_client_gave_up) {
  setFaults(R"({"delay_ms":300})");
  TableClient Client = makeClient(ShortTimeout);
  BOOST_TEST((Client.commit(writeZone("a", AbsentVersion, "late")).Outcome_ ==
              CommitOutcome::Unknown));
  setFaults(R"({"delay_ms":0})");
  while (storedRowCount() == 0)
    std::this_thread::sleep_for(milliseconds(5));
  BOOST_TEST((Client.commit(writeZone("a", AbsentVersion)).Outcome_ ==
              CommitOutcome::Conflict));
}

BOOST_AUTO_TEST_CASE(when_the_answer_arrives_byte_by_byte_without_an_end) {
  Script EndlessHeader{"HTTP/1.1 200 OK\r\nx-long: a", true, false};
  BOOST_TEST((commitAnsweredBy(EndlessHeader, ShortTimeout).Outcome_ ==
              CommitOutcome::Unknown));
  Script SlowBody{"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n ", true,
                  false};
  BOOST_TEST((commitAnsweredBy(SlowBody, ShortTimeout).Outcome_ ==
              CommitOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(when_the_answer_is_truncated_or_malformed) {
  std::string CompleteAnswer = httpAnswer(200, R"({"version":7})");
  BOOST_TEST((commitAnsweredBy({CompleteAnswer, false, false}).Outcome_ ==
              CommitOutcome::Committed));
  for (std::size_t Size = 0; Size < CompleteAnswer.size(); ++Size)
    BOOST_TEST((commitAnsweredBy({CompleteAnswer.substr(0, Size), false, true})
                    .Outcome_ == CommitOutcome::Unknown),
               Size);
  for (const char *Body : {"", "{}", "[7]", R"({"version":"7"})", "{\"vers"})
    BOOST_TEST(
        (commitAnsweredBy({httpAnswer(200, Body), false, false}).Outcome_ ==
         CommitOutcome::Unknown),
        Body);
  for (const char *Body : {"", "{}", R"({"conflicts":["rock/r"]})"})
    BOOST_TEST(
        (commitAnsweredBy({httpAnswer(409, Body), false, false}).Outcome_ ==
         CommitOutcome::Unknown),
        Body);
}

BOOST_AUTO_TEST_CASE(when_the_status_is_not_one_of_the_protocol) {
  for (int Status : {201, 301, 400, 404, 500, 502, 504})
    BOOST_TEST((commitAnsweredBy(
                    {httpAnswer(Status, R"({"version":7})"), false, false})
                    .Outcome_ == CommitOutcome::Unknown),
               Status);
}

BOOST_AUTO_TEST_CASE(when_the_length_of_the_answer_is_not_given) {
  Script UnframedAnswer{"HTTP/1.1 200 OK\r\n\r\n{\"version\":7}", false, true};
  BOOST_TEST(
      (commitAnsweredBy(UnframedAnswer).Outcome_ == CommitOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_connection)

BOOST_AUTO_TEST_CASE(is_kept_between_calls) {
  ScriptedServer Server({httpAnswer(200, R"({"rows":[]})"), false, false});
  CounterRegistry Counters;
  TableClient Client(Server.address(), ZoneName("z"), ShortTimeout, Counters);
  BOOST_TEST(Client.read({}).has_value());
  BOOST_TEST(!Client.read({}).has_value()); // One answer per connection.
  BOOST_TEST(Server.connections() == 1);
}

BOOST_AUTO_TEST_CASE(with_unsolicited_bytes_is_not_reused) {
  std::string TwoAnswers =
      httpAnswer(200, R"({"version":7})") + httpAnswer(200, R"({"version":8})");
  ScriptedServer Server({TwoAnswers, false, false});
  CounterRegistry Counters;
  TableClient Client(Server.address(), ZoneName("z"), LongTimeout, Counters);
  BOOST_TEST(Client.commit(writeZone("a", AbsentVersion)).Version_ == 7);
  BOOST_TEST(Client.commit(writeZone("a", AbsentVersion)).Version_ == 7);
  BOOST_TEST(Server.connections() == 2);
}

BOOST_AUTO_TEST_CASE(that_stops_responding_is_replaced_after_one_timeout) {
  RunningServer<Relay> RelayToPlatform(Platform_.address());
  CounterRegistry Counters;
  TableClient Client(RelayToPlatform.address(), ZoneName("z"),
                     milliseconds(500), Counters);
  BOOST_TEST(Client.read({}).has_value());
  (*RelayToPlatform).setMode(RelayMode::Silent, Duration::zero());
  // The relay's thread may apply the mode only after further calls succeed.
  while (Client.read({}).has_value())
    ;
  BOOST_TEST(Client.read({}).has_value());
}

BOOST_AUTO_TEST_CASE(of_a_disconnected_zone_is_closed_and_no_other) {
  setFaults(R"({"cut_zones":["porto"]})");
  TableClient DisconnectedClient = makeClient(LongTimeout, "porto");
  TableClient OtherClient = makeClient(LongTimeout, "lisboa");
  BOOST_TEST((DisconnectedClient.read({}).error() == Errc::ConnectionLost));
  BOOST_TEST(
      (DisconnectedClient.commit(writeZone("a", AbsentVersion)).Outcome_ ==
       CommitOutcome::Unknown));
  BOOST_TEST(OtherClient.scan(RowKind::Zone).value().Rows_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
