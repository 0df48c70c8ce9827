#ifndef FILBERTSPRING_NODE_WORKER_CALL_BATCH_H
#define FILBERTSPRING_NODE_WORKER_CALL_BATCH_H

/// \file
/// Encoding of calls to workers that another instance makes for the cell's
/// owner, and of their answers.

#include "filbertspring/base/result.h"
#include "filbertspring/base/time.h"
#include "filbertspring/transport/async_http_client.h"
#include "filbertspring/transport/http_message.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbertspring::node {

/// The path of batches of calls at the address for other instances.
inline constexpr std::string_view WorkerCallsPath = "/worker-calls";
/// The path of batches of answers at the address for other instances. A batch
/// of calls can also be answered with a batch of answers.
inline constexpr std::string_view WorkerAnswersPath = "/worker-answers";
/// Batches are sent when they have reached this size. An instance accepts
/// requests of four times this size.
inline constexpr std::size_t MaxBatchBytes = 128U << 10U;

/// A call to a worker on behalf of the owner.
struct RelayedWorkerCall {
  /// Identifies the call within the tenure.
  std::uint64_t Id_ = 0;
  std::string Address_;
  HttpRequest Request_;
  /// The sending limit is on the clock of the instance that makes the call.
  CallLimits Limits_;
};

/// Headers of the answer to a batch: the process of the relay, and its
/// SchedulerClock in microseconds when it answered.
inline constexpr const char *RelayProcessHeader = "Relay-Process";
inline constexpr const char *RelayClockHeader = "Relay-Clock-Us";
/// The status of the answer to a batch whose sending limits refer to the clock
/// of another process. None of its calls was made.
inline constexpr int OtherRelayProcessStatus = 409;

/// Calls of one owner to one relay.
struct WorkerCallBatch {
  /// The address to which the answers are sent.
  std::string OwnerAddress_;
  /// The fencing token of the tenure to which the calls belong.
  std::uint64_t OwnerToken_ = 0;
  /// The process of the relay to whose clock the sending limits refer; empty if
  /// the owner does not know that clock.
  std::string RelayProcess_;
  std::vector<RelayedWorkerCall> Calls_;
};

/// The answer to one call, or the error of AsyncHttpClient.
struct RelayedWorkerAnswer {
  std::uint64_t Id_ = 0;
  Result<HttpAnswer> Answer_;
};

/// Answers of one relay to one owner.
struct WorkerAnswerBatch {
  std::uint64_t OwnerToken_ = 0;
  std::vector<RelayedWorkerAnswer> Answers_;
};

std::string encodeWorkerCalls(const WorkerCallBatch &Batch);
std::string encodeWorkerAnswers(const WorkerAnswerBatch &Batch);
/// Decode a batch. Return Errc::InvalidInput if any part of it has another
/// form.
Result<WorkerCallBatch> decodeWorkerCalls(std::string_view Text);
Result<WorkerAnswerBatch> decodeWorkerAnswers(std::string_view Text);

} // namespace filbertspring::node

#endif // FILBERTSPRING_NODE_WORKER_CALL_BATCH_H
