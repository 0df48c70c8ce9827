#include "peers_bytes.h"

#include "filbertspring/membership.h"
#include "filbertspring/transport/peer_links.h"
#include "filbertspring/transport/peer_server.h"

#include "statistics.h"

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <map>

namespace filbertspring::benchmark {

namespace {

using membership::DigestBuilder;
using membership::InstancePlace;

constexpr double TargetBytesPerSecond = 6000;
/// TCP and IP headers of a message, its answer and their acknowledgements.
constexpr std::size_t PacketBytesPerMessage = 4 * 52;
/// A PING frame and its answer; one is sent between two digests on a link
/// whose digests are further apart than the ping interval.
constexpr std::size_t PingBytes = 2 * 17 + PacketBytesPerMessage;
constexpr int Contracts = 42;

/// The size of a cluster and the rate of demand changes.
struct ClusterShape {
  int Instances_ = 0;
  int Zones_ = 0;
  int Executors_ = 0;
  /// Probability per second, in permille, that a demand changes.
  std::uint32_t DemandChangePermille_ = 0;
};

/// Traffic of one node per second, both directions together.
struct Traffic {
  double MeanBytes_ = 0;
  double MaxBytes_ = 0;
  double Messages_ = 0;
};

/// Returns the HTTP/2 bytes around a message, both ways, counted on real
/// streams over loopback.
double framingBytes() {
  constexpr std::size_t Count = 2000;
  constexpr std::size_t MessageBytes = 100;
  PeerMessageRing Ring(4096);
  auto Server = PeerServer::start({"127.0.0.1", 0}, Ring);
  if (!Server)
    return 0;
  const InstanceName Peer("entry-zone-1-2");
  PeerLinks Links(InstanceName("entry-zone-1-1"));
  Links.setPeers({{Peer, (*Server)->address()}});
  for (std::size_t Number = 0; Number < Count; ++Number) {
    Links.send(Peer, std::string(MessageBytes, 'x'));
    if (!Ring.popFor(std::chrono::seconds(5)))
      return 0;
  }
  constexpr double AnswerBytes = 10; // A frame header and an indexed status.
  const double Sent = static_cast<double>((*Server)->counts().BytesReceived_);
  return Sent / Count - MessageBytes + AnswerBytes;
}

/// A cluster whose instances exchange digests.
class DigestCluster {
public:
  DigestCluster(const ClusterShape &Size, std::uint64_t Seed);
  Traffic run(int Seconds, double Framing);

private:
  void changeState();
  void exchangeDigests(int Second, double Framing);

