#include "filbertspring/platform/table_client.h"

#include "filbertspring/platform/row_codec.h"
#include "http_channel.h"
#include "table_codec.h"

#include <fmt/format.h>
#include <string>
#include <utility>

namespace filbertspring {
namespace {

void append(RowBatch &Target, RowBatch &&Source) {
  for (StoredRow &Row : Source.Rows_)
    Target.Rows_.push_back(std::move(Row));
  for (const Finding &Item : Source.Findings_.items())
    Target.Findings_.add(Item.Place_, Item.Problem_, Item.Allowed_);
}

CommitResult toCommitResult(const ChannelAnswer &Answer) {
  CommitResult Result;
  if (Answer.Status_ == StatusUnavailable) {
    Result.Outcome_ = CommitOutcome::NotCommitted;
  } else if (Answer.Status_ == StatusOk) {
    if (auto Version = decodeCommittedVersion(Answer.Body_))
      Result = {CommitOutcome::Committed, *Version, {}};
  } else if (Answer.Status_ == StatusConflict) {
    if (auto Keys = decodeConflictingKeys(Answer.Body_))
      Result = {CommitOutcome::Conflict, AbsentVersion, std::move(*Keys)};
  }
  return Result;
}

} // namespace

struct TableClient::Impl {
  Impl(HttpChannel Channel, CounterRegistry &Counters)
      : Channel_(std::move(Channel)),
        Reads_(Counters.counter("filbertspring_table_reads_total")),
        RowsRead_(Counters.counter("filbertspring_table_rows_read_total")),
        Writes_(Counters.counter("filbertspring_table_writes_total")),
        RowsWritten_(
            Counters.counter("filbertspring_table_rows_written_total")),
        ReadFailures_(failureCounter(Counters, "read")),
        WriteFailures_(failureCounter(Counters, "write")) {}

  static Counter &failureCounter(CounterRegistry &Counters,
                                 std::string_view Call) {
    return Counters.counter("filbertspring_table_failures_total",
                            fmt::format("call=\"{}\"", Call));
  }

  Result<RowPage> readPage(std::string_view Path,
                           const Result<std::string> &Body, TimePoint Deadline);
  Result<RowPage> sendRead(std::string_view Path, const std::string &Body,
                           TimePoint Deadline);
  CommitResult sendCommit(const Transaction &Request);

  HttpChannel Channel_;
  Counter &Reads_;
  Counter &RowsRead_;
  Counter &Writes_;
  Counter &RowsWritten_;
  Counter &ReadFailures_;
  Counter &WriteFailures_;
};

Result<RowPage> TableClient::Impl::sendRead(std::string_view Path,
                                            const std::string &Body,
                                            TimePoint Deadline) {
  auto Answer = Channel_.send({"POST", std::string(Path), Body}, Deadline);
  if (!Answer)
    return fail(Answer.error());
  if (Answer->Status_ != StatusOk)
    return fail(Errc::Unavailable);
  return decodeRowPage(Answer->Body_);
}

Result<RowPage> TableClient::Impl::readPage(std::string_view Path,
                                            const Result<std::string> &Body,
                                            TimePoint Deadline) {
  if (!Body)
    return fail(Body.error());
  Reads_.add();
  Result<RowPage> Page = sendRead(Path, *Body, Deadline);
  if (Page)
    RowsRead_.add(Page->Batch_.Rows_.size());
  else
    ReadFailures_.add();
  return Page;
}

CommitResult TableClient::Impl::sendCommit(const Transaction &Request) {
  Result<std::string> Body = encodeCommit(Request);
  if (!Body)
    return {CommitOutcome::NotCommitted, AbsentVersion, {}};
  auto Answer =
      Channel_.send({"POST", "/table/commit", *Body}, Channel_.deadline());
  if (Answer)
    return toCommitResult(*Answer);
  bool NotSent = Answer.error() == Errc::ConnectFailed;
  return {NotSent ? CommitOutcome::NotCommitted : CommitOutcome::Unknown,
          AbsentVersion,
          {}};
}

TableClient::TableClient(const Address &Platform, const ZoneName &Zone,
                         Duration Timeout, CounterRegistry &Counters)
    : Impl_(std::make_unique<Impl>(HttpChannel(Platform, Zone, Timeout),
                                   Counters)) {}

TableClient::~TableClient() = default;
TableClient::TableClient(TableClient &&) noexcept = default;
TableClient &TableClient::operator=(TableClient &&) noexcept = default;

Result<RowBatch> TableClient::read(const std::vector<RowKey> &Keys) {
  return Impl_
      ->readPage("/table/read", encodeRead(Keys), Impl_->Channel_.deadline())
      .map([](RowPage &&Page) { return std::move(Page.Batch_); });
}

Result<RowBatch> TableClient::scan(RowKind Kind, std::string_view NamePrefix,
                                   std::size_t PageSize) {
  TimePoint Deadline = Impl_->Channel_.deadline();
  ScanPosition Position{encodeRowKey({Kind, std::string(NamePrefix)}), "",
                        PageSize};
  RowBatch AllRows;
  for (;;) {
    Result<RowPage> Page =
        Impl_->readPage("/table/scan", encodeScan(Position), Deadline);
    if (!Page)
      return fail(Page.error());
    append(AllRows, std::move(Page->Batch_));
    if (!Page->More_)
      return AllRows;
    // A page that does not go beyond the previous one would repeat the scan
    // until the deadline.
    if (Page->LastKey_ <= Position.After_)
      return fail(Errc::InvalidJson);
    Position.After_ = std::move(Page->LastKey_);
  }
}

CommitResult TableClient::commit(const Transaction &Request) {
  Impl_->Writes_.add();
  CommitResult Result = Impl_->sendCommit(Request);
  if (Result.Outcome_ == CommitOutcome::Committed)
    Impl_->RowsWritten_.add(Request.Changes_.size());
  else if (Result.Outcome_ != CommitOutcome::Conflict)
    Impl_->WriteFailures_.add();
  return Result;
}

} // namespace filbertspring
