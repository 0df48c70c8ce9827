/// \file
/// standin-relay: a TCP relay with fault injection. POST /control on its
/// control port takes
/// {"mode":"pass"|"silent"|"blackhole"|"refuse","delay_ms":N}.

#include "filbertspring/standins/loopback_server.h"
#include "filbertspring/standins/relay.h"
#include "program.h"

#include <nlohmann/json.hpp>
#include <thread>

using namespace filbertspring;

namespace {

using Json = nlohmann::json;

cxxopts::Options makeOptions() {
  cxxopts::Options Options("standin-relay");
  auto Add = Options.add_options();
  Add("listen", "where to listen", cxxopts::value<std::uint16_t>());
  Add("to", "IP:PORT of the target", cxxopts::value<std::string>());
  Add("control", "where to listen for control",
      cxxopts::value<std::uint16_t>());
  return Options;
}

LoopbackReply control(Relay &Subject, const LoopbackRequest &Request) {
  try {
    Json Body = Json::parse(Request.Body_);
    auto Mode = valueOf(RelayModeNames, Body.at("mode").get<std::string>());
    if (!Mode)
      return {400, R"({"error":"unknown mode"})"};
    std::chrono::milliseconds Delay(Body.value("delay_ms", std::int64_t{0}));
    Subject.setMode(*Mode, Delay);
  } catch (const Json::exception &Problem) {
    return {400, Json{{"error", Problem.what()}}.dump()};
  }
  return {200, "{}"};
}

void requireBound(const Result<std::uint16_t> &Bound) {
  if (!Bound)
    throw std::runtime_error(Bound.error().message());
}

void serve(const cxxopts::ParseResult &Flags) {
  Relay Subject(addressFlag(Flags, "to"));
  requireBound(Subject.listen(Flags["listen"].as<std::uint16_t>()));
  LoopbackServer Control(
      [&Subject](const LoopbackRequest &Request, const ReplySender &Send) {
        Send(control(Subject, Request));
      });
  requireBound(Control.listen(Flags["control"].as<std::uint16_t>()));
  Control.stopOnSignal();
  std::jthread Passing([&Subject] { Subject.run(); });
  Control.run();
  Subject.stop();
}

} // namespace

int main(int Count, char **Arguments) {
  return runProgram(makeOptions(), Count, Arguments, serve);
}
