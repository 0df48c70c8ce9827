#include "filbertspring/scheduling/queue_table.h"

namespace filbertspring::scheduling {

const Queue *QueueTable::match(std::string_view Host,
                               std::string_view Path) const {
  const Queue *LongestMatch = nullptr;
  for (const Queue &Candidate : Queues_) {
    if (Candidate.Host_ != Host || !Path.starts_with(Candidate.PathPrefix_))
      continue;
    if (!LongestMatch ||
        Candidate.PathPrefix_.size() > LongestMatch->PathPrefix_.size())
      LongestMatch = &Candidate;
  }
  return LongestMatch;
}

const Queue *QueueTable::find(std::string_view Name) const {
  for (const Queue &Candidate : Queues_)
    if (Candidate.Name_ == Name)
      return &Candidate;
  return nullptr;
}

} // namespace filbertspring::scheduling
