#include "filbertspring/membership.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace filbertspring;
using namespace filbertspring::membership;
using namespace std::chrono_literals;

namespace {

std::vector<InstancePlace> instances(int Count, int Zones) {
  std::vector<InstancePlace> All;
  All.reserve(static_cast<std::size_t>(Count));
  for (int Number = 0; Number < Count; ++Number)
    All.push_back({InstanceName("entry-" + std::to_string(Number)),
                   ZoneName("zone-" + std::to_string(Number % Zones))});
  return All;
}

bool selects(const InstancePlace &Self, const InstancePlace &Peer,
             const std::vector<InstancePlace> &Live) {
  return std::ranges::any_of(selectPeers(Self, Live),
                             [&](const InstancePlace &Instance) {
                               return Instance.Name_ == Peer.Name_;
                             });
}

RackName rack(int Number) { return RackName("rack-" + std::to_string(Number)); }

constexpr int Racks = 70;
const ContractName Booking("booking");
const ZoneName FirstZone("zone-0");

} // namespace

BOOST_AUTO_TEST_SUITE(racks)

BOOST_AUTO_TEST_CASE(stay_in_their_zone_while_it_has_an_instance) {
  const auto Live = instances(6, 3);
  for (int Number = 0; Number < Racks; ++Number) {
    const auto Name = schedulerOf(rack(Number), FirstZone, Live);
    BOOST_TEST((Name == Live[0].Name_ || Name == Live[3].Name_));
  }
}

BOOST_AUTO_TEST_CASE(go_to_another_zone_when_theirs_is_empty) {
  BOOST_TEST(
      schedulerOf(rack(1), ZoneName("zone-9"), instances(6, 3)).has_value());
  BOOST_TEST(!schedulerOf(rack(1), FirstZone, {}).has_value());
}

BOOST_AUTO_TEST_CASE(of_a_dead_instance_alone_move_and_spread) {
  auto Live = instances(6, 1);
  std::map<int, InstanceName> Before;
  for (int Number = 0; Number < Racks; ++Number)
    Before[Number] = *schedulerOf(rack(Number), FirstZone, Live);
  const InstanceName Dead = Live.back().Name_;
  Live.pop_back();
  std::set<InstanceName> NewSchedulers;
  for (int Number = 0; Number < Racks; ++Number) {
    const auto Now = *schedulerOf(rack(Number), FirstZone, Live);
    if (Before[Number] == Dead)
      NewSchedulers.insert(Now);
    else
      BOOST_TEST((Now == Before[Number]));
  }
  BOOST_TEST(NewSchedulers.size() >= 3U);
}

