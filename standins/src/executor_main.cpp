/// \file
/// The stand-in for an executor.

#include "filbertspring/standins/executor_server.h"
#include "program.h"

using namespace filbertspring;

namespace {

cxxopts::Options makeOptions() {
  using Text = std::string;
  cxxopts::Options Options("standin-executor");
  auto Add = Options.add_options();
  Add("port", "where to listen", cxxopts::value<std::uint16_t>());
  Add("name", "its name", cxxopts::value<Text>());
  Add("zone", "its availability zone", cxxopts::value<Text>());
  Add("service", "the service that it runs", cxxopts::value<Text>());
  Add("slots", "requests that it runs at one time",
      cxxopts::value<std::int64_t>()->default_value("8"));
  Add("queue", "requests that may wait for a slot",
      cxxopts::value<std::size_t>()->default_value("8"));
  Add("platform", "IP:PORT of the platform", cxxopts::value<Text>());
  Add("service-us", "mean service time in microseconds",
      cxxopts::value<std::int64_t>());
  Add("seed", "seed of the service times",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  return Options;
}

ExecutorSettings makeSettings(const cxxopts::ParseResult &Flags) {
  ExecutorSettings Settings;
  Settings.Listing_.Name_ = InstanceName(Flags["name"].as<std::string>());
  Settings.Listing_.Zone_ = ZoneName(Flags["zone"].as<std::string>());
  Settings.Listing_.Service_ = ServiceName(Flags["service"].as<std::string>());
  Settings.Listing_.Slots_ = Flags["slots"].as<std::int64_t>();
  Settings.Platform_ = addressFlag(Flags, "platform");
  Settings.MeanServiceTime_ = Duration(Flags["service-us"].as<std::int64_t>());
  Settings.QueueLength_ = Flags["queue"].as<std::size_t>();
  Settings.Seed_ = Flags["seed"].as<std::uint64_t>();
  return Settings;
}

} // namespace

int main(int Count, char **Arguments) {
  return runProgram(makeOptions(), Count, Arguments, [](const auto &Flags) {
    ExecutorServer Server(makeSettings(Flags));
    serveOn(Server, Flags);
  });
}
