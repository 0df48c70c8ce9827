#include "filbertspring/domain/watch.h"

#include <algorithm>

namespace filbertspring {

Result<Watch> Watch::restore(WatchRecord Record) {
  auto Pending = static_cast<std::int64_t>(Record.Events_.size());
  std::int64_t Expected = Record.NextSequence_ - Pending;
  if (Expected < 1)
    return fail(Errc::InvalidInput);
  for (const WatchEvent &Event : Record.Events_)
    if (Event.Sequence_ != Expected++)
      return fail(Errc::InvalidInput);
  return Watch(std::move(Record));
}

Status Watch::append(std::string Payload) {
  if (Record_.Closed_)
    return fail(Errc::InvalidTransition);
  if (Record_.Events_.size() >= MaxPending)
    return fail(Errc::QueueFull);
  Record_.Events_.push_back({Record_.NextSequence_++, std::move(Payload)});
  return {};
}

Status Watch::acknowledge(std::int64_t Cursor) {
  if (Cursor >= Record_.NextSequence_)
    return fail(Errc::InvalidInput);
  std::erase_if(Record_.Events_, [Cursor](const WatchEvent &Event) {
    return Event.Sequence_ <= Cursor;
  });
  return {};
}

std::vector<WatchEvent> Watch::after(std::int64_t Cursor) const {
  std::vector<WatchEvent> Newer;
  std::ranges::copy_if(
      Record_.Events_, std::back_inserter(Newer),
      [Cursor](const WatchEvent &Event) { return Event.Sequence_ > Cursor; });
  return Newer;
}

} // namespace filbertspring
