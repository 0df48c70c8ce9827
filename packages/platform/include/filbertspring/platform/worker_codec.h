#ifndef FILBERTSPRING_PLATFORM_WORKER_CODEC_H
#define FILBERTSPRING_PLATFORM_WORKER_CODEC_H

/// \file
/// JSON documents of the messages between an entry instance and a worker.
///
/// Encoding fails with InvalidInput for text that is not UTF-8 and for numbers
/// that are not finite. Decoding fails with InvalidJson for bad syntax, a
/// missing field, a wrong type, a number out of range or an unknown enumeration
/// name; unknown fields are ignored.

#include "filbertspring/base/result.h"
#include "filbertspring/domain/worker_protocol.h"

#include <string>
#include <string_view>

namespace filbertspring {

/// Returns the JSON document of \p Commands. Errors: InvalidInput.
Result<std::string> encodeWorkerCommands(const WorkerCommands &Commands);
/// Returns the JSON document of \p Answer. Errors: InvalidInput.
Result<std::string> encodeWorkerAnswer(const WorkerAnswer &Answer);
/// Returns the JSON document of \p Report. Errors: InvalidInput.
Result<std::string> encodeWorkerReport(const WorkerReport &Report);

/// Parses a JSON document of commands. Errors: InvalidJson.
Result<WorkerCommands> decodeWorkerCommands(std::string_view Text);
/// Parses a JSON document of an answer. Errors: InvalidJson.
Result<WorkerAnswer> decodeWorkerAnswer(std::string_view Text);
/// Parses a JSON document of a report. Errors: InvalidJson.
Result<WorkerReport> decodeWorkerReport(std::string_view Text);

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_WORKER_CODEC_H
