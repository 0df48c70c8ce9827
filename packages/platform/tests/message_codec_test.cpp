#include "filbertspring/platform/instance_codec.h"
#include "filbertspring/platform/worker_codec.h"

#include "random_record.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;

namespace {

/// Checks that \p Decode is the inverse of \p Encode and rejects truncated
/// text.
template <typename Message, typename Encoder, typename Decoder>
bool checkMessage(const std::string &Name, Encoder Encode, Decoder Decode) {
  return rc::check(Name + " round trip", [&] {
    Message Value;
    Randomizer()(Value);
    Result<std::string> Text = Encode(Value);
    RC_ASSERT(Text.has_value());
    Result<Message> Decoded = Decode(*Text);
    RC_ASSERT(Decoded.has_value());
    RC_ASSERT(deepEqual(*Decoded, Value));
    const auto ShortenedSize = *rc::gen::inRange<std::size_t>(0, Text->size());
    RC_ASSERT(Decode(Text->substr(0, ShortenedSize)).error() ==
              Errc::InvalidJson);
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(message_codec)

BOOST_AUTO_TEST_CASE(worker_messages_are_decoded_as_they_were_encoded) {
  BOOST_TEST(checkMessage<WorkerCommands>("commands", encodeWorkerCommands,
                                          decodeWorkerCommands));
  BOOST_TEST(checkMessage<WorkerAnswer>("answer", encodeWorkerAnswer,
                                        decodeWorkerAnswer));
  BOOST_TEST(checkMessage<WorkerReport>("report", encodeWorkerReport,
                                        decodeWorkerReport));
}

BOOST_AUTO_TEST_CASE(worker_messages_have_the_documented_form) {
  Result<WorkerCommands> Commands = decodeWorkerCommands(
      R"({"epoch":3,"boot":"b1","acknowledged":[],"renewals":[],
          "throttles":[],"starts":[],"stops":[{"checkpoint":true,
          "attempt":{"job":"j","index":0,"attempt":1}}]})");
  BOOST_REQUIRE(Commands.has_value());
  BOOST_TEST(
      (Commands->Stops_.at(0).Attempt_ == AttemptRef{{JobId("j"), 0}, 1}));
}

BOOST_AUTO_TEST_CASE(numbers_that_are_not_finite_are_not_encoded) {
  WorkerCommands Commands;
  Commands.Throttles_ = {{{}, std::nan("")}};
  BOOST_TEST((encodeWorkerCommands(Commands).error() == Errc::InvalidInput));
}

BOOST_AUTO_TEST_SUITE(the_instance_list)

BOOST_AUTO_TEST_CASE(is_decoded_as_it_was_encoded) {
  bool Holds = rc::check("instance round trip", [] {
    ListedInstance Value;
    Randomizer()(Value);
    Value.Http_ = {"10.0.255.1", 65535};
    Value.Peer_ =
        *rc::gen::arbitrary<bool>() ? Address{"127.0.0.1", 1} : Address{};
    Result<std::string> Text = encodeInstance(Value);
    RC_ASSERT(Text.has_value());
    Result<ListedInstance> Decoded = decodeInstance(*Text);
    RC_ASSERT(Decoded.has_value());
    RC_ASSERT(deepEqual(*Decoded, Value));
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_CASE(keeps_valid_entries_beside_invalid_ones) {
  InstanceList List = decodeInstanceList(
                          R"({"instances":[
            {"name":"a","role":"entry","state":"live","zone":"z",
             "http":"127.0.0.1:80"},
            {"name":"b","role":"pilot","state":"live","zone":"z",
             "http":"127.0.0.1:80"}]})")
                          .value();
  BOOST_TEST(List.Instances_.size() == 1U);
  BOOST_REQUIRE(List.Findings_.items().size() == 1U);
  BOOST_TEST(List.Findings_.items().front().Place_ == "/instances/1");
  BOOST_TEST((decodeInstanceList("[]").error() == Errc::InvalidJson));
}

BOOST_AUTO_TEST_CASE(accepts_numeric_addresses_only) {
  auto Decode = [](const std::string &Http) {
    return decodeInstance(R"({"name":"a","role":"entry","state":"live",
                              "zone":"z","http":")" +
                          Http + "\"}");
  };
  BOOST_TEST(
      (Decode("127.0.0.1:80").value().Http_ == Address{"127.0.0.1", 80}));
  for (const char *Bad :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
        "localhost:80", "1.2.3:80", "1.2.3.256:80", "1.2.3.4.5:80",
        "1.2.3.-4:80", "1.2.3.4: 80"})
    BOOST_TEST((Decode(Bad).error() == Errc::InvalidJson), Bad);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
