#include "refusal.h"

#include <fmt/format.h>

namespace filbertspring {

HttpAnswer refuse(Refusal Reason, std::string_view RequestId) {
  const RefusalRow &Row = refusalRow(Reason);
  HttpAnswer Answer;
  Answer.Status_ = Row.Status_;
  Answer.Headers_ = {{"x-request-id", std::string(RequestId)},
                     {"x-outcome", "not-run"},
                     {"x-reason", std::string(Row.Name_)}};
  if (Row.RetryAfterMs_ > 0)
    Answer.Headers_.push_back(
        {"retry-after-ms", std::to_string(Row.RetryAfterMs_)});
  Answer.Body_ =
      fmt::format(R"({{"outcome":"not-run","reason":"{}"}})", Row.Name_);
  return Answer;
}

} // namespace filbertspring
