#include "table_client_pool.h"

#include "filbertspring/base/overloaded.h"

#include <future>
#include <memory>

namespace filbertspring {
namespace {

void rejectOperation(TableOperation &Operation) {
  std::visit(
      Overloaded{
          [](TableRead &Read) { Read.Done_(fail(Errc::Unavailable)); },
          [](TableScan &Scan) { Scan.Done_(fail(Errc::Unavailable)); },
          [](TableCommit &Commit) {
            Commit.Done_({CommitOutcome::NotCommitted, AbsentVersion, {}});
          }},
      Operation);
}

void perform(TableOperation &Operation, TableClient &Client) {
  std::visit(Overloaded{[&Client](TableRead &Read) {
                          Read.Done_(Client.read(Read.Keys_));
                        },
                        [&Client](TableScan &Scan) {
                          Scan.Done_(Client.scan(Scan.Kind_, Scan.Prefix_));
                        },
                        [&Client](TableCommit &Commit) {
                          Commit.Done_(Client.commit(Commit.Request_));
                        }},
             Operation);
}

/// Returns a callback that fulfils \p Promise.
template <typename T> auto fulfil(std::shared_ptr<std::promise<T>> Promise) {
  return [Promise = std::move(Promise)](T Value) {
    Promise->set_value(std::move(Value));
  };
}

} // namespace

TableClientPool::TableClientPool(const Settings &Values, std::size_t Threads,
                                 CounterRegistry &Counters)
    : Operations_(RingCapacity) {
  Threads_.reserve(Threads);
  for (std::size_t Index = 0; Index < Threads; ++Index) {
    TableClient Client(Values.Platform_.Address_, Values.Zone_,
                       Values.Platform_.Timeout_, Counters);
    Threads_.emplace_back(
        [this, OwnedClient = std::make_shared<TableClient>(std::move(Client))] {
          run(std::move(*OwnedClient));
        });
  }
}

TableClientPool::~TableClientPool() { stop(); }

void TableClientPool::post(TableOperation Operation) {
  if (!Operations_.tryPush(Operation))
    rejectOperation(Operation);
}

void TableClientPool::run(TableClient Client) {
  while (std::optional<TableOperation> Operation = Operations_.pop())
    perform(*Operation, Client);
}

Result<RowBatch> TableClientPool::read(std::vector<RowKey> Keys) {
  auto Promise = std::make_shared<std::promise<Result<RowBatch>>>();
  std::future<Result<RowBatch>> Answer = Promise->get_future();
  post(TableRead{std::move(Keys), fulfil(Promise)});
  return Answer.get();
}

Result<std::optional<StoredRow>> TableClientPool::readRow(const RowKey &Key) {
  Result<RowBatch> Batch = read({Key});
  if (!Batch)
    return fail(Batch.error());
  if (!Batch->Findings_.empty())
    return fail(Errc::InvalidJson);
  if (Batch->Rows_.empty())
    return std::optional<StoredRow>();
  return std::optional<StoredRow>(std::move(Batch->Rows_.front()));
}

Result<RowBatch> TableClientPool::scan(RowKind Kind, std::string Prefix) {
  auto Promise = std::make_shared<std::promise<Result<RowBatch>>>();
  std::future<Result<RowBatch>> Answer = Promise->get_future();
  post(TableScan{Kind, std::move(Prefix), fulfil(Promise)});
  return Answer.get();
}

CommitResult TableClientPool::commit(Transaction Request) {
  auto Promise = std::make_shared<std::promise<CommitResult>>();
  std::future<CommitResult> Answer = Promise->get_future();
  post(TableCommit{std::move(Request), fulfil(Promise)});
  return Answer.get();
}

void TableClientPool::stop() {
  Operations_.close();
  for (std::thread &Thread : Threads_)
    Thread.join();
  Threads_.clear();
}

} // namespace filbertspring
