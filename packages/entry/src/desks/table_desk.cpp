#include "table_desk.h"

#include "filbertspring/base/overloaded.h"

#include <future>
#include <memory>

namespace filbertspring {
namespace {

void refuse(TableJob &Job) {
  std::visit(
      Overloaded{[](TableRead &Each) { Each.Done_(fail(Errc::Unavailable)); },
                 [](TableScan &Each) { Each.Done_(fail(Errc::Unavailable)); },
                 [](TableCommit &Each) {
                   Each.Done_({CommitOutcome::NotCommitted, AbsentVersion, {}});
                 }},
      Job);
}

void perform(TableJob &Job, TableClient &Client) {
  std::visit(Overloaded{[&Client](TableRead &Each) {
                          Each.Done_(Client.read(Each.Keys_));
                        },
                        [&Client](TableScan &Each) {
                          Each.Done_(Client.scan(Each.Kind_, Each.Prefix_));
                        },
                        [&Client](TableCommit &Each) {
                          Each.Done_(Client.commit(Each.Request_));
                        }},
             Job);
}

/// Makes a callback that fulfils \p Promise.
template <typename T> auto fulfil(std::shared_ptr<std::promise<T>> Promise) {
  return [Promise = std::move(Promise)](T Value) {
    Promise->set_value(std::move(Value));
  };
}

} // namespace

TableDesk::TableDesk(const Settings &Values, std::size_t Threads,
                     CounterRegistry &Counters)
    : Jobs_(RingCapacity) {
  Threads_.reserve(Threads);
  for (std::size_t Index = 0; Index < Threads; ++Index) {
    TableClient Client(Values.Platform_.Address_, Values.Zone_,
                       Values.Platform_.Timeout_, Counters);
    Threads_.emplace_back(
        [this, Owned = std::make_shared<TableClient>(std::move(Client))] {
          run(std::move(*Owned));
        });
  }
}

TableDesk::~TableDesk() { stop(); }

void TableDesk::post(TableJob Job) {
  if (!Jobs_.tryPush(Job))
    refuse(Job);
}

void TableDesk::run(TableClient Client) {
  while (std::optional<TableJob> Job = Jobs_.pop())
    perform(*Job, Client);
}

Result<RowBatch> TableDesk::read(std::vector<RowKey> Keys) {
  auto Promise = std::make_shared<std::promise<Result<RowBatch>>>();
  std::future<Result<RowBatch>> Answer = Promise->get_future();
  post(TableRead{std::move(Keys), fulfil(Promise)});
  return Answer.get();
}

Result<std::optional<StoredRow>> TableDesk::readRow(const RowKey &Key) {
  Result<RowBatch> Batch = read({Key});
  if (!Batch)
    return fail(Batch.error());
  if (!Batch->Findings_.empty())
    return fail(Errc::InvalidJson);
  if (Batch->Rows_.empty())
    return std::optional<StoredRow>();
  return std::optional<StoredRow>(std::move(Batch->Rows_.front()));
}

Result<RowBatch> TableDesk::scan(RowKind Kind, std::string Prefix) {
  auto Promise = std::make_shared<std::promise<Result<RowBatch>>>();
  std::future<Result<RowBatch>> Answer = Promise->get_future();
  post(TableScan{Kind, std::move(Prefix), fulfil(Promise)});
  return Answer.get();
}

CommitResult TableDesk::commit(Transaction Request) {
  auto Promise = std::make_shared<std::promise<CommitResult>>();
  std::future<CommitResult> Answer = Promise->get_future();
  post(TableCommit{std::move(Request), fulfil(Promise)});
  return Answer.get();
}

void TableDesk::stop() {
  Jobs_.close();
  for (std::thread &Each : Threads_)
    Each.join();
  Threads_.clear();
}

} // namespace filbertspring