  ClusterShape Size_;
  pcg64 Random_;
  std::vector<InstancePlace> Places_;
  std::vector<DigestBuilder> DigestBuilders_;
  std::map<InstanceName, std::size_t> Index_;
  std::vector<double> Bytes_;
  double Messages_ = 0;
};

DigestCluster::DigestCluster(const ClusterShape &Size, std::uint64_t Seed)
    : Size_(Size), Random_(Seed),
      Bytes_(static_cast<std::size_t>(Size.Instances_), 0.0) {
  for (int Number = 0; Number < Size.Instances_; ++Number) {
    const int Zone = Number % Size.Zones_;
    Places_.push_back(
        {InstanceName(fmt::format("entry-zone-{}-{}", Zone, Number)),
         ZoneName(fmt::format("zone-{}", Zone))});
    DigestBuilders_.emplace_back(Places_.back(), 1'700'000'000'000);
    Index_[Places_.back().Name_] = static_cast<std::size_t>(Number);
  }
}

void DigestCluster::changeState() {
  const int PerZone = Size_.Executors_ / Size_.Zones_;
  for (std::size_t Number = 0; Number < Places_.size(); ++Number) {
    for (int Contract = 0; Contract < Contracts; ++Contract)
      if (Random_(1000) < Size_.DemandChangePermille_)
        DigestBuilders_[Number].setDemand(
            ContractName(fmt::format("contract-{}", Contract)),
            static_cast<std::int32_t>(Random_(200)));
    const std::string &Zone = Places_[Number].Zone_.str();
    for (int Executor = 0; Executor < PerZone; ++Executor)
      DigestBuilders_[Number].setLoad(
          {EndpointName(fmt::format("executor-{}-{}", Zone, Executor)),
           static_cast<std::int32_t>(Random_(9)), false});
  }
}

void DigestCluster::exchangeDigests(int Second, double Framing) {
  for (std::size_t From = 0; From < Places_.size(); ++From)
    for (const InstancePlace &Peer : selectPeers(Places_[From], Places_)) {
      const bool SameZone = Peer.Zone_ == Places_[From].Zone_;
      const Duration Interval = SameZone ? membership::OwnZoneDigestInterval
                                         : membership::OtherZoneDigestInterval;
      if (std::chrono::seconds(Second) % Interval != Duration::zero())
        continue;
      const bool Pinged = Interval > PeerLinksSettings{}.PingInterval_;
      const auto Digest = DigestBuilders_[From].digestFor(Peer, 123'456'789);
      const std::size_t To = Index_[Peer.Name_];
      DigestBuilders_[To].merge(Places_[From], Digest);
      const double Bytes =
          static_cast<double>(membership::encodePeerPayload(Digest).size() +
                              PacketBytesPerMessage) +
          Framing + static_cast<double>(Pinged ? PingBytes : 0);
      Bytes_[From] += Bytes;
      Bytes_[To] += Bytes;
      Messages_ += 2;
    }
}

Traffic DigestCluster::run(int Seconds, double Framing) {
  for (int Second = 0; Second < Seconds; ++Second) {
    changeState();
    exchangeDigests(Second, Framing);
  }
  Traffic Result;
  for (const double Bytes : Bytes_) {
    Result.MeanBytes_ += Bytes / Seconds / Size_.Instances_;
    Result.MaxBytes_ = std::max(Result.MaxBytes_, Bytes / Seconds);
  }
  Result.Messages_ = Messages_ / Seconds / Size_.Instances_;
  return Result;
}

} // namespace

Report runPeersBytes(const ExperimentOptions &Options) {
  // Each demand changes once a minute, or every ten seconds.
  constexpr std::uint32_t SlowDemandPermille = 17;
  constexpr std::uint32_t FastDemandPermille = 100;
  const std::vector<ClusterShape> ClusterShapes{
      {6, 3, 65, SlowDemandPermille},   {6, 3, 65, FastDemandPermille},
      {12, 4, 200, SlowDemandPermille}, {12, 4, 200, FastDemandPermille},
      {21, 7, 400, SlowDemandPermille}, {21, 7, 400, FastDemandPermille},
      {30, 7, 600, SlowDemandPermille}, {30, 7, 600, FastDemandPermille}};
  const int Seconds = Options.Quick_ ? 30 : 120;
  const double Framing = framingBytes();
  Report Out;
  Out.Columns_ = {"instances", "zones",    "executors", "demand moves",
                  "B/s mean",  "B/s most", "messages/s"};
  Series Mean{"mean, waves", {}, {}};
  double Worst = 0;
  for (const ClusterShape &Size : ClusterShapes) {
    std::vector<double> Bytes;
    std::vector<double> Most;
    std::vector<double> Messages;
    for (int Run = 0; Run < Options.Seeds_; ++Run) {
      DigestCluster Cluster(Size,
                            Options.Seed_ + static_cast<std::uint64_t>(Run));
      const Traffic Result = Cluster.run(Seconds, Framing);
      Bytes.push_back(Result.MeanBytes_);
      Most.push_back(Result.MaxBytes_);
      Messages.push_back(Result.Messages_);
    }
    Out.Rows_.push_back(
        {fmt::to_string(Size.Instances_), fmt::to_string(Size.Zones_),
         fmt::to_string(Size.Executors_),
         Size.DemandChangePermille_ == SlowDemandPermille ? "1/min" : "6/min",
         toText(spreadOf(Bytes), 0), toText(spreadOf(Most), 0),
         toText(spreadOf(Messages))});
    Worst = std::max(Worst, spreadOf(Most).High_);
    if (Size.DemandChangePermille_ == FastDemandPermille) {
      Mean.X_.push_back(Size.Instances_);
      Mean.Y_.push_back(spreadOf(Bytes).Mean_);
    }
  }
  Out.Plots_.push_back(
      {"Bytes between peers", "instances", "bytes/s per node", {Mean}});
  Out.Verdicts_.push_back(
      verdict(Framing > 0, fmt::format("HTTP/2 adds {:.1f} bytes to a message, "
                                       "counted on real streams",
                                       Framing)));
  Out.Verdicts_.push_back(verdict(
      Worst <= TargetBytesPerSecond,
      fmt::format("no node spends more than {:.0f} B/s, both directions and "
                  "packet headers included (most {:.0f})",
                  TargetBytesPerSecond, Worst)));
  return Out;
}

} // namespace filbertspring::benchmark
