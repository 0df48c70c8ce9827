#include "platform.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

/// The program and its arguments, as in deploy/system.toml.
constexpr const char *Program = "target/bin/filbertspring";
constexpr const char *Argument = "node";
constexpr const char *TemplatePath = "deploy/settings.json.tmpl";
/// How long after its end a process is started again.
constexpr std::int64_t RestartMs = 500;

/// The nodes that run, for the handler of signals.
std::array<std::atomic<pid_t>, 8> RunningNodes{};

void noteNode(pid_t Before, pid_t After) {
  for (std::atomic<pid_t> &Each : RunningNodes) {
    pid_t Expected = Before;
    if (Each.compare_exchange_strong(Expected, After))
      return;
  }
}

void endAll(int /*Signal*/) {
  for (std::atomic<pid_t> &Each : RunningNodes)
    if (pid_t Pid = Each; Pid > 0)
      ::kill(Pid, SIGKILL);
  ::_exit(2);
}

/// Makes an address of a free port of \p Ip.
std::string freeAddress(const std::string &Ip) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  socklen_t Size = sizeof Address;
  (void)::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size);
  (void)::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Socket);
  return Ip + ":" + std::to_string(ntohs(Address.sin_port));
}

std::uint16_t portOf(const std::string &Address) {
  return static_cast<std::uint16_t>(
      std::stoi(Address.substr(Address.find(':') + 1)));
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Returns the resident memory of \p Pid in MB.
std::size_t residentMb(pid_t Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) >> 20U;
}

const json &fieldAt(const json &Fields, const std::string &Name) {
  const json *Found = &Fields;
  std::istringstream Parts(Name);
  for (std::string Part; std::getline(Parts, Part, '.');)
    Found = Found->is_array() ? &Found->at(std::stoul(Part)) : &Found->at(Part);
  return *Found;
}

bool waitFor(int Socket, short Events,
             std::chrono::steady_clock::time_point End) {
  auto Left = (End - std::chrono::steady_clock::now()) / 1ms;
  pollfd Entry{Socket, Events, 0};
  return Left > 0 && ::poll(&Entry, 1, static_cast<int>(Left)) == 1;
}

} // namespace

std::string fillIn(const std::string &Template, const json &Fields) {
  std::string Text;
  std::size_t Position = 0;
  while (true) {
    std::size_t Open = Template.find("{{", Position);
    Text += Template.substr(Position, Open - Position);
    if (Open == std::string::npos)
      return Text;
    std::size_t Close = Template.find("}}", Open);
    std::string Name = Template.substr(Open + 2, Close - Open - 2);
    std::size_t Bar = Name.find("|json");
    const json &Value = fieldAt(Fields, Name.substr(0, Bar));
    bool IsPlainText = Bar == std::string::npos && Value.is_string();
    Text += IsPlainText ? Value.get<std::string>() : Value.dump();
    Position = Close + 2;
  }
}

void endNodesOnSignals() {
  for (int Signal : {SIGTERM, SIGINT, SIGHUP})
    ::signal(Signal, endAll);
}

std::string Reply::state() const {
  json Value = json::parse(Body_, nullptr, false);
  return Value.is_object() ? Value.value("State", "") : "";
}

Reply call(const std::string &Address, const std::string &Method,
           const std::string &Path, const std::string &Host,
           const std::string &Body, int TimeoutMs) {
  auto End =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(TimeoutMs);
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port = htons(portOf(Address));
  ::inet_pton(AF_INET, Address.substr(0, Address.find(':')).c_str(),
              &Target.sin_addr);
  std::string Bytes = fmt::format(
      "{} {} HTTP/1.1\r\nHost: {}\r\nX-Filbertspring-Deadline-Ms: {}\r\n"
      "Content-Type: application/json\r\nContent-Length: {}\r\n"
      "Connection: close\r\n\r\n{}",
      Method, Path, Host, TimeoutMs, Body.size(), Body);
  std::string Answer;
  bool IsConnected = ::connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                               sizeof Target) == 0;
  std::size_t Sent = 0;
  while (IsConnected && Sent < Bytes.size()) {
    ssize_t Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      break;
    Sent += static_cast<std::size_t>(Count);
  }
  char Buffer[4096];
  while (IsConnected && waitFor(Socket, POLLIN, End)) {
    ssize_t Count = ::recv(Socket, Buffer, sizeof Buffer, 0);
    if (Count <= 0)
      break;
    Answer.append(Buffer, static_cast<std::size_t>(Count));
  }
  ::close(Socket);
  Reply Result;
  std::size_t HeadEnd = Answer.find("\r\n\r\n");
  if (HeadEnd == std::string::npos || !Answer.starts_with("HTTP/1.1 "))
    return Result;
  Result.Status_ = std::atoi(Answer.c_str() + 9);
  Result.Body_ = Answer.substr(HeadEnd + 4);
  return Result;
}

