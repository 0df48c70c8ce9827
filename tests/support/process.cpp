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
                 const std::string &LogFile) {
  std::string Path = std::string(FILBERTSPRING_BIN_DIR) + "/" + Program;
  std::vector<char *> Words = {Path.data()};
  for (std::string &Each : Arguments)
    Words.push_back(Each.data());
  Words.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDERR_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (posix_spawn(&Pid_, Path.c_str(), &Files, nullptr, Words.data(),
                  environ) != 0)
    Pid_ = -1;
  posix_spawn_file_actions_destroy(&Files);
}

Process::Process(Process &&Other) noexcept
    : Pid_(std::exchange(Other.Pid_, -1)) {}

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
  static std::set<std::uint16_t> Given;
  while (true) {
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Where{};
    Where.sin_family = AF_INET;
    Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Where;
    (void)::bind(Socket, reinterpret_cast<sockaddr *>(&Where), Size);
    (void)::getsockname(Socket, reinterpret_cast<sockaddr *>(&Where), &Size);
    ::close(Socket);
    std::uint16_t Port = ntohs(Where.sin_port);
    if (Given.insert(Port).second)
      return Port;
  }
}

} // namespace filbertspring::tests
