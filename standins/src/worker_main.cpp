/// \file
/// The stand-in for a worker.

#include "filbertspring/standins/worker_server.h"
#include "program.h"

using namespace filbertspring;

namespace {

cxxopts::Options makeOptions() {
  using Text = std::string;
  cxxopts::Options Options("standin-worker");
  auto Add = Options.add_options();
  Add("port", "where to listen", cxxopts::value<std::uint16_t>());
  Add("name", "its name", cxxopts::value<Text>());
  Add("zone", "its availability zone", cxxopts::value<Text>());
  Add("rack", "its rack", cxxopts::value<Text>());
  Add("cpu-millicores", "its processors", cxxopts::value<std::int64_t>());
  Add("memory-mib", "its memory", cxxopts::value<std::int64_t>());
  Add("accelerators", "its accelerators",
      cxxopts::value<std::int64_t>()->default_value("0"));
  Add("report-lag-ms", "age of its measurements",
      cxxopts::value<std::int64_t>()->default_value("0"));
  Add("platform", "IP:PORT of the platform", cxxopts::value<Text>());
  return Options;
}

WorkerServerSettings makeSettings(const cxxopts::ParseResult &Flags) {
  WorkerServerSettings Settings;
  auto Number = [&Flags](const char *Name) {
    return Flags[Name].as<std::int64_t>();
  };
  Settings.Listing_.Name_ = InstanceName(Flags["name"].as<std::string>());
  Settings.Listing_.Zone_ = ZoneName(Flags["zone"].as<std::string>());
  Settings.Listing_.Rack_ = RackName(Flags["rack"].as<std::string>());
  Settings.Listing_.Capacity_ = {Millicores(Number("cpu-millicores")),
                                 Mebibytes(Number("memory-mib")),
                                 Accelerators(Number("accelerators"))};
  Settings.Platform_ = addressFlag(Flags, "platform");
  Settings.ReportLag_ = std::chrono::milliseconds(Number("report-lag-ms"));
  return Settings;
}

} // namespace

int main(int Count, char **Arguments) {
  return runProgram(makeOptions(), Count, Arguments, [](const auto &Flags) {
    WorkerServer Server(makeSettings(Flags));
    serveOn(Server, Flags);
  });
}
