#include "deployment.h"

#include "record.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using nlohmann::json;

constexpr const char *HostName = "desk.example";
constexpr const char *Zones[] = {"zone-a", "zone-b", "zone-c"};

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File) {
    std::fprintf(stderr, "%s cannot be read\n", Path.c_str());
    std::exit(2);
  }
  return Text.str();
}

/// Fills in the template of the settings as the platform does. It uses plain
/// placeholders only.
std::string fillIn(std::string Text, const json &Fields) {
  for (std::size_t At = Text.find("{{"); At != std::string::npos;
       At = Text.find("{{", At)) {
    std::size_t End = Text.find("}}", At);
    std::string Name = Text.substr(At + 2, End - At - 2);
    bool IsJson = Name.ends_with("|json");
    if (IsJson)
      Name.resize(Name.size() - 5);
    std::string Pointer = "/" + Name;
    for (char &Letter : Pointer)
      if (Letter == '.')
        Letter = '/';
    const json &Value = Fields.at(json::json_pointer(Pointer));
    std::string Filled =
        Value.is_string() && !IsJson ? Value.get<std::string>() : Value.dump();
    Text.replace(At, End + 2 - At, Filled);
    At += Filled.size();
  }
  return Text;
}

} // namespace

bool waitUntil(const std::function<bool()> &Holds, Milliseconds Limit) {
  Clock::time_point Deadline = Clock::now() + Limit;
  while (!Holds()) {
    if (Clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return true;
}

Node::Node(std::string Name, std::string Zone, std::string Ip,
           std::string Folder, const Store &Platform)
    : Name_(std::move(Name)), Ip_(std::move(Ip)),
      SettingsPath_(Folder + "/" + Name_ + ".json"),
      LogPath_(Folder + "/" + Name_ + ".log"), FrontPort_(freePort(Ip_)),
      ReadyPort_(freePort(Ip_)) {
  auto Address = [this](std::uint16_t Port) {
    return Ip_ + ":" + std::to_string(Port);
  };
  json Fields = {
      {"NodeName", Name_},
      {"Zone", Zone},
      {"Ip", Ip_},
      {"Listen",
       {{"Front", Address(FrontPort_)}, {"Readiness", Address(ReadyPort_)}}},
      {"PortRange", {freePort(Ip_)}},
      {"platform",
       {{"Address", "127.0.0.1:" + std::to_string(Platform.port())}}},
      {"Limits", {{"CpuShare", 0.25}, {"CpuCores", 1}}},
      {"Bounds",
       {{"MaxHoldMs", 6000},
        {"KillTimeoutMs", 200},
        {"GraceS", 6},
        {"status_s", 120},
        {"FarFactor", 3}}}};
  std::ofstream(SettingsPath_)
      << fillIn(readFile("deploy/settings.json.tmpl"), Fields);
}

Node::~Node() { signal(SIGKILL); }

void Node::start() {
  record("node    " + Name_ + " starts");
  Process_ = fork();
  if (Process_ == 0) {
    // It must not outlive the scenario, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int Log = open(LogPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    setenv("FILBERTSPRING_BOOT", SettingsPath_.c_str(), 1);
    execl("target/bin/filbertspring", "target/bin/filbertspring", "node",
          static_cast<char *>(nullptr));
    _exit(127);
  }
}

void Node::signal(int Number) {
  if (Process_ <= 0)
    return;
  record("node    " + Name_ + " gets signal " + std::to_string(Number));
  kill(Process_, Number);
  if (Number != SIGKILL)
    return;
  waitpid(Process_, nullptr, 0);
  Process_ = 0;
}

bool Node::isReady() const {
  return review::call(Ip_, ReadyPort_, "GET", "/ready", "ready", "",
                      Milliseconds(500))
             .Status_ == 200;
}

Answer Node::call(const std::string &Method, const std::string &Path,
                  const std::string &Body, Milliseconds Timeout) const {
  std::string Shown = Body.size() > 300 ? Body.substr(0, 300) + "..." : Body;
  record("client  sends " + Method + " " + Path + " to " + Name_ + " " + Shown);
  Answer Reply =
      review::call(Ip_, FrontPort_, Method, Path, HostName, Body, Timeout);
  record("client  got " + std::to_string(Reply.Status_) + " for " + Method +
         " " + Path + " from " + Name_ + " " + Reply.Body_);
  return Reply;
}

Deployment::Deployment(const std::string &Folder) {
  Platform_.start("127.0.0.1");
  for (int Number = 0; Number < 3; ++Number)
    Nodes_.push_back(std::make_unique<Node>(
        "edge-" + std::to_string(Number + 1), Zones[Number],
        "127.0.0." + std::to_string(11 + Number), Folder, Platform_));
}

Deployment::~Deployment() {
  Nodes_.clear();
  Workers_.clear();
  Platform_.stop();
}

void Deployment::addWorker(const std::string &Id, const std::string &Zone,
                           std::vector<std::string> Labels, WorkOf Decide) {
  Workers_.push_back(std::make_unique<Worker>(
      Platform_, Log_, std::move(Decide), Id, Zone, std::move(Labels)));
}

void Deployment::configure(int Version, bool HasQueue) {
  json Routes = json::array();
  auto Add = [&](const char *Name, const char *Prefix) {
    Routes.push_back({{"Name", Name},
                      {"Host", HostName},
                      {"PathPrefix", Prefix},
                      {"Type", "non_idempotent"},
                      {"TimeoutMs", 3000},
                      {"TargetLatencyMs", 250},
                      {"Priority", 0},
                      {"Service", "desk"},
                      {"Attempts", 3},
                      {"SlackFactor", 1.5}});
  };
  Add("idle", "/idle/");
  if (HasQueue)
    Add("album", "/album/");
  json Configuration = {
      {"Version", Version},
      {"Routes", Routes},
      {"Services", {{{"Name", "desk"}, {"EnforceCapacity", false}}}},
      {"Limits", {{"MaxBodyBytes", 262144}}}};
  Platform_.put("op", "config", Configuration.dump());
  record("operator wrote op/config " + Configuration.dump());
}

void Deployment::start() {
  int Number = 0;
  for (const auto &Each : Workers_)
    Each->start("127.0.1." + std::to_string(++Number));
  for (const auto &Each : Nodes_)
    Each->start();
  bool IsUp = waitUntil(
      [this] {
        for (const auto &Each : Nodes_)
          if (!Each->isReady())
            return false;
        return owner() != nullptr;
      },
      Milliseconds(20'000));
  if (!IsUp) {
    std::fprintf(stderr, "the nodes are not ready\n");
    std::exit(2);
  }
  std::this_thread::sleep_for(Milliseconds(4000));
}

Node *Deployment::owner() {
  json Row =
      json::parse(Platform_.get("cells", "cell", "owner"), nullptr, false);
  if (!Row.is_object())
    return nullptr;
  for (const auto &Each : Nodes_)
    if (Row.value("holder", "") == Each->name())
      return Each.get();
  return nullptr;
}

Node &Deployment::otherThan(const Node *Other) {
  for (const auto &Each : Nodes_)
    if (Each.get() != Other && Each->isRunning())
      return *Each;
  std::exit(2);
}

Answer Deployment::callAny(const std::string &Method, const std::string &Path,
                           const std::string &Body) {
  Answer Reply;
  for (int Attempt = 0; Attempt < 10; ++Attempt) {
    Node &Chosen = *Nodes_[NextNode_++ % Nodes_.size()];
    if (!Chosen.isRunning())
      continue;
    Reply = Chosen.call(Method, Path, Body);
    if (Reply.Status_ != 0 && Reply.Status_ < 500)
      return Reply;
    std::this_thread::sleep_for(Milliseconds(300));
  }
  return Reply;
}

std::string Deployment::stateOf(const std::string &Job) {
  Answer Reply = callAny("GET", "/album/" + Job, "");
  if (Reply.Status_ != 200)
    return "HTTP " + std::to_string(Reply.Status_);
  return json::parse(Reply.Body_).value("State", "");
}

} // namespace review
