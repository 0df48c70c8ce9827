#include "store.h"

#include <nlohmann/json.hpp>

namespace review {
namespace {

using nlohmann::json;

/// The time that a transaction takes (TxMs), and that other answers take.
constexpr Milliseconds TransactionTime(8);
constexpr Milliseconds AnswerTime(4);
/// Limits of one answer of rows-get and of one transaction.
constexpr std::size_t MaxRows = 500;
constexpr std::size_t MaxBytes = 1'000'000;
constexpr std::size_t MaxEntries = 100;
constexpr std::size_t MaxKeyBytes = 200;
constexpr std::size_t MaxRowBytes = 65'536;

constexpr std::string_view Letters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &Plain) {
  std::string Text;
  for (std::size_t At = 0; At < Plain.size(); At += 3) {
    unsigned Group = 0;
    for (std::size_t Next = 0; Next < 3; ++Next)
      Group = Group << 8U | (At + Next < Plain.size()
                                 ? static_cast<unsigned char>(Plain[At + Next])
                                 : 0U);
    for (std::size_t Next = 0; Next < 4; ++Next)
      Text += At + Next <= Plain.size()
                  ? Letters[Group >> (18 - 6 * Next) & 63U]
                  : '=';
  }
  return Text;
}

std::string decodeBase64(const std::string &Text) {
  std::string Plain;
  unsigned Group = 0;
  unsigned Bits = 0;
  for (char Letter : Text) {
    std::size_t Value = Letters.find(Letter);
    if (Value == std::string_view::npos)
      break;
    Group = Group << 6U | static_cast<unsigned>(Value);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Plain += static_cast<char>(Group >> Bits & 255U);
  }
  return Plain;
}

std::string query(const Request &Call, const std::string &Name) {
  auto Found = Call.Query_.find(Name);
  return Found == Call.Query_.end() ? std::string() : Found->second;
}

std::uint64_t number(const Request &Call, const std::string &Name,
                     std::uint64_t Default) {
  std::string Text = query(Call, Name);
  return Text.empty() ? Default : std::strtoull(Text.c_str(), nullptr, 10);
}

std::int64_t nowMs() {
  return std::chrono::duration_cast<Milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

} // namespace

Store::Store()
    : Server_([this](const Request &Call) { return handle(Call); }) {}

void Store::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    IsStopping_ = true;
  }
  Changed_.notify_all();
  Server_.stop();
}

void Store::put(const std::string &Table, const std::string &Key,
                const std::string &Value) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Rows_[{Table, "", Key}] = {encodeBase64(Value), ++Version_, false};
  }
  Changed_.notify_all();
}

void Store::remove(const std::string &Table, const std::string &Key) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    auto Found = Rows_.find({Table, "", Key});
    if (Found == Rows_.end() || Found->second.IsRemoved_)
      return;
    Found->second = {"", ++Version_, true};
  }
  Changed_.notify_all();
}

std::string Store::get(const std::string &Table, const std::string &Part,
                       const std::string &Key) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto Found = Rows_.find({Table, Part, Key});
  return Found == Rows_.end() ? std::string()
                              : decodeBase64(Found->second.Value_);
}

std::optional<Answer> Store::handle(const Request &Call) {
  if (Call.Path_ == "/rows-tx")
    return transact(Call);
  std::this_thread::sleep_for(AnswerTime);
  if (Call.Path_ == "/rows-get")
    return read(Call);
  if (Call.Path_ == "/rows-parts")
    return listParts(Call);
  if (Call.Path_ == "/rows-feed")
    return feed(Call);
  return Answer{404, "{}"};
}

