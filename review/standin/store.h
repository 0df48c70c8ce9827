#ifndef REVIEW_STANDIN_STORE_H
#define REVIEW_STANDIN_STORE_H

/// \file
/// The platform's store of rows: rows-tx, rows-get, rows-parts and rows-feed.

#include "http.h"

#include <condition_variable>
#include <map>
#include <tuple>

namespace review {

class Store {
public:
  Store();

  void start(const std::string &Ip) { Server_.start(Ip, 0); }
  void stop();
  std::uint16_t port() const { return Server_.port(); }

  /// Writes a row as the operator or an executor does. \p Value is plain text.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);
  /// Returns the plain text of a row, or an empty text.
  std::string get(const std::string &Table, const std::string &Part,
                  const std::string &Key);

private:
  using RowId = std::tuple<std::string, std::string, std::string>;
  struct StoredRow {
    /// In base64.
    std::string Value_;
    std::uint64_t Version_ = 0;
    bool IsRemoved_ = false;
  };

  std::optional<Answer> handle(const Request &Call);
  Answer transact(const Request &Call);
  Answer read(const Request &Call);
  Answer listParts(const Request &Call);
  Answer feed(const Request &Call);

  Server Server_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<RowId, StoredRow> Rows_;
  std::uint64_t Version_ = 1;
  bool IsStopping_ = false;
};

} // namespace review

#endif // REVIEW_STANDIN_STORE_H
