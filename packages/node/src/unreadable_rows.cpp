#include "unreadable_rows.h"

#include "filbertspring/base/log.h"

namespace filbertspring::node {
namespace {

/// Bounds the memory. Further rows are logged at each read.
constexpr std::size_t MaxRows = 10'000;

std::string nameOf(const scheduling::RowKey &Key) {
  return Key.Table_ + '/' + Key.Partition_ + '/' + Key.Key_;
}

} // namespace

void UnreadableRows::add(const scheduling::RowKey &Key) {
  std::string Name = nameOf(Key);
  if (Rows_.contains(Name))
    return;
  logEvent(LogEvent::ForeignRow, {{"table", Key.Table_}, {"key", Key.Key_}});
  if (Rows_.size() < MaxRows)
    Rows_.insert(std::move(Name));
}

void UnreadableRows::remove(const scheduling::RowKey &Key) {
  if (!Rows_.empty())
    Rows_.erase(nameOf(Key));
}

} // namespace filbertspring::node
