#ifndef FILBERTSPRING_STANDINS_RAW_TABLE_H
#define FILBERTSPRING_STANDINS_RAW_TABLE_H

/// \file
/// A transactional table of JSON values.

#include "filbertspring/standins/loopback_server.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace filbertspring {

/// Implements the table calls of docs/PROTOCOLS.md. The arguments are the
/// bodies of the calls; a malformed body throws nlohmann::json::exception.
class RawTable {
public:
  LoopbackReply read(const nlohmann::json &Body);
  LoopbackReply scan(const nlohmann::json &Body);
  LoopbackReply commit(const nlohmann::json &Body);
  /// Returns the counts since the start.
  LoopbackReply counts() const;

private:
  struct Row {
    std::int64_t Version_ = 0;
    std::string Writer_;
    nlohmann::json Value_;
  };
  using Rows = std::map<std::string, Row>;

  static nlohmann::json toJson(const Rows::value_type &Entry);
  std::int64_t versionOf(const std::string &Key) const;
  nlohmann::json conflictsOf(const nlohmann::json &Body) const;
  void apply(const nlohmann::json &Body);

  Rows Rows_;
  std::int64_t LastVersion_ = 0;
  std::uint64_t Reads_ = 0;
  std::uint64_t RowsRead_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t RowsWritten_ = 0;
  std::uint64_t Commits_ = 0;
  std::uint64_t Conflicts_ = 0;
};

} // namespace filbertspring

#endif // FILBERTSPRING_STANDINS_RAW_TABLE_H
