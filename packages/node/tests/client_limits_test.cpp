/// \file
/// Tests of what an instance grants to its clients.

#include "client_limits.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

/// Returns the bytes that all callers can take: in the process, and in both
/// buffers of their sockets, which the system doubles.
double callerBytes(const ClientLimits &Limits) {
  return static_cast<double>(Limits.CallerBytes_) +
         2.0 * static_cast<double>(Limits.Callers_.MaxConnections_) *
             (Limits.Callers_.ReceiveBufferBytes_ +
              Limits.Callers_.SendBufferBytes_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(client_limits)

BOOST_AUTO_TEST_CASE(leave_a_third_of_the_memory_to_the_rest) {
  for (double MemoryMb : {64.0, 160.0, 260.0, 512.0, 8192.0})
    BOOST_TEST(callerBytes(deriveClientLimits(MemoryMb, 4100)) <=
               MemoryMb * 1024 * 1024 * 0.66);
}

BOOST_AUTO_TEST_CASE(leave_descriptors_to_the_store_workers_and_peers) {
  for (double Descriptors : {256.0, 1024.0, 4100.0, 8192.0}) {
    ClientLimits Limits = deriveClientLimits(100'000, Descriptors);
    auto Clients = static_cast<double>(Limits.Callers_.MaxConnections_ +
                                       Limits.Readiness_.MaxConnections_ +
                                       Limits.Metrics_.MaxConnections_);
    BOOST_TEST(Clients <= (Descriptors - 200) * 0.75);
    BOOST_TEST(Limits.Callers_.MaxConnections_ <= 2000U);
  }
}

BOOST_AUTO_TEST_CASE(admit_the_usual_load_on_the_smallest_machine) {
  // A few hundred connections, and each legal size and time.
  ClientLimits Limits = deriveClientLimits(160, 4100);
  BOOST_TEST(Limits.Callers_.MaxConnections_ >= 500U);
  BOOST_TEST(Limits.Callers_.MaxHeaderBytes_ > 16'384U);
  BOOST_TEST(Limits.Callers_.MaxBodyBytes_ >= 262'144U);
  BOOST_TEST(
      (Limits.Callers_.HeaderTimeout_ >= 3s + ClientBudget::CheckInterval));
  BOOST_TEST((Limits.Callers_.IdleTimeout_ >= 15s));
}

// A peer that vanished in the middle of a body held its connection for ever.
BOOST_AUTO_TEST_CASE(of_peers_end_bodies_that_stall) {
  BOOST_TEST(peerLimits().MinBodyRate_ > 0U);
  BOOST_TEST((peerLimits().BodyGrace_ >= 60s));
}

BOOST_AUTO_TEST_CASE(are_counted_by_listener_and_reason) {
  CounterRegistry Counters;
  RefusalLog Log(Counters);
  for (int Number = 0; Number < 3; ++Number)
    Log.note("callers", ClientRefusal::Memory, TimePoint{} + 1s);
  BOOST_TEST(Counters
                 .counter("client_refusals_total",
                          "listener=\"callers\",reason=\"memory\"")
                 .value() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace filbertspring::node
