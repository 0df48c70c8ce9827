#include "cluster.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace filbertspring::tests {
namespace {

using nlohmann::json;

json contractTerms() {
  return json::parse(R"({
    "name": "tours", "team": "denizkul", "weight": 10,
    "services": [{"name": "check", "latency_target": "250ms",
      "objective": 0.99, "rate": "20000/s", "concurrency": 800,
      "deadline": "4s", "idempotent": true}],
    "batch": {"quota": {"cpu": "400 cores", "memory": "800 GiB",
                        "accelerators": 4},
      "max_waiting_tasks": 5000,
      "kinds": [
        {"name": "filing", "urgent": true, "max_attempts": 3,
         "run_time": "10s"},
        {"name": "album", "max_attempts": 3, "run_time": "10min"}]},
    "watches": {"max_open": 20, "max_duration": "14h"}})");
}

std::filesystem::path makeTemporaryDirectory() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "filbertspring-XXXXXX")
          .string();
  return ::mkdtemp(Pattern.data());
}

} // namespace

bool eventually(const std::function<bool()> &Condition, int Seconds) {
  using namespace std::chrono_literals;
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(Seconds);
  while (std::chrono::steady_clock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

Cluster::Cluster(ClusterOptions Options)
    : Options_(std::move(Options)), Directory_(makeTemporaryDirectory()) {
  std::uint16_t Port = freePort();
  Platform_.push_back(
      {"platform", "", Port,
       Process("standin-platform",
               {"--port", std::to_string(Port), "--list-lag-ms", "200"},
               logFile("platform"))});
  eventually([Port] { return call(Port, "GET", "/instances").Status_ == 200; });
  for (const std::string &Zone : Options_.Zones_) {
    for (int Index = 0; Index < Options_.ExecutorsPerZone_; ++Index)
      startExecutor(Zone);
    for (int Index = 0; Index < Options_.WorkersPerZone_; ++Index)
      startWorker(Zone);
    for (int Index = 0; Index < Options_.EntriesPerZone_; ++Index)
      startEntry(Zone);
  }
  applyContract();
}

Cluster::~Cluster() {
  Entries_.clear();
  Executors_.clear();
  Workers_.clear();
  Platform_.clear();
  if (std::getenv("FILBERTSPRING_KEEP_LOGS") != nullptr)
    std::cerr << "logs: " << Directory_ << "\n";
  else
    std::filesystem::remove_all(Directory_);
}

std::string Cluster::logFile(const std::string &Name) const {
  return (Directory_ / (Name + ".log")).string();
}

std::string Cluster::settingsFile(const std::string &Name) const {
  return (Directory_ / (Name + ".json")).string();
}

void Cluster::startExecutor(const std::string &Zone) {
  std::string Name = fmt::format("executor-{}", Executors_.size());
  std::uint16_t Port = freePort();
  Executors_.push_back(
      {Name, Zone, Port,
       Process("standin-executor",
               {"--port", std::to_string(Port), "--name", Name, "--zone", Zone,
                "--service", "check", "--slots", "8", "--platform",
                fmt::format("127.0.0.1:{}", platform()), "--service-us",
                std::to_string(Options_.ServiceUs_), "--seed",
                std::to_string(Executors_.size() + 1)},
               logFile(Name))});
}

void Cluster::startWorker(const std::string &Zone) {
  std::string Name = fmt::format("worker-{}", Workers_.size());
  std::uint16_t Port = freePort();
  Workers_.push_back(
      {Name, Zone, Port,
       Process("standin-worker",
               {"--port", std::to_string(Port), "--name", Name, "--zone", Zone,
                "--rack", fmt::format("rack-{}-{}", Zone, Workers_.size() % 2),
                "--cpu-millicores", "8000", "--memory-mib", "16384",
                "--accelerators", "1", "--platform",
                fmt::format("127.0.0.1:{}", platform())},
               logFile(Name))});
}

void Cluster::startEntry(const std::string &Zone) {
  std::string Name = fmt::format("entry-{}", Entries_.size());
  std::uint16_t Port = freePort();
  json Zones = json::array();
  for (const std::string &Each : Options_.Zones_)
    Zones.push_back({{"name", Each}, {"region", "aegean"}});
  json Settings = {{"instance", Name},
                   {"zone", Zone},
                   {"zones", Zones},
                   {"listen",
                    {{"http", fmt::format("127.0.0.1:{}", Port)},
                     {"peer", fmt::format("127.0.0.1:{}", freePort())}}},
                   {"platform",
                    {{"address", fmt::format("127.0.0.1:{}", platform())},
                     {"timeout", "800ms"}}}};
  if (!Options_.ExtraSettings_.empty())
    Settings.merge_patch(json::parse(Options_.ExtraSettings_));
  std::string File = settingsFile(Name);
  std::ofstream(File) << Settings.dump(2);
  Entries_.push_back(
      {Name, Zone, Port,
       Process("filbertspring", {"--settings", File}, logFile(Name))});
}

void Cluster::restartEntry(Node &Entry) const {
  Entry.Process_ =
      Process("filbertspring", {"--settings", settingsFile(Entry.Name_)},
              logFile(Entry.Name_ + "-restarted"));
}

Node &Cluster::addEntry(const std::string &Zone) {
  startEntry(Zone);
  return Entries_.back();
}

void Cluster::applyContract() {
  json Body = {{"terms", contractTerms()},
               {"expected_version", 0},
               {"changed_by", "test"}};
  for (const Node &Entry : Entries_)
    eventually([&Entry] {
      return call(Entry.Port_, "GET", "/readyz").Status_ == 200;
    });
  eventually([&] {
    return call(Entries_[0].Port_, "PUT", "/v1/admin/contracts/tours",
                Body.dump())
               .Status_ == 200;
  });
  for (const Node &Entry : Entries_)
    eventually([&] {
      return request(Entry, "warm-up-" + Entry.Name_).header("x-outcome") ==
             "completed";
    });
}

void Cluster::setFaults(const json &Faults) const {
  call(platform(), "POST", "/faults", Faults.dump());
}

Reply Cluster::request(const Node &Entry, const std::string &Id,
                       const std::string &Key) const {
  std::map<std::string, std::string> Headers = {{"x-request-id", Id}};
  if (!Key.empty()) {
    Headers["x-idempotent"] = "false";
    Headers["x-idempotency-key"] = Key;
  }
  return call(Entry.Port_, "POST", "/v1/requests/tours/check", "body " + Key,
              Headers);
}

Reply Cluster::submit(const Node &Entry, const std::string &Key, int Tasks,
                      int RunTimeMs, const std::string &Kind) const {
  json Body = {
      {"contract", "tours"},
      {"kind", Kind},
      {"idempotency_key", Key},
      {"tasks", Tasks},
      {"run_time_ms", RunTimeMs},
      {"size",
       {{"cpu_millicores", 1000}, {"memory_mib", 512}, {"accelerators", 0}}}};
  return call(Entry.Port_, "POST", "/v1/jobs", Body.dump());
}

Reply Cluster::setZone(const Node &Entry, const std::string &Zone,
                       const std::string &State) const {
  json Body = {{"state", State}, {"reason", "test"}, {"changed_by", "test"}};
  return call(Entry.Port_, "POST", "/v1/admin/zones/" + Zone, Body.dump());
}

} // namespace filbertspring::tests