Scene::Scene(Record &Log, SceneSettings Settings)
    : Log_(Log), Settings_(std::move(Settings)) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (const char *Made = ::mkdtemp(Pattern.data()))
    Folder_ = Made;
  // Addresses that other scenes on the machine do not use.
  auto Unique = static_cast<unsigned>(::getpid());
  std::string Net =
      fmt::format("127.{}.{}.", 20 + Unique / 250 % 200, 1 + Unique % 250);
  for (std::size_t Index = 0; Index < Settings_.Nodes_; ++Index) {
    Node New;
    New.Name_ = fmt::format("edge-{}", Index + 1);
    New.Ip_ = Net + std::to_string(Index + 1);
    New.Zone_ = fmt::format("zone-{}", Index % 3 + 1);
    New.Front_ = freeAddress(New.Ip_);
    New.Readiness_ = freeAddress(New.Ip_);
    New.StorePort_ = portOf(freeAddress("127.0.0.1"));
    Store_.listen(New.StorePort_);
    Nodes_.push_back(New);
  }
  Settings_.Executor_.Register_ = [this](const std::string &Id,
                                         const std::string &Entry) {
    Store_.put("servers", Id, Entry);
  };
  for (std::size_t Index = 0; Index < Settings_.Executors_; ++Index)
    Executors_.push_back(std::make_unique<Executor>(
        Log_, Runs_, Settings_.Executor_, fmt::format("w{}", Index + 1),
        fmt::format("zone-{}", Index % 3 + 1),
        fmt::format("r1-{}", Index % 2 + 1),
        freeAddress(Net + std::to_string(100 + Index))));
}

