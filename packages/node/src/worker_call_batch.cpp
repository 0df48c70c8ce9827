#include "worker_call_batch.h"

#include "filbertspring/base/enum_table.h"
#include "filbertspring/base/error.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace filbertspring::node {
namespace {

/// The status code of a call without an answer; the body is the error's name.
constexpr std::uint64_t NoAnswerStatus = 0;

constexpr EnumTable<Errc, 3> FailureNames{{
    {Errc::ConnectFailed, "not-sent"},
    {Errc::DeadlineExceeded, "expired"},
    {Errc::OutcomeUnknown, "unknown"},
}};

/// Returns the error that is reported for a call which failed with \p Error.
Errc failureOf(const std::error_code &Error) {
  for (Errc Unsent : {Errc::ConnectFailed, Errc::DeadlineExceeded})
    if (Error == Unsent)
      return Unsent;
  return Errc::OutcomeUnknown;
}

/// Writes fields, each as its length, a colon and its bytes. Any bytes can be
/// part of a field, and nothing has to be escaped or searched.
class FieldWriter {
public:
  void add(std::string_view Field) {
    appendNumber(Field.size());
    Text_ += ':';
    Text_ += Field;
  }
  void add(std::uint64_t Number) {
    std::array<char, MaxDigits> Digits{};
    add(digitsOf(Number, Digits));
  }
  std::string take() { return std::move(Text_); }

private:
  static constexpr std::size_t MaxDigits = 20;

  static std::string_view digitsOf(std::uint64_t Number,
                                   std::array<char, MaxDigits> &Digits) {
    auto [End, Error] =
        std::to_chars(Digits.data(), Digits.data() + Digits.size(), Number);
    return {Digits.data(), static_cast<std::size_t>(End - Digits.data())};
  }
  void appendNumber(std::uint64_t Number) {
    std::array<char, MaxDigits> Digits{};
    Text_ += digitsOf(Number, Digits);
  }

  std::string Text_;
};

/// Reads the fields that a FieldWriter wrote. After the first malformed field
/// all further ones are empty and failed() is true.
class FieldReader {
public:
  explicit FieldReader(std::string_view Text) : Rest_(Text) {}

  bool isAtEnd() const { return Rest_.empty(); }
  bool failed() const { return HasFailed_; }

  std::string_view text() {
    std::size_t Length = 0;
    auto [End, Error] =
        std::from_chars(Rest_.data(), Rest_.data() + Rest_.size(), Length);
    auto Colon = static_cast<std::size_t>(End - Rest_.data());
    if (Error != std::errc() || Colon >= Rest_.size() || Rest_[Colon] != ':' ||
        Length > Rest_.size() - Colon - 1)
      return fail();
    std::string_view Field = Rest_.substr(Colon + 1, Length);
    Rest_.remove_prefix(Colon + 1 + Length);
    return Field;
  }

  std::uint64_t number() {
    std::string_view Field = text();
    std::uint64_t Number = 0;
    auto [End, Error] =
        std::from_chars(Field.data(), Field.data() + Field.size(), Number);
    if (Error != std::errc() || End != Field.data() + Field.size())
      fail();
    return Number;
  }

private:
  std::string_view fail() {
    HasFailed_ = true;
    Rest_ = {};
    return {};
  }

