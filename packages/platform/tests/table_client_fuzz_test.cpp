#define BOOST_TEST_MODULE table_client_fuzz
#include "filbertspring/platform/table_client.h"

#include "filbertspring/platform/row_codec.h"
#include "filbertspring/standins/memory_table.h"
#include "filbertspring/standins/platform_server.h"
#include "filbertspring/standins/running_server.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace filbertspring;

namespace {

constexpr Duration Timeout = std::chrono::seconds(20);
constexpr std::size_t SmallPage = 2;

const std::vector<RowKey> Keys = {{RowKind::Head, ""},
                                  {RowKind::Head, "other"},
                                  {RowKind::ShareLedger, "a"},
                                  {RowKind::ShareLedger, "a/b"},
                                  {RowKind::ShareLedger, "b"}};

RowValue randomValue(RowKind Kind) {
  std::int32_t Number = *rc::gen::inRange(0, 1000);
  if (Kind == RowKind::Head)
    return HeadRecord{Number, "ada"};
  return ShareLedgerRecord{ContractName("c"), {{InstanceName("e"), Number}}};
}

/// The client against a typed table in memory, which is the oracle.
struct Pair {
  RunningServer<PlatformServer> Platform_{Duration::zero()};
  CounterRegistry Counters_;
  TableClient Client_{Platform_.address(), ZoneName("z"), Timeout, Counters_};
  MemoryTable Oracle_;

  /// Mostly the version that holds, sometimes another one.
  RowVersion drawVersion(const RowKey &Key) {
    std::optional<StoredRow> Row = Oracle_.read(Key);
    RowVersion Current = Row ? Row->Version_ : AbsentVersion;
    return *rc::gen::weightedElement<RowVersion>(
        {{6, Current}, {1, Current + 1}, {1, AbsentVersion}});
  }

  Transaction drawTransaction() {
    Transaction Request;
    Request.Id_ = TransactionId(std::to_string(*rc::gen::inRange(0, 1 << 20)));
    for (const RowKey &Key : Keys) {
      int Use = *rc::gen::inRange(0, 5);
      if (Use == 0)
        Request.Guards_.push_back({Key, drawVersion(Key)});
      if (Use == 1)
        Request.Changes_.push_back(
            {Key, drawVersion(Key), randomValue(Key.Kind_)});
      if (Use == 2)
        Request.Changes_.push_back({Key, drawVersion(Key), std::nullopt});
    }
    return Request;
  }

  void inject(CommitFault Fault) {
    if (Fault == CommitFault::Refuse)
      Platform_.post("/faults", R"({"refuse":1})");
    if (Fault == CommitFault::LoseAnswer)
      Platform_.post("/faults", R"({"lose_answers":1})");
  }

  void step() {
    const CommitFault Fault =
        *rc::gen::weightedElement<CommitFault>({{4, CommitFault::None},
                                                {1, CommitFault::Refuse},
                                                {1, CommitFault::LoseAnswer}});
    const Transaction Request = drawTransaction();
    inject(Fault);
    CommitResult Seen = Client_.commit(Request);
    CommitResult Expected = Oracle_.commit(Request, Fault);
    RC_ASSERT(Seen.Outcome_ == Expected.Outcome_);
    RC_ASSERT(Seen.Version_ == Expected.Version_);
    RC_ASSERT(Seen.Conflicts_ == Expected.Conflicts_);
  }

  static void compareRows(const std::vector<StoredRow> &Seen,
                          const std::vector<StoredRow> &Expected) {
    RC_ASSERT(Seen.size() == Expected.size());
    for (std::size_t Index = 0; Index < Seen.size(); ++Index) {
      RC_ASSERT(Seen[Index].Key_ == Expected[Index].Key_);
      RC_ASSERT(Seen[Index].Version_ == Expected[Index].Version_);
      RC_ASSERT(Seen[Index].Writer_ == Expected[Index].Writer_);
      RC_ASSERT(encodeRowValue(Seen[Index].Value_).value() ==
                encodeRowValue(Expected[Index].Value_).value());
    }
  }

  void compare() {
    std::vector<StoredRow> Expected;
    for (const RowKey &Key : Keys)
      if (std::optional<StoredRow> Row = Oracle_.read(Key))
        Expected.push_back(*Row);
    compareRows(Client_.read(Keys).value().Rows_, Expected);
    for (RowKind Kind : {RowKind::Head, RowKind::ShareLedger})
      compareRows(Client_.scan(Kind, "", SmallPage).value().Rows_,
                  Oracle_.scan(Kind));
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(the_client_and_a_table_in_memory_never_differ) {
  bool Holds = rc::check("outcomes, versions and rows agree", [] {
    Pair Subject;
    const int Steps = *rc::gen::inRange(1, 30);
    for (int Step = 0; Step < Steps; ++Step) {
      Subject.step();
      Subject.compare();
    }
  });
  BOOST_TEST(Holds);
}
