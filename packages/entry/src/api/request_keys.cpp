#include "request_keys.h"

#include <fmt/format.h>
#include <optional>
#include <set>
#include <xxhash.h>

namespace filbertspring {
namespace {

constexpr int MaxTries = 4;
/// Longer answers are not stored; repeats then get an unknown outcome.
constexpr std::size_t MaxStoredAnswer = std::size_t{64} << 10U;

RowKey keyOf(const RequestKeyRecord &Record) {
  return {RowKind::RequestKey,
          fmt::format("{}/{}", Record.Contract_.str(), Record.Key_.str())};
}

/// Judges a row that is already there. Returns nothing when the key may be
/// taken over from a request that surely did not run.
std::optional<KeyClaim> judge(const StoredRow &Row,
                              const RequestKeyRecord &Wanted,
                              const std::set<TransactionId> &Own) {
  const auto &Stored = std::get<RequestKeyRecord>(Row.Value_);
  if (Own.contains(Row.Writer_))
    return KeyHeld{Row.Version_, Stored};
  if (Stored.BodyDigest_ != Wanted.BodyDigest_)
    return KeyOfOther{};
  if (Stored.State_ == RequestKeyState::Completed)
    return KeyCompleted{Stored};
  if (Stored.State_ == RequestKeyState::Started)
    return KeyUnsettled{};
  return std::nullopt;
}

void writeState(TableDesk &Table, NameMaker &Names, const KeyHeld &Held,
                const RequestKeyRecord &Next) {
  TransactionId Id(Names.next("key"));
  Table.commit({Id, {}, {{keyOf(Next), Held.Version_, Next}}});
}

} // namespace

std::string bodyDigest(const std::string &Body) {
  XXH128_hash_t Digest = XXH3_128bits(Body.data(), Body.size());
  return fmt::format("{:016x}{:016x}", Digest.high64, Digest.low64);
}

KeyClaim claimKey(TableDesk &Table, NameMaker &Names,
                  const RequestKeyRecord &Wanted) {
  RowKey Key = keyOf(Wanted);
  RowVersion Expected = AbsentVersion;
  std::set<TransactionId> Own;
  for (int Try = 0; Try < MaxTries; ++Try) {
    TransactionId Id(Names.next("key"));
    Own.insert(Id);
    CommitResult Commit = Table.commit({Id, {}, {{Key, Expected, Wanted}}});
    if (Commit.Outcome_ == CommitOutcome::Committed)
      return KeyHeld{Commit.Version_, Wanted};
    if (Commit.Outcome_ == CommitOutcome::NotCommitted && Own.size() == 1)
      return KeyUnavailable{};
    Result<std::optional<StoredRow>> Row = Table.readRow(Key);
    if (!Row)
      return KeyUnavailable{};
    Expected = *Row ? (*Row)->Version_ : AbsentVersion;
    if (!*Row)
      continue;
    if (std::optional<KeyClaim> Claim = judge(**Row, Wanted, Own))
      return *Claim;
  }
  return KeyUnavailable{};
}

void completeKey(TableDesk &Table, NameMaker &Names, const KeyHeld &Held,
                 const HttpAnswer &Answer) {
  if (Answer.Body_.size() > MaxStoredAnswer)
    return;
  RequestKeyRecord Next = Held.Record_;
  Next.State_ = RequestKeyState::Completed;
  Next.AnswerStatus_ = Answer.Status_;
  Next.AnswerBody_ = Answer.Body_;
  writeState(Table, Names, Held, Next);
}

void releaseKey(TableDesk &Table, NameMaker &Names, const KeyHeld &Held) {
  RequestKeyRecord Next = Held.Record_;
  Next.State_ = RequestKeyState::NotRun;
  writeState(Table, Names, Held, Next);
}

} // namespace filbertspring