Scene::~Scene() {
  IsEnding_ = true;
  if (WatchThread_.joinable())
    WatchThread_.join();
  for (Node &Each : Nodes_)
    if (Each.Pid_ > 0) {
      ::kill(Each.Pid_, SIGKILL);
      ::waitpid(Each.Pid_, nullptr, 0);
    }
  Executors_.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

bool Scene::startNode(Node &Started) {
  std::vector<std::string> Environment = {"FILBERTSPRING_BOOT=" +
                                          Started.SettingsPath_};
  for (const char *Name : {"PATH", "HOME", "LANG"})
    if (const char *Value = std::getenv(Name))
      Environment.push_back(std::string(Name) + "=" + Value);
  std::vector<char *> Variables;
  for (std::string &Each : Environment)
    Variables.push_back(Each.data());
  Variables.push_back(nullptr);
  std::string Path = Program;
  std::string First = Argument;
  char *Arguments[] = {Path.data(), First.data(), nullptr};
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  for (int Stream : {STDOUT_FILENO, STDERR_FILENO})
    posix_spawn_file_actions_addopen(&Files, Stream, Started.LogPath_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
  bool IsStarted = ::posix_spawn(&Started.Pid_, Program, &Files, nullptr,
                                 Arguments, Variables.data()) == 0;
  posix_spawn_file_actions_destroy(&Files);
  if (IsStarted)
    noteNode(0, Started.Pid_);
  else
    Started.Pid_ = -1;
  Started.RestartAtMs_ = -1;
  Log_.line("process " + Started.Name_ + " starts");
  return IsStarted;
}

/// Enforces the memory of the machines and restarts processes that ended.
void Scene::watch() {
  while (!IsEnding_) {
    std::this_thread::sleep_for(1ms);
    std::lock_guard<std::mutex> Lock(NodesMutex_);
    for (Node &Each : Nodes_) {
      if (Each.Pid_ <= 0) {
        if (Each.RestartAtMs_ >= 0 && Log_.now() >= Each.RestartAtMs_)
          startNode(Each);
        continue;
      }
      int Status = 0;
      if (::waitpid(Each.Pid_, &Status, WNOHANG) == Each.Pid_) {
        ++Each.OwnEnds_;
        Log_.line(fmt::format("process {} ended by itself, status {:#x}",
                              Each.Name_, Status));
      } else {
        std::size_t Mb = residentMb(Each.Pid_);
        Each.HighestMb_ = std::max(Each.HighestMb_, Mb);
        if (static_cast<std::int64_t>(Mb) <= Settings_.MemoryMb_)
          continue;
        ::kill(Each.Pid_, SIGKILL);
        ::waitpid(Each.Pid_, nullptr, 0);
        ++Each.MemoryKills_;
        Log_.line(fmt::format("process {} exceeds its memory with {} MB and is "
                              "killed by the platform",
                              Each.Name_, Mb));
      }
      noteNode(Each.Pid_, 0);
      Each.Pid_ = -1;
      Each.RestartAtMs_ = Log_.now() + RestartMs;
    }
  }
}

bool Scene::start(const std::vector<std::size_t> &Held) {
  Store_.put("op", "config", Settings_.Configuration_);
  Store_.start();
  std::string Template = readFile(TemplatePath);
  if (Folder_.empty() || Template.empty())
    return false;
  for (Node &Each : Nodes_) {
    Each.SettingsPath_ = Folder_ + "/" + Each.Name_ + ".json";
    Each.LogPath_ = Folder_ + "/" + Each.Name_ + ".log";
    int Peers = portOf(freeAddress(Each.Ip_));
    json Fields = {
        {"NodeName", Each.Name_},
        {"Ip", Each.Ip_},
        {"Zone", Each.Zone_},
        {"Listen", {{"Front", Each.Front_}, {"Readiness", Each.Readiness_}}},
        {"PortRange", {Peers, Peers + 15}},
        {"Limits",
         {{"CpuShare", 0.1},
          {"CpuCores", 1},
          {"MemoryMb", Settings_.MemoryMb_},
          {"MaxFds", 4100},
          {"LinkMbps", 1000.0},
          {"DiskMb", 0}}},
        {"Bounds",
         {{"MaxHoldMs", Settings_.Executor_.MaxHoldMs_},
          {"KillTimeoutMs", 200},
          {"GraceS", 6},
          {"status_s", 120},
          {"FarFactor", 3}}},
        {"platform",
         {{"Address", "127.0.0.1:" + std::to_string(Each.StorePort_)}}}};
    std::ofstream(Each.SettingsPath_) << fillIn(Template, Fields);
    if (!startNode(Each))
      return false;
  }
  for (std::size_t Index = 0; Index < Executors_.size(); ++Index)
    if (std::find(Held.begin(), Held.end(), Index) == Held.end())
      Executors_[Index]->start(0ms);
  WatchThread_ = std::thread([this] { watch(); });
  return eventually(15000, [this] {
    return std::all_of(Nodes_.begin(), Nodes_.end(), [](const Node &Each) {
      return call(Each.Readiness_, "GET", "/ready", "ready", "").Status_ == 200;
    });
  });
}

std::vector<Node> Scene::nodes() {
  std::lock_guard<std::mutex> Lock(NodesMutex_);
  return Nodes_;
}

bool Scene::eventually(int Ms, const std::function<bool()> &Condition) {
  auto End = std::chrono::steady_clock::now() + std::chrono::milliseconds(Ms);
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

Reply Scene::client(std::size_t Index, const std::string &Method,
                    const std::string &Path, const std::string &Body,
                    int Attempts) {
  Reply Answer;
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    const Node &Target =
        Nodes_[(Index + static_cast<std::size_t>(Attempt)) % Nodes_.size()];
    Answer = call(Target.Front_, Method, Path, "review.example", Body);
    Log_.line(fmt::format("client to {}: {} {} ({} bytes) -> {} {}",
                          Target.Name_, Method, Path, Body.size(),
                          Answer.Status_, Answer.Body_.substr(0, 200)));
    bool MayRepeat = Answer.Status_ == 0 || Answer.Status_ == 429 ||
                     (Answer.Status_ >= 502 && Answer.Status_ <= 504);
    if (!MayRepeat)
      break;
    std::this_thread::sleep_for(300ms);
  }
  return Answer;
}

} // namespace review