BOOST_AUTO_TEST_CASE(are_taken_over_at_a_bounded_pace) {
  const TakeoverSettings Settings;
  TakeoverPacer Pacer(Settings, 7);
  std::set<RackName> Wanted;
  for (int Number = 0; Number < Racks; ++Number)
    Wanted.insert(rack(Number));
  std::set<RackName> Taken;
  int MostInOneSecond = 0;
  for (int Second = 0; Second < 30; ++Second) {
    int InThisSecond = 0;
    for (int Tick = 0; Tick < 20; ++Tick) {
      const TimePoint Now(std::chrono::seconds(Second) + Tick * 50ms);
      for (const RackName &Rack : Pacer.due(Wanted, Now)) {
        ++InThisSecond;
        Wanted.erase(Rack);
        Taken.insert(Rack);
      }
    }
    MostInOneSecond = std::max(MostInOneSecond, InThisSecond);
  }
  BOOST_TEST(Taken.size() == static_cast<std::size_t>(Racks));
  BOOST_TEST(MostInOneSecond <= Settings.MaxPerSecond_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(peers)

BOOST_AUTO_TEST_CASE(are_all_of_the_zone_and_few_elsewhere) {
  const auto Live = instances(30, 7);
  std::size_t Links = 0;
  for (const InstancePlace &Self : Live)
    for (const InstancePlace &Peer : Live) {
      const bool Linked = selects(Self, Peer, Live);
      const bool SameZone = Self.Zone_ == Peer.Zone_;
      if (SameZone && Self.Name_ != Peer.Name_)
        BOOST_TEST(Linked);
      Links += Linked && !SameZone ? 1 : 0;
    }
  // Both ends count each link; 7 zones make 21 pairs.
  BOOST_TEST(Links == 2 * 21 * LinksPerZonePair);
}

BOOST_AUTO_TEST_CASE(select_each_other) {
  const auto Live = instances(13, 4);
  for (const InstancePlace &Self : Live)
    for (const InstancePlace &Peer : Live)
      BOOST_TEST(selects(Self, Peer, Live) == selects(Peer, Self, Live));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(digests)

namespace {

struct DigestExchange {
  std::vector<InstancePlace> Live_ = instances(6, 2);
  std::vector<DigestBuilder> Builders_;
  DigestExchange() {
    for (const InstancePlace &Instance : Live_)
      Builders_.emplace_back(Instance, 1);
  }
  /// Sends one digest from every instance to each of its peers.
  std::size_t exchangeDigests() {
    std::size_t Entries = 0;
    for (std::size_t From = 0; From < Live_.size(); ++From)
      for (std::size_t To = 0; To < Live_.size(); ++To) {
        if (!selects(Live_[From], Live_[To], Live_))
          continue;
        const PeerDigest Digest = Builders_[From].digestFor(Live_[To], 1);
        Entries += Digest.Demands_.size() + Digest.Endpoints_.size();
        for (const DemandEntry &New : Builders_[To].merge(Live_[From], Digest))
          Known_[To][New.Instance_] = New.Permille_;
      }
    return Entries;
  }
  std::map<std::size_t, std::map<InstanceName, std::int32_t>> Known_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(bring_each_demand_to_everyone, DigestExchange) {
  Builders_[0].setDemand(Booking, 300);
  exchangeDigests();
  exchangeDigests();
  exchangeDigests();
  for (std::size_t To = 1; To < Live_.size(); ++To)
    BOOST_TEST(Known_[To][Live_[0].Name_] == 300);
}

BOOST_FIXTURE_TEST_CASE(are_empty_when_nothing_changes, DigestExchange) {
  Builders_[0].setDemand(Booking, 300);
  for (int Count = 0; Count < 4; ++Count)
    exchangeDigests();
  Builders_[0].setDemand(Booking, 310);
  BOOST_TEST(exchangeDigests() == 0U);
}

BOOST_FIXTURE_TEST_CASE(never_replace_a_demand_by_an_older_one,
                        DigestExchange) {
  Builders_[0].setDemand(Booking, 300);
  const PeerDigest Old = Builders_[0].digestFor(Live_[2], 1);
  Builders_[0].setDemand(Booking, 600);
  const PeerDigest New = Builders_[0].digestFor(Live_[2], 1);
  BOOST_TEST(Builders_[2].merge(Live_[0], New).size() == 1U);
  BOOST_TEST(Builders_[2].merge(Live_[0], Old).empty());
}

BOOST_FIXTURE_TEST_CASE(bring_leaving_endpoints_to_every_zone, DigestExchange) {
  Builders_[0].setLoad({EndpointName("x"), 3, true});
  PeerDigest ToZone = Builders_[0].digestFor(Live_[2], 1);
  PeerDigest Elsewhere = Builders_[0].digestFor(Live_[1], 1);
  BOOST_TEST(ToZone.Endpoints_.size() == 1U);
  BOOST_TEST(Elsewhere.Endpoints_.size() == 1U);
  Builders_[0].setLoad({EndpointName("y"), 3, false});
  BOOST_TEST(Builders_[0].digestFor(Live_[1], 1).Endpoints_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(messages)

namespace {

PeerPayload sample() {
  PeerDigest Digest;
  Digest.CompleteTo_ = 77;
  Digest.Endpoints_ = {{EndpointName("x"), 3, true}};
  Digest.Demands_ = {{InstanceName("a"), Booking, 300, 5},
                     {InstanceName("a"), ContractName("other"), 1, 6},
                     {InstanceName("b"), Booking, 0, 1U << 30}};
  return Digest;
}

PeerPayload sampleDelta() {
  return EncodedDelta{3, 9, {{{RowKind::Zone, "porto"}, 9, "{}"}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(come_back_as_they_were) {
  for (const PeerPayload &Payload :
       {sample(), sampleDelta(), PeerPayload(DeltaRequest{12})}) {
    const std::string Bytes = encodePeerPayload(Payload);
    const auto Decoded = decodePeerPayload(Bytes);
    BOOST_REQUIRE(Decoded.has_value());
    BOOST_TEST(Decoded->index() == Payload.index());
    BOOST_TEST(encodePeerPayload(*Decoded) == Bytes);
  }
  const auto Digest =
      std::get<PeerDigest>(*decodePeerPayload(encodePeerPayload(sample())));
  BOOST_TEST(Digest.Demands_.size() == 3U);
  BOOST_TEST(Digest.Demands_[1].Instance_.str() == "a");
}

BOOST_AUTO_TEST_CASE(that_nest_too_deeply_are_refused) {
  const std::string Nested(MaxPeerMessageBytes, '\x91');
  BOOST_TEST(decodePeerPayload(Nested).error() == Errc::ProtocolViolation);
}

BOOST_AUTO_TEST_CASE(that_are_too_large_are_refused) {
  const std::string Large(MaxPeerMessageBytes + 1, 'x');
  BOOST_TEST(decodePeerPayload(Large).error() == Errc::MessageTooLarge);
}

BOOST_AUTO_TEST_CASE(that_claim_huge_arrays_are_refused) {
  BOOST_TEST(!decodePeerPayload("\xdd\xff\xff\xff\xff").has_value());
  BOOST_TEST(!decodePeerPayload("").has_value());
}

BOOST_AUTO_TEST_CASE(that_were_damaged_do_no_harm) {
  const bool Holds = rc::check([](std::uint8_t Byte) {
    std::string Bytes =
        encodePeerPayload(*rc::gen::element(sample(), sampleDelta()));
    const auto Place = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    Bytes[Place] = static_cast<char>(Byte);
    Bytes.resize(*rc::gen::inRange<std::size_t>(1, Bytes.size() + 1));
    // An accepted message must be valid, so it can be encoded and decoded
    // again.
    if (const auto Decoded = decodePeerPayload(Bytes))
      RC_ASSERT(decodePeerPayload(encodePeerPayload(*Decoded)).has_value());
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(targets)

BOOST_AUTO_TEST_CASE(use_the_whole_and_keep_a_floor) {
  const bool Holds = rc::check([] {
    const auto Step = *rc::gen::inRange(1, 200);
    const auto Count = *rc::gen::inRange(1, 31);
    std::vector<InstanceDemand> Demands;
    Demands.reserve(static_cast<std::size_t>(Count));
    for (int Number = 0; Number < Count; ++Number)
      Demands.push_back(
          {InstanceName(std::to_string(Number)), *rc::gen::inRange(0, 2000)});
    const int Steps = WholeLimitPermille / Step;
    int Sum = 0;
    for (const InstanceShare &Share : targetShares(Demands, Step)) {
      RC_ASSERT(Share.Permille_ % Step == 0);
      RC_ASSERT(Share.Permille_ >= (Count <= Steps ? Step : 0));
      Sum += Share.Permille_;
    }
    RC_ASSERT(Sum == Steps * Step);
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_CASE(go_to_the_largest_demands_when_steps_are_few) {
  const auto Shares = targetShares(
      {{InstanceName("a"), 1}, {InstanceName("b"), 9}, {InstanceName("c"), 5}},
      500);
  BOOST_TEST(Shares[0].Permille_ == 0);
  BOOST_TEST(Shares[1].Permille_ == 500);
  BOOST_TEST(Shares[2].Permille_ == 500);
}

BOOST_AUTO_TEST_SUITE_END()
