#include "request_keys.h"

#include <fmt/format.h>
#include <optional>
#include <set>
#include <xxhash.h>

namespace filbertspring {
namespace {

constexpr int MaxClaimAttempts = 4;
/// Longer answers are not stored; repeated requests then get the outcome
/// "unknown".
constexpr std::size_t MaxStoredAnswerBytes = std::size_t{64} << 10U;

RowKey requestKeyRow(const RequestKeyRecord &Record) {
  return {RowKind::RequestKey,
          fmt::format("{}/{}", Record.Contract_.str(), Record.Key_.str())};
}

/// Evaluates a row that already exists. Returns std::nullopt if the key may be
/// taken over, since the earlier request is known not to have run.
std::optional<KeyClaim>
evaluateStoredKey(const StoredRow &Row, const RequestKeyRecord &Wanted,
                  const std::set<TransactionId> &OwnTransactions) {
  const auto &Stored = std::get<RequestKeyRecord>(Row.Value_);
  if (OwnTransactions.contains(Row.Writer_))
    return KeyAcquired{Row.Version_, Stored};
  if (Stored.BodyDigest_ != Wanted.BodyDigest_)
    return KeyBodyMismatch{};
  if (Stored.State_ == RequestKeyState::Completed)
    return KeyCompleted{Stored};
  if (Stored.State_ == RequestKeyState::Started)
    return KeyOutcomeUnknown{};
  return std::nullopt;
}

void writeState(TableClientPool &Table, UniqueNameGenerator &Names,
                const KeyAcquired &Acquired, const RequestKeyRecord &Updated) {
  TransactionId Id(Names.next("key"));
  Table.commit(
      {Id, {}, {{requestKeyRow(Updated), Acquired.Version_, Updated}}});
}

} // namespace

std::string bodyDigest(const std::string &Body) {
  XXH128_hash_t Digest = XXH3_128bits(Body.data(), Body.size());
  return fmt::format("{:016x}{:016x}", Digest.high64, Digest.low64);
}

KeyClaim claimKey(TableClientPool &Table, UniqueNameGenerator &Names,
                  const RequestKeyRecord &Wanted) {
  RowKey Key = requestKeyRow(Wanted);
  RowVersion Expected = AbsentVersion;
  std::set<TransactionId> OwnTransactions;
  for (int Attempt = 0; Attempt < MaxClaimAttempts; ++Attempt) {
    TransactionId Id(Names.next("key"));
    OwnTransactions.insert(Id);
    CommitResult Commit = Table.commit({Id, {}, {{Key, Expected, Wanted}}});
    if (Commit.Outcome_ == CommitOutcome::Committed)
      return KeyAcquired{Commit.Version_, Wanted};
    if (Commit.Outcome_ == CommitOutcome::NotCommitted &&
        OwnTransactions.size() == 1)
      return KeyUnavailable{};
    Result<std::optional<StoredRow>> Row = Table.readRow(Key);
    if (!Row)
      return KeyUnavailable{};
    Expected = *Row ? (*Row)->Version_ : AbsentVersion;
    if (!*Row)
      continue;
    if (std::optional<KeyClaim> Claim =
            evaluateStoredKey(**Row, Wanted, OwnTransactions))
      return *Claim;
  }
  return KeyUnavailable{};
}

void completeKey(TableClientPool &Table, UniqueNameGenerator &Names,
                 const KeyAcquired &Acquired, const HttpAnswer &Answer) {
  if (Answer.Body_.size() > MaxStoredAnswerBytes)
    return;
  RequestKeyRecord Updated = Acquired.Record_;
  Updated.State_ = RequestKeyState::Completed;
  Updated.AnswerStatus_ = Answer.Status_;
  Updated.AnswerBody_ = Answer.Body_;
  writeState(Table, Names, Acquired, Updated);
}

void releaseKey(TableClientPool &Table, UniqueNameGenerator &Names,
                const KeyAcquired &Acquired) {
  RequestKeyRecord Updated = Acquired.Record_;
  Updated.State_ = RequestKeyState::NotRun;
  writeState(Table, Names, Acquired, Updated);
}

} // namespace filbertspring
