#include "process.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <set>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace filbertspring::tests {

Process::Process(const std::string &Program, std::vector<std::string> Arguments,
                 const std::string &LogFile, const std::string &OutputFile) {
  std::string Path = std::string(FILBERTSPRING_BIN_DIR) + "/" + Program;
  std::vector<char *> Argv = {Path.data()};
  for (std::string &Each : Arguments)
    Argv.push_back(Each.data());
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDERR_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (!OutputFile.empty())
    posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, OutputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
  // Ports that this program listens on would stay in use.
  posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
  if (posix_spawn(&Pid_, Path.c_str(), &Files, nullptr, Argv.data(), environ) !=
      0)
    Pid_ = -1;
  posix_spawn_file_actions_destroy(&Files);
}

Process::Process(Process &&Other) noexcept
    : Pid_(std::exchange(Other.Pid_, -1)) {}

Process &Process::operator=(Process &&Other) noexcept {
  std::swap(Pid_, Other.Pid_);
  return *this;
}

Process::~Process() { kill(); }

void Process::signal(int Number) const {
  if (Pid_ > 0)
    ::kill(Pid_, Number);
}

void Process::kill() {
  if (Pid_ <= 0)
    return;
  signal(SIGKILL);
  signal(SIGCONT);
  ::waitpid(Pid_, nullptr, 0);
  Pid_ = -1;
}

std::optional<int> Process::wait(int Seconds) {
  using namespace std::chrono_literals;
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(Seconds);
  while (std::chrono::steady_clock::now() < End) {
    int Status = 0;
    if (::waitpid(Pid_, &Status, WNOHANG) == Pid_) {
      Pid_ = -1;
      return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
    }
    std::this_thread::sleep_for(20ms);
  }
  return std::nullopt;
}

std::uint16_t freePort() {
  static std::set<std::uint16_t> ReturnedPorts;
  while (true) {
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Address;
    (void)::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size);
    (void)::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
    ::close(Socket);
    std::uint16_t Port = ntohs(Address.sin_port);
    if (ReturnedPorts.insert(Port).second)
      return Port;
  }
}

} // namespace filbertspring::tests