Answer Store::transact(const Request &Call) {
  std::this_thread::sleep_for(AnswerTime + TransactionTime);
  json Body = json::parse(Call.Body_, nullptr, false);
  if (!Body.is_object() || Call.Body_.size() > MaxBytes)
    return {400, "{}"};
  auto Id = [](const json &Entry) {
    return RowId(Entry.at("Table").get<std::string>(),
                 Entry.at("part").get<std::string>(),
                 Entry.at("Key").get<std::string>());
  };
  const json None = json::array();
  auto List = [&](const char *Name) -> const json & {
    return Body.contains(Name) ? Body[Name] : None;
  };
  std::size_t Entries = 0;
  std::set<std::string> Parts;
  for (const char *Name : {"Precondition", "Writes", "Remove"})
    for (const json &Entry : List(Name)) {
      RowId Key = Id(Entry);
      ++Entries;
      Parts.insert(std::get<1>(Key));
      if (std::get<2>(Key).size() > MaxKeyBytes)
        return {400, "{}"};
      if (Name == std::string("Precondition"))
        continue;
      if (std::get<0>(Key) == "op" || std::get<0>(Key) == "servers")
        return {403, "{}"};
    }
  if (Entries > MaxEntries || Parts.size() > 1)
    return {400, "{}"};
  json Reply;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    bool Holds = true;
    json Current = json::array();
    for (const json &Entry : List("Precondition")) {
      auto Found = Rows_.find(Id(Entry));
      bool IsThere = Found != Rows_.end() && !Found->second.IsRemoved_;
      std::uint64_t Version = IsThere ? Found->second.Version_ : 0;
      Holds &= Version == Entry.at("RecordVersion").get<std::uint64_t>();
      if (IsThere)
        Current.push_back({{"Table", Entry["Table"]},
                           {"part", Entry["part"]},
                           {"Key", Entry["Key"]},
                           {"Value", Found->second.Value_},
                           {"RecordVersion", Version}});
    }
    if (!Holds)
      return {412, json{{"rows", Current},
                        {"RecordVersion", Version_},
                        {"NowMs", nowMs()}}
                       .dump()};
    for (const json &Entry : List("Writes"))
      if (decodeBase64(Entry.at("Value").get<std::string>()).size() >
          MaxRowBytes)
        return {400, "{}"};
    ++Version_;
    for (const json &Entry : List("Writes"))
      Rows_[Id(Entry)] = {Entry.at("Value").get<std::string>(), Version_,
                          false};
    for (const json &Entry : List("Remove")) {
      auto Found = Rows_.find(Id(Entry));
      if (Found != Rows_.end() && !Found->second.IsRemoved_)
        Found->second = {"", Version_, true};
    }
    Reply = {{"RecordVersion", Version_}, {"NowMs", nowMs()}};
  }
  Changed_.notify_all();
  return {200, Reply.dump()};
}

Answer Store::read(const Request &Call) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::size_t Limit =
      std::min<std::size_t>(number(Call, "Limit", MaxRows), MaxRows);
  std::string Target = query(Call, "Target");
  json Rows = json::array();
  std::size_t Bytes = 0;
  bool IsTruncated = false;
  RowId From{query(Call, "Table"), query(Call, "part"), query(Call, "From")};
  for (auto Next = Rows_.lower_bound(From); Next != Rows_.end(); ++Next) {
    const auto &[Table, Part, Key] = Next->first;
    if (Table != std::get<0>(From) || Part != std::get<1>(From) ||
        (!Target.empty() && Key >= Target))
      break;
    if (Next->second.IsRemoved_)
      continue;
    Bytes += Next->second.Value_.size() + Key.size() + 100;
    IsTruncated = Rows.size() == Limit || (Bytes > MaxBytes && !Rows.empty());
    if (IsTruncated)
      break;
    Rows.push_back({{"Table", Table},
                    {"part", Part},
                    {"Key", Key},
                    {"Value", Next->second.Value_},
                    {"RecordVersion", Next->second.Version_}});
  }
  json Reply = {
      {"rows", Rows}, {"RecordVersion", Version_}, {"NowMs", nowMs()}};
  if (IsTruncated)
    Reply["Truncated"] = true;
  return {200, Reply.dump()};
}

Answer Store::listParts(const Request &Call) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::set<std::string> Parts;
  for (const auto &[Id, Row] : Rows_)
    if (std::get<0>(Id) == query(Call, "Table") && !Row.IsRemoved_ &&
        std::get<1>(Id) > query(Call, "After"))
      Parts.insert(std::get<1>(Id));
  return {200, json{{"parts", Parts}}.dump()};
}

Answer Store::feed(const Request &Call) {
  std::string Table = query(Call, "Table");
  std::uint64_t After = number(Call, "After", 0);
  auto Deadline = Clock::now() + Milliseconds(number(Call, "WaitMs", 0));
  std::unique_lock<std::mutex> Lock(Mutex_);
  while (true) {
    std::multimap<std::uint64_t, json> Changes;
    for (const auto &[Id, Row] : Rows_) {
      if (std::get<0>(Id) != Table || Row.Version_ <= After)
        continue;
      json Change = {{"Table", Table},
                     {"part", std::get<1>(Id)},
                     {"Key", std::get<2>(Id)},
                     {"RecordVersion", Row.Version_}};
      if (Row.IsRemoved_)
        Change["Deleted"] = true;
      else
        Change["Value"] = Row.Value_;
      Changes.emplace(Row.Version_, std::move(Change));
    }
    if (!Changes.empty() || IsStopping_ || Clock::now() >= Deadline) {
      json Rows = json::array();
      for (auto &[Version, Change] : Changes)
        Rows.push_back(std::move(Change));
      return {
          200,
          json{{"rows", Rows}, {"RecordVersion", Version_}, {"NowMs", nowMs()}}
              .dump()};
    }
    Changed_.wait_until(Lock, Deadline);
  }
}

} // namespace review
