#include "filbertspring/platform/worker_client.h"

#include "filbertspring/platform/worker_codec.h"
#include "http_channel.h"

#include <string>
#include <utility>

namespace filbertspring {

struct WorkerClient::Impl {
  /// Sends \p Call and returns the body of the answer. Errors: ConnectFailed
  /// when no byte was sent; OutcomeUnknown for any other failure.
  Result<std::string> call(const ChannelCall &Call);

  HttpChannel Channel_;
};

Result<std::string> WorkerClient::Impl::call(const ChannelCall &Call) {
  auto Answer = Channel_.send(Call, Channel_.deadline());
  if (Answer && Answer->Status_ == StatusOk)
    return std::move(Answer->Body_);
  bool NotSent = !Answer && Answer.error() == Errc::ConnectFailed;
  return fail(NotSent ? Errc::ConnectFailed : Errc::OutcomeUnknown);
}

WorkerClient::WorkerClient(const Address &Worker, const ZoneName &Zone,
                           Duration Timeout)
    : Impl_(new Impl{HttpChannel(Worker, Zone, Timeout)}) {}

WorkerClient::~WorkerClient() = default;
WorkerClient::WorkerClient(WorkerClient &&) noexcept = default;
WorkerClient &WorkerClient::operator=(WorkerClient &&) noexcept = default;

Result<WorkerAnswer> WorkerClient::send(const WorkerCommands &Commands) {
  Result<std::string> Body = encodeWorkerCommands(Commands);
  if (!Body)
    return fail(Body.error());
  Result<std::string> Answer = Impl_->call({"POST", "/commands", *Body});
  if (!Answer)
    return fail(Answer.error());
  Result<WorkerAnswer> Decoded = decodeWorkerAnswer(*Answer);
  if (!Decoded)
    return fail(Errc::OutcomeUnknown);
  return Decoded;
}

Result<WorkerReport> WorkerClient::report() {
  Result<std::string> Answer = Impl_->call({"GET", "/report", ""});
  if (!Answer)
    return fail(Answer.error());
  Result<WorkerReport> Decoded = decodeWorkerReport(*Answer);
  if (!Decoded)
    return fail(Errc::OutcomeUnknown);
  return Decoded;
}

} // namespace filbertspring
