#include "raw_table.h"

namespace filbertspring {

using Json = nlohmann::json;

LoopbackReply RawTable::read(const Json &Body) {
  ++Reads_;
  Json Found = Json::array();
  for (const Json &Key : Body.at("keys"))
    if (auto Entry = Rows_.find(Key.get<std::string>()); Entry != Rows_.end())
      Found.push_back(toJson(*Entry));
  RowsRead_ += Found.size();
  return {200, Json{{"rows", std::move(Found)}}.dump()};
}

LoopbackReply RawTable::scan(const Json &Body) {
  ++Reads_;
  auto Prefix = Body.at("prefix").get<std::string>();
  auto After = Body.at("after").get<std::string>();
  auto Limit = Body.at("limit").get<std::size_t>();
  auto Entry =
      After < Prefix ? Rows_.lower_bound(Prefix) : Rows_.upper_bound(After);
  Json Found = Json::array();
  auto Matches = [&] {
    return Entry != Rows_.end() && Entry->first.starts_with(Prefix);
  };
  for (; Matches() && Found.size() < Limit; ++Entry)
    Found.push_back(toJson(*Entry));
  RowsRead_ += Found.size();
  return {200, Json{{"rows", std::move(Found)}, {"more", Matches()}}.dump()};
}

LoopbackReply RawTable::commit(const Json &Body) {
  ++Writes_;
  Json Conflicts = conflictsOf(Body);
  if (!Conflicts.empty()) {
    ++Conflicts_;
    return {409, Json{{"conflicts", std::move(Conflicts)}}.dump()};
  }
  apply(Body);
  return {200, Json{{"version", LastVersion_}}.dump()};
}

LoopbackReply RawTable::counts() const {
  Json Counts = {{"reads", Reads_},     {"rows_read", RowsRead_},
                 {"writes", Writes_},   {"rows_written", RowsWritten_},
                 {"commits", Commits_}, {"conflicts", Conflicts_}};
  return {200, Counts.dump()};
}

Json RawTable::toJson(const Rows::value_type &Entry) {
  const auto &[Key, Row] = Entry;
  return {{"key", Key},
          {"version", Row.Version_},
          {"writer", Row.Writer_},
          {"value", Row.Value_}};
}

std::int64_t RawTable::versionOf(const std::string &Key) const {
  auto Found = Rows_.find(Key);
  return Found == Rows_.end() ? 0 : Found->second.Version_;
}

Json RawTable::conflictsOf(const Json &Body) const {
  Json Conflicts = Json::array();
  for (const char *List : {"guards", "changes"})
    for (const Json &Each : Body.at(List)) {
      auto Key = Each.at("key").get<std::string>();
      if (versionOf(Key) != Each.at("version").get<std::int64_t>())
        Conflicts.push_back(Key);
    }
  return Conflicts;
}

void RawTable::apply(const Json &Body) {
  // Validated before the first row changes, so a malformed body has no effect.
  auto Writer = Body.at("id").get<std::string>();
  for (const Json &Each : Body.at("changes"))
    (void)Each.at("value");
  ++Commits_;
  ++LastVersion_;
  for (const Json &Each : Body.at("changes")) {
    ++RowsWritten_;
    auto Key = Each.at("key").get<std::string>();
    if (Each.at("value").is_null())
      Rows_.erase(Key);
    else
      Rows_[Key] = {LastVersion_, Writer, Each.at("value")};
  }
}

} // namespace filbertspring
