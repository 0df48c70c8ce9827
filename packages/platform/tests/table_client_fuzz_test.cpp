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
constexpr std::size_t SmallPageSize = 2;

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

/// Applies the same transactions to a TableClient and to an in-memory table
/// that serves as the oracle, and compares the results.
struct OracleComparison {
  RunningServer<PlatformServer> Platform_{Duration::zero()};
  CounterRegistry Counters_;
  TableClient Client_{Platform_.address(), ZoneName("z"), Timeout, Counters_};
  MemoryTable Oracle_;

  /// Returns the current version of the row in most cases and another version
  /// in the others.
  RowVersion randomVersion(const RowKey &Key) {
    std::optional<StoredRow> Row = Oracle_.read(Key);
    RowVersion Current = Row ? Row->Version_ : AbsentVersion;
    return *rc::gen::weightedElement<RowVersion>(
        {{6, Current}, {1, Current + 1}, {1, AbsentVersion}});
  }

  Transaction randomTransaction() {
    Transaction Request;
    Request.Id_ = TransactionId(std::to_string(*rc::gen::inRange(0, 1 << 20)));
    for (const RowKey &Key : Keys) {
      int Operation = *rc::gen::inRange(0, 5);
      if (Operation == 0)
        Request.Guards_.push_back({Key, randomVersion(Key)});
      if (Operation == 1)
        Request.Changes_.push_back(
            {Key, randomVersion(Key), randomValue(Key.Kind_)});
      if (Operation == 2)
        Request.Changes_.push_back({Key, randomVersion(Key), std::nullopt});
    }
    return Request;
  }

  void inject(CommitFault Fault) {
    if (Fault == CommitFault::Refuse)
      Platform_.post("/faults", R"({"refuse":1})");
    if (Fault == CommitFault::LoseAnswer)
      Platform_.post("/faults", R"({"lose_answers":1})");
  }

  void commitRandomTransaction() {
    const CommitFault Fault =
        *rc::gen::weightedElement<CommitFault>({{4, CommitFault::None},
                                                {1, CommitFault::Refuse},
                                                {1, CommitFault::LoseAnswer}});
    const Transaction Request = randomTransaction();
    inject(Fault);
    CommitResult Actual = Client_.commit(Request);
    CommitResult Expected = Oracle_.commit(Request, Fault);
    RC_ASSERT(Actual.Outcome_ == Expected.Outcome_);
    RC_ASSERT(Actual.Version_ == Expected.Version_);
    RC_ASSERT(Actual.Conflicts_ == Expected.Conflicts_);
  }

  static void compareRows(const std::vector<StoredRow> &Actual,
                          const std::vector<StoredRow> &Expected) {
    RC_ASSERT(Actual.size() == Expected.size());
    for (std::size_t Index = 0; Index < Actual.size(); ++Index) {
      RC_ASSERT(Actual[Index].Key_ == Expected[Index].Key_);
      RC_ASSERT(Actual[Index].Version_ == Expected[Index].Version_);
      RC_ASSERT(Actual[Index].Writer_ == Expected[Index].Writer_);
      RC_ASSERT(encodeRowValue(Actual[Index].Value_).value() ==
                encodeRowValue(Expected[Index].Value_).value());
    }
  }

  void compareAllRows() {
    std::vector<StoredRow> Expected;
    for (const RowKey &Key : Keys)
      if (std::optional<StoredRow> Row = Oracle_.read(Key))
        Expected.push_back(*Row);
    compareRows(Client_.read(Keys).value().Rows_, Expected);
    for (RowKind Kind : {RowKind::Head, RowKind::ShareLedger})
      compareRows(Client_.scan(Kind, "", SmallPageSize).value().Rows_,
                  Oracle_.scan(Kind));
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(the_client_and_a_table_in_memory_never_differ) {
  bool Holds = rc::check("outcomes, versions and rows agree", [] {
    OracleComparison Comparison;
    const int Steps = *rc::gen::inRange(1, 30);
    for (int Step = 0; Step < Steps; ++Step) {
      Comparison.commitRandomTransaction();
      Comparison.compareAllRows();
    }
  });
  BOOST_TEST(Holds);
}
