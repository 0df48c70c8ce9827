#include "client_limits.h"

#include "filbertspring/base/log.h"
#include "worker_call_batch.h"

#include <algorithm>
#include <fmt/format.h>

namespace filbertspring::node {
namespace {

constexpr double BytesPerMb = 1024.0 * 1024.0;
/// The part of the memory for the messages of callers.
constexpr double CallerShare = 0.25;
/// The part of the memory for the socket buffers of callers.
constexpr double SocketShare = 0.4;
/// The system doubles these sizes. The larger one lets a body of legal size
/// arrive at 10 Mbit/s over a path of 25 ms; responses are small.
constexpr int ReceiveBufferBytes = 32 << 10;
constexpr int SendBufferBytes = 16 << 10;
constexpr double SocketBytes = 2.0 * (ReceiveBufferBytes + SendBufferBytes);
/// Descriptors that are reserved for files.
constexpr double FileDescriptors = 200;
/// The part of the other descriptors for callers. The rest is for the store,
/// workers and peers.
constexpr double CallerDescriptorShare = 0.5;
constexpr double MaxCallerConnections = 2000;
/// The platform calls the readiness address once a second; few collect metrics.
constexpr double MaxReadinessConnections = 64;
constexpr double MaxMetricsConnections = 16;
/// Requests to these listeners have no body; the metrics are about 100 kB.
constexpr std::size_t MaxProbeBodyBytes = 1024;
constexpr std::size_t ReadinessBytes = 1U << 20U;
constexpr std::size_t MetricsBytes = 2U << 20U;

constexpr Duration LogInterval = std::chrono::seconds(1);

std::size_t wholeNumber(double Value) {
  return static_cast<std::size_t>(std::max(Value, 1.0));
}

AsyncServerLimits probeLimits(double Connections) {
  AsyncServerLimits Limits;
  Limits.MaxBodyBytes_ = MaxProbeBodyBytes;
  Limits.MaxConnections_ = wholeNumber(Connections);
  Limits.ReceiveBufferBytes_ = ReceiveBufferBytes;
  Limits.SendBufferBytes_ = SendBufferBytes;
  return Limits;
}

} // namespace

ClientLimits deriveClientLimits(double MemoryMb, double Descriptors) {
  double Bytes = MemoryMb * BytesPerMb;
  double Shared = Descriptors - FileDescriptors;
  ClientLimits Limits;
  Limits.CallerBytes_ = wholeNumber(Bytes * CallerShare);
  Limits.ReadinessBytes_ = ReadinessBytes;
  Limits.MetricsBytes_ = MetricsBytes;
  Limits.Callers_.MaxConnections_ = wholeNumber(
      std::min({MaxCallerConnections, Bytes * SocketShare / SocketBytes,
                Shared * CallerDescriptorShare}));
  Limits.Callers_.ReceiveBufferBytes_ = ReceiveBufferBytes;
  Limits.Callers_.SendBufferBytes_ = SendBufferBytes;
  Limits.Readiness_ =
      probeLimits(std::min(MaxReadinessConnections, Shared / 8));
  Limits.Metrics_ = probeLimits(std::min(MaxMetricsConnections, Shared / 16));
  return Limits;
}

AsyncServerLimits peerLimits() {
  AsyncServerLimits Limits;
  Limits.MaxBodyBytes_ = 4 * MaxBatchBytes;
  Limits.HeaderTimeout_ = Limits.IdleTimeout_;
  // Slow links are tolerated, but a peer that has vanished without closing its
  // connection would hold it for ever.
  Limits.MinBodyRate_ = 1024;
  Limits.BodyGrace_ = Limits.IdleTimeout_;
  Limits.WriteTimeout_ = Limits.IdleTimeout_;
  return Limits;
}

void RefusalLog::note(std::string_view Listener, ClientRefusal Reason,
                      TimePoint Now) {
  Kind &Noted = Kinds_[{Listener, Reason}];
  std::string_view Name = nameOf(ClientRefusalNames, Reason);
  if (!Noted.Counter_)
    Noted.Counter_ = &Counters_.counter(
        "client_refusals_total",
        fmt::format("listener=\"{}\",reason=\"{}\"", Listener, Name));
  Noted.Counter_->add();
  ++Noted.Count_;
  if (Noted.LoggedAt_ != TimePoint{} && Now - Noted.LoggedAt_ < LogInterval)
    return;
  logEvent(LogEvent::CallerRejected,
           {{"listener", Listener}, {"reason", Name}, {"times", Noted.Count_}});
  Noted.Count_ = 0;
  Noted.LoggedAt_ = Now;
}

} // namespace filbertspring::node