  std::string_view Rest_;
  bool HasFailed_ = false;
};

RelayedWorkerCall readCall(FieldReader &Reader) {
  RelayedWorkerCall Call;
  Call.Id_ = Reader.number();
  Call.Limits_.Timeout_ = std::chrono::milliseconds(Reader.number());
  Call.Limits_.SendBefore_ =
      TimePoint(Duration(static_cast<Duration::rep>(Reader.number())));
  Call.Address_ = Reader.text();
  Call.Request_.Method_ = "POST";
  Call.Request_.Path_ = Reader.text();
  std::uint64_t Headers = Reader.number();
  for (; Headers > 0 && !Reader.failed(); --Headers) {
    HttpField Field;
    Field.Name_ = Reader.text();
    Field.Value_ = Reader.text();
    Call.Request_.Headers_.push_back(std::move(Field));
  }
  Call.Request_.Body_ = Reader.text();
  return Call;
}

std::optional<RelayedWorkerAnswer> readAnswer(FieldReader &Reader) {
  std::uint64_t Id = Reader.number();
  std::uint64_t Code = Reader.number();
  std::string_view Body = Reader.text();
  if (Code == NoAnswerStatus) {
    std::optional<Errc> Error = valueOf(FailureNames, Body);
    if (!Error)
      return std::nullopt;
    return RelayedWorkerAnswer{Id, fail(*Error)};
  }
  HttpAnswer Answer;
  Answer.Status_ = static_cast<int>(Code);
  Answer.Body_ = Body;
  return RelayedWorkerAnswer{Id, std::move(Answer)};
}

} // namespace

std::string encodeWorkerCalls(const WorkerCallBatch &Batch) {
  FieldWriter Writer;
  Writer.add(Batch.OwnerAddress_);
  Writer.add(Batch.OwnerToken_);
  Writer.add(Batch.RelayProcess_);
  for (const RelayedWorkerCall &Call : Batch.Calls_) {
    Writer.add(Call.Id_);
    Writer.add(static_cast<std::uint64_t>(Call.Limits_.Timeout_ /
                                          std::chrono::milliseconds(1)));
    Writer.add(static_cast<std::uint64_t>(std::max<Duration::rep>(
        0, Call.Limits_.SendBefore_.time_since_epoch().count())));
    Writer.add(Call.Address_);
    Writer.add(Call.Request_.Path_);
    Writer.add(std::uint64_t{Call.Request_.Headers_.size()});
    for (const HttpField &Field : Call.Request_.Headers_) {
      Writer.add(Field.Name_);
      Writer.add(Field.Value_);
    }
    Writer.add(Call.Request_.Body_);
  }
  return Writer.take();
}

Result<WorkerCallBatch> decodeWorkerCalls(std::string_view Text) {
  FieldReader Reader(Text);
  WorkerCallBatch Batch;
  Batch.OwnerAddress_ = Reader.text();
  Batch.OwnerToken_ = Reader.number();
  Batch.RelayProcess_ = Reader.text();
  while (!Reader.isAtEnd())
    Batch.Calls_.push_back(readCall(Reader));
  if (Reader.failed() || Batch.OwnerAddress_.empty())
    return fail(Errc::InvalidInput);
  return Batch;
}

std::string encodeWorkerAnswers(const WorkerAnswerBatch &Batch) {
  FieldWriter Writer;
  Writer.add(Batch.OwnerToken_);
  for (const RelayedWorkerAnswer &Entry : Batch.Answers_) {
    Writer.add(Entry.Id_);
    if (Entry.Answer_) {
      Writer.add(static_cast<std::uint64_t>(Entry.Answer_->Status_));
      Writer.add(Entry.Answer_->Body_);
    } else {
      Writer.add(NoAnswerStatus);
      Writer.add(nameOf(FailureNames, failureOf(Entry.Answer_.error())));
    }
  }
  return Writer.take();
}

Result<WorkerAnswerBatch> decodeWorkerAnswers(std::string_view Text) {
  FieldReader Reader(Text);
  WorkerAnswerBatch Batch;
  Batch.OwnerToken_ = Reader.number();
  while (!Reader.isAtEnd()) {
    std::optional<RelayedWorkerAnswer> Answer = readAnswer(Reader);
    if (!Answer)
      return fail(Errc::InvalidInput);
    Batch.Answers_.push_back(std::move(*Answer));
  }
  if (Reader.failed())
    return fail(Errc::InvalidInput);
  return Batch;
}

} // namespace filbertspring::node
