#include "filbertspring/node/node_settings.h"

#include <boost/test/unit_test.hpp>

namespace filbertspring::node {
namespace {

using namespace std::chrono_literals;

constexpr const char *ValidSettings = R"(// a comment
{
  "instance": "edge-1", "zone": "porto", "future": true,
  "listen": {"callers": "10.0.0.1:80", "readiness": "10.0.0.1:81",
             "peers": "10.0.0.1:82"},
  "store": {"address": "10.0.0.9:90"},
  "limits": {"cpu_share": 0.1},
  "bounds": {"max_lease_ms": 10000, "kill_timeout_ms": null}
})";

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(parse_with_comments_defaults_and_unknown_members) {
  ParsedNodeSettings Parsed = parseNodeSettings(ValidSettings);
  BOOST_TEST(Parsed.Findings_.empty());
  BOOST_TEST(Parsed.Settings_.Instance_ == "edge-1");
  BOOST_TEST((Parsed.Settings_.MaxLease_ == 10s));
  BOOST_TEST((Parsed.Settings_.KillTimeout_ == 200ms));
}

// The platform's limits of a machine may lack members.
BOOST_AUTO_TEST_CASE(take_the_limits_of_the_machine_where_there_are_any) {
  std::string Text = ValidSettings;
  Text.replace(Text.rfind('}'), 1,
               R"(, "machine": {"CpuShare": 0.1, "MemoryMb": 512}})");
  ParsedNodeSettings Parsed = parseNodeSettings(Text);
  BOOST_TEST(Parsed.Findings_.empty());
  BOOST_TEST(Parsed.Settings_.MemoryMb_ == 512);
  BOOST_TEST(Parsed.Settings_.MaxDescriptors_ == 4100);
}

BOOST_AUTO_TEST_CASE(report_every_finding_with_its_json_pointer) {
  ParsedNodeSettings Parsed =
      parseNodeSettings(R"({"instance":5,"bounds":{"max_lease_ms":-1}})");
  std::string Text = Parsed.Findings_.toText("file");
  for (const char *Pointer :
       {"/instance", "/zone", "/listen/callers", "/listen/readiness",
        "/listen/peers", "/store/address", "/bounds/max_lease_ms"})
    BOOST_TEST(Text.find(Pointer) != std::string::npos, Pointer);
}

BOOST_AUTO_TEST_CASE(that_are_not_json_yield_a_finding) {
  for (const char *Text : {"", "instance: edge", "{\"a\":"})
    BOOST_TEST(!parseNodeSettings(Text).Findings_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace filbertspring::node
