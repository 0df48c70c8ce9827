/// \file
/// The stand-in for the platform.

#include "filbertspring/standins/platform_server.h"
#include "program.h"

using namespace filbertspring;

int main(int Count, char **Arguments) {
  cxxopts::Options Options("standin-platform");
  Options.add_options()("port", "where to listen",
                        cxxopts::value<std::uint16_t>())(
      "list-lag-ms", "age of the instance list",
      cxxopts::value<std::int64_t>()->default_value("0"));
  return runProgram(Options, Count, Arguments, [](const auto &Flags) {
    std::chrono::milliseconds Lag(
        Flags["list-lag-ms"].template as<std::int64_t>());
    PlatformServer Server(Lag);
    serveOn(Server, Flags);
  });
}
