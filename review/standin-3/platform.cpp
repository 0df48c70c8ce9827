#include "platform.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <signal.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point ProgramStart = Clock::now();

/// The store's time for a transaction and for an answer.
constexpr int TransactionMs = 8;
constexpr int ReadMs = 4;

std::string encodeBase64(const std::string &Text) {
  static const char *const Letters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Encoded;
  std::size_t Position = 0;
  while (Position < Text.size()) {
    std::uint32_t Group = 0;
    std::size_t Count = std::min<std::size_t>(3, Text.size() - Position);
    for (std::size_t Byte = 0; Byte < 3; ++Byte)
      Group = Group << 8U |
              (Byte < Count ? static_cast<unsigned char>(Text[Position + Byte])
                            : 0U);
    for (std::size_t Letter = 0; Letter < 4; ++Letter)
      Encoded +=
          Letter <= Count ? Letters[(Group >> (18 - 6 * Letter)) & 63U] : '=';
    Position += Count;
  }
  return Encoded;
}

std::string decodeBase64(const std::string &Text) {
  std::string Decoded;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (char Letter : Text) {
    int Value = -1;
    if (Letter >= 'A' && Letter <= 'Z')
      Value = Letter - 'A';
    else if (Letter >= 'a' && Letter <= 'z')
      Value = Letter - 'a' + 26;
    else if (Letter >= '0' && Letter <= '9')
      Value = Letter - '0' + 52;
    else if (Letter == '+')
      Value = 62;
    else if (Letter == '/')
      Value = 63;
    if (Value < 0)
      break;
    Group = Group << 6U | static_cast<std::uint32_t>(Value);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Decoded += static_cast<char>(Group >> static_cast<unsigned>(Bits) & 255U);
  }
  return Decoded;
}

std::string decodePercent(const std::string &Text) {
  std::string Decoded;
  for (std::size_t Position = 0; Position < Text.size(); ++Position) {
    if (Text[Position] != '%' || Position + 2 >= Text.size()) {
      Decoded += Text[Position];
      continue;
    }
    Decoded += static_cast<char>(
        std::strtol(Text.substr(Position + 1, 2).c_str(), nullptr, 16));
    Position += 2;
  }
  return Decoded;
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Text;
}

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  return Address;
}

bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Size =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size <= 0)
      return false;
    Sent += static_cast<std::size_t>(Size);
  }
  return true;
}

/// Reads the next message of \p Socket; \p Unread holds what was read beyond.
/// Returns its first line, fields and body, or nothing at the end.
struct Message {
  std::string FirstLine_;
  std::map<std::string, std::string> Headers_;
  std::string Body_;
};

std::optional<Message> readMessage(int Socket, std::string &Unread,
                                   std::int64_t DeadlineMs) {
  auto ReadMore = [&] {
    if (DeadlineMs >= 0) {
      pollfd Poll{Socket, POLLIN, 0};
      auto Left = static_cast<int>(DeadlineMs - nowMs());
      if (Left <= 0 || ::poll(&Poll, 1, Left) <= 0)
        return false;
    }
    char Buffer[16'384];
    ssize_t Size = ::recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Size <= 0)
      return false;
    Unread.append(Buffer, static_cast<std::size_t>(Size));
    return true;
  };
  std::size_t HeadEnd = 0;
  while ((HeadEnd = Unread.find("\r\n\r\n")) == std::string::npos)
    if (!ReadMore())
      return std::nullopt;
  Message Read;
  std::istringstream Head(Unread.substr(0, HeadEnd));
  std::string Line;
  std::getline(Head, Read.FirstLine_);
  if (!Read.FirstLine_.empty() && Read.FirstLine_.back() == '\r')
    Read.FirstLine_.pop_back();
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Read.Headers_[lower(Line.substr(0, Colon))] =
        Value == std::string::npos ? "" : Line.substr(Value);
  }
  std::size_t Length = 0;
  if (Read.Headers_.contains("content-length"))
    Length = std::stoul(Read.Headers_["content-length"]);
  Unread.erase(0, HeadEnd + 4);
  while (Unread.size() < Length)
    if (!ReadMore())
      return std::nullopt;
  Read.Body_ = Unread.substr(0, Length);
  Unread.erase(0, Length);
  return Read;
}

std::uint64_t numberOf(const Request &Asked, const char *Name,
                       std::uint64_t Default) {
  auto Found = Asked.Query_.find(Name);
  return Found == Asked.Query_.end() ? Default : std::stoull(Found->second);
}

std::string textOf(const Request &Asked, const char *Name) {
  auto Found = Asked.Query_.find(Name);
  return Found == Asked.Query_.end() ? "" : Found->second;
}

std::mutex RecordMutex;
std::ofstream RecordFile;

} // namespace

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               ProgramStart)
      .count();
}

std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleepMs(std::int64_t Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

void sleepUntilMs(std::int64_t Milliseconds) {
  std::this_thread::sleep_until(ProgramStart +
                                std::chrono::milliseconds(Milliseconds));
}

void Record::open(const std::string &Path) {
  RecordFile.open(Path, std::ios::trunc);
}

void Record::line(const std::string &Text) {
  std::lock_guard<std::mutex> Lock(RecordMutex);
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%9.3f ",
                static_cast<double>(nowMs()) / 1000.0);
  RecordFile << Time << Text << '\n';
  RecordFile.flush();
}

void Server::start(std::uint16_t Port) {
  Listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  ::setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = loopback(Port);
  // The connections of the life before may take a moment to go.
  for (int Try = 0; ::bind(Listener_, reinterpret_cast<sockaddr *>(&Address),
                           sizeof(Address)) != 0;
       ++Try) {
    if (Try == 100)
      throw std::runtime_error("cannot bind a port");
    sleepMs(20);
  }
  if (::listen(Listener_, 128) != 0)
    throw std::runtime_error("cannot listen");
  socklen_t Size = sizeof(Address);
  ::getsockname(Listener_, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port_ = ntohs(Address.sin_port);
  IsStopped_ = false;
  Acceptor_ = std::thread([this] {
    while (!IsStopped_) {
      int Socket = ::accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      int NoDelay = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &NoDelay, sizeof(NoDelay));
      std::lock_guard<std::mutex> Lock(Mutex_);
      Sockets_.insert(Socket);
      Threads_.emplace_back([this, Socket] { serve(Socket); });
    }
  });
}

void Server::stop() {
  if (IsStopped_.exchange(true))
    return;
  ::shutdown(Listener_, SHUT_RDWR);
  Acceptor_.join();
  ::close(Listener_);
  std::vector<std::thread> Threads;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    for (int Socket : Sockets_) {
      if (SilentSockets_.contains(Socket))
        continue;
      linger Reset{1, 0};
      ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
      ::shutdown(Socket, SHUT_RDWR);
    }
    auto FirstSilent = std::partition(
        Threads_.begin(), Threads_.end(), [this](const std::thread &Each) {
          return !SilentThreads_.contains(Each.get_id());
        });
    Threads.assign(std::make_move_iterator(Threads_.begin()),
                   std::make_move_iterator(FirstSilent));
    Threads_.erase(Threads_.begin(), FirstSilent);
  }
  for (std::thread &Each : Threads)
    Each.join();
}

Server::~Server() {
  stop();
  for (std::thread &Each : Threads_)
    Each.join();
}

void Server::goSilent() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  SilentThreads_.insert(std::this_thread::get_id());
  SilentSockets_.insert(SocketOfThread_[std::this_thread::get_id()]);
}

void Server::serve(int Socket) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    SocketOfThread_[std::this_thread::get_id()] = Socket;
  }
  std::string Unread;
  while (!IsStopped_) {
    std::optional<Message> Read = readMessage(Socket, Unread, -1);
    if (!Read)
      break;
    Request Asked;
    std::istringstream First(Read->FirstLine_);
    First >> Asked.Method_ >> Asked.Path_;
    Asked.Headers_ = std::move(Read->Headers_);
    Asked.Body_ = std::move(Read->Body_);
    std::size_t QueryStart = Asked.Path_.find('?');
    if (QueryStart != std::string::npos) {
      std::istringstream Query(Asked.Path_.substr(QueryStart + 1));
      std::string Field;
      while (std::getline(Query, Field, '&')) {
        std::size_t Equals = Field.find('=');
        if (Equals != std::string::npos)
          Asked.Query_[Field.substr(0, Equals)] =
              decodePercent(Field.substr(Equals + 1));
      }
      Asked.Path_.resize(QueryStart);
    }
    std::optional<Response> Answer = Handle_(Asked);
    if (!Answer || IsStopped_)
      break;
    std::string Bytes = "HTTP/1.1 " + std::to_string(Answer->Status_) +
                        " x\r\nContent-Type: application/json\r\n"
                        "Content-Length: " +
                        std::to_string(Answer->Body_.size()) + "\r\n\r\n" +
                        Answer->Body_;
    if (!sendAll(Socket, Bytes))
      break;
  }
  std::lock_guard<std::mutex> Lock(Mutex_);
  Sockets_.erase(Socket);
  ::close(Socket);
}

std::uint16_t freePort() {
  static std::set<std::uint16_t> Given;
  while (true) {
    int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = loopback(0);
    ::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    socklen_t Size = sizeof(Address);
    ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
    ::close(Socket);
    if (Given.insert(ntohs(Address.sin_port)).second)
      return ntohs(Address.sin_port);
  }
}

Response call(const std::string &Address, const std::string &Method,
              const std::string &Path, const std::string &Host,
              const std::string &Body, int TimeoutMs) {
  Response None;
  None.Status_ = 0;
  std::int64_t DeadlineMs = nowMs() + TimeoutMs;
  auto Port = static_cast<std::uint16_t>(
      std::stoul(Address.substr(Address.find(':') + 1)));
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Target = loopback(Port);
  std::optional<Message> Read;
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                sizeof(Target)) == 0) {
    std::string Bytes =
        Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
        "\r\nX-Filbertspring-Deadline-Ms: " + std::to_string(TimeoutMs) +
        "\r\n";
    if (!Body.empty())
      Bytes += "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n";
    Bytes += "\r\n" + Body;
    std::string Unread;
    if (sendAll(Socket, Bytes))
      Read = readMessage(Socket, Unread, DeadlineMs);
  }
  ::close(Socket);
  if (!Read || Read->FirstLine_.size() < 12)
    return None;
  return {std::stoi(Read->FirstLine_.substr(9, 3)), Read->Body_};
}

Store::Store() = default;

std::string Store::addPort() {
  Servers_.push_back(std::make_unique<Server>(
      [this](const Request &Asked) { return handle(Asked); }));
  Servers_.back()->start();
  return Servers_.back()->address();
}

void Store::put(const std::string &Table, const std::string &Key,
                const Json &Value) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Rows_[{Table, "", Key}] = {Value.dump(), ++Version_, false};
  Changed_.notify_all();
}

void Store::remove(const std::string &Table, const std::string &Key) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto Found = Rows_.find({Table, "", Key});
  if (Found == Rows_.end() || Found->second.IsRemoved_)
    return;
  Found->second = {"", ++Version_, true};
  Changed_.notify_all();
}

std::string Store::get(const std::string &Table, const std::string &Part,
                       const std::string &Key) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  auto Found = Rows_.find({Table, Part, Key});
  return Found == Rows_.end() ? "" : Found->second.Value_;
}

std::optional<Response> Store::handle(const Request &Asked) {
  if (Asked.Path_ == "/rows-tx") {
    sleepMs(TransactionMs);
    return transact(Json::parse(Asked.Body_));
  }
  if (Asked.Path_ == "/rows-get") {
    sleepMs(ReadMs);
    return read(Asked);
  }
  if (Asked.Path_ == "/rows-feed")
    return feed(Asked);
  return Response{404, "{}"};
}

Json Store::encode(const RowId &Id, const Row &Stored) const {
  Json Object = {{"Table", std::get<0>(Id)},
                 {"part", std::get<1>(Id)},
                 {"Key", std::get<2>(Id)},
                 {"RecordVersion", Stored.Version_}};
  if (Stored.IsRemoved_)
    Object["Deleted"] = true;
  else
    Object["Value"] = encodeBase64(Stored.Value_);
  return Object;
}

Response Store::transact(const Json &Transaction) {
  auto IdOf = [](const Json &Object) {
    return RowId{Object.at("Table"), Object.value("part", ""),
                 Object.at("Key")};
  };
  std::lock_guard<std::mutex> Lock(Mutex_);
  Json Present = Json::array();
  bool DoHold = true;
  for (const Json &Condition :
       Transaction.value("Precondition", Json::array())) {
    auto Found = Rows_.find(IdOf(Condition));
    bool Exists = Found != Rows_.end() && !Found->second.IsRemoved_;
    std::uint64_t Version = Exists ? Found->second.Version_ : 0;
    DoHold = DoHold && Version == Condition.at("RecordVersion");
    if (Exists)
      Present.push_back(encode(Found->first, Found->second));
  }
  if (!DoHold)
    return {
        412,
        Json{{"rows", Present}, {"RecordVersion", Version_}, {"NowMs", nowMs()}}
            .dump()};
  ++Version_;
  for (const Json &Written : Transaction.value("Writes", Json::array()))
    Rows_[IdOf(Written)] = {decodeBase64(Written.at("Value")), Version_, false};
  for (const Json &Removed : Transaction.value("Remove", Json::array()))
    Rows_[IdOf(Removed)] = {"", Version_, true};
  Changed_.notify_all();
  return {200, Json{{"RecordVersion", Version_}, {"NowMs", nowMs()}}.dump()};
}

Response Store::read(const Request &Asked) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  std::string Table = textOf(Asked, "Table");
  std::string Part = textOf(Asked, "part");
  std::string Target = textOf(Asked, "Target");
  std::uint64_t Limit =
      std::min<std::uint64_t>(numberOf(Asked, "Limit", 500), 500);
  Json Rows = Json::array();
  bool IsTruncated = false;
  for (auto Row = Rows_.lower_bound({Table, Part, textOf(Asked, "From")});
       Row != Rows_.end(); ++Row) {
    const auto &[RowTable, RowPart, Key] = Row->first;
    if (RowTable != Table || RowPart != Part ||
        (!Target.empty() && Key >= Target))
      break;
    if (Row->second.IsRemoved_)
      continue;
    if (Rows.size() == Limit) {
      IsTruncated = true;
      break;
    }
    Rows.push_back(encode(Row->first, Row->second));
  }
  return {200, Json{{"rows", Rows},
                    {"Truncated", IsTruncated},
                    {"RecordVersion", Version_},
                    {"NowMs", nowMs()}}
                   .dump()};
}

Response Store::feed(const Request &Asked) {
  std::string Table = textOf(Asked, "Table");
  std::uint64_t After = numberOf(Asked, "After", 0);
  auto End =
      Clock::now() + std::chrono::milliseconds(numberOf(Asked, "WaitMs", 0));
  std::unique_lock<std::mutex> Lock(Mutex_);
  while (true) {
    std::multimap<std::uint64_t, Json> Rows;
    for (auto Row = Rows_.lower_bound({Table, "", ""});
         Row != Rows_.end() && std::get<0>(Row->first) == Table; ++Row)
      if (Row->second.Version_ > After)
        Rows.emplace(Row->second.Version_, encode(Row->first, Row->second));
    if (!Rows.empty() || Clock::now() >= End) {
      Json List = Json::array();
      for (auto &[Version, Row] : Rows)
        List.push_back(std::move(Row));
      return {
          200,
          Json{{"rows", List}, {"RecordVersion", Version_}, {"NowMs", nowMs()}}
              .dump()};
    }
    Changed_.wait_until(Lock, End);
  }
}

std::size_t RunLog::started(const std::string &Task, std::uint64_t Run,
                            const std::string &Executor) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  Runs_.push_back({Task, Run, Executor, nowMs(), -1, ""});
  Record::line("executor " + Executor + " starts " + Task + " run " +
               std::to_string(Run));
  return Runs_.size() - 1;
}

void RunLog::ended(std::size_t Index, const std::string &How) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  RunSeen &Ended = Runs_[Index];
  Ended.EndedMs_ = nowMs();
  Ended.How_ = How;
  Record::line("executor " + Ended.Executor_ + " ends " + Ended.Task_ +
               " run " + std::to_string(Ended.Run_) + ": " + How);
}

std::vector<RunSeen> RunLog::all() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Runs_;
}

std::size_t RunLog::count(const std::string &Job, const std::string &How) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return static_cast<std::size_t>(
      std::count_if(Runs_.begin(), Runs_.end(), [&](const RunSeen &Each) {
        return Each.Task_.starts_with(Job + ".") && Each.How_ == How;
      }));
}

std::mutex Executor::FailuresMutex_;
std::map<std::string, int> Executor::Failures_;

Executor::Executor(ExecutorSettings Settings, Store &Platform, RunLog &Runs)
    : Settings_(std::move(Settings)), Platform_(Platform), Log_(Runs) {}

Executor::~Executor() { end(); }

std::string Executor::id() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Id_;
}

std::size_t Executor::running() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Runs_.size();
}

void Executor::start() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (!Settings_.KeepsId_ && Life_ > 0)
      Expiring_.emplace_back(Id_, LastBeatMs_ + 3 * Settings_.HeartbeatMs_);
    ++Life_;
    Id_ = "i-" + Settings_.Name_;
    if (!Settings_.KeepsId_)
      Id_ += "-" + std::to_string(Life_);
    BornMs_ = wallMs();
    // Each life has a clock of its own, which starts anew. The first life has
    // been up for some minutes.
    ClockBaseMs_ = nowMs() - (Life_ == 1 ? 600'000 : 1'000);
    Token_ = 0;
    LeaseEndMs_ = 0;
    Runs_.clear();
    HighestEnded_.clear();
    Ends_.clear();
    LastEnd_ = 0;
    Sequence_ = 0;
    IsDraining_ = false;
  }
  IsUp_ = true;
  if (Server_)
    FormerServers_.push_back(std::move(Server_));
  Server_ = std::make_unique<Server>(
      [this](const Request &Asked) { return handle(Asked); });
  Server_->start(Port_);
  Port_ = Server_->port();
  Record::line("executor " + id() + " is up");
  Worker_ = std::thread([this] { work(); });
}

void Executor::crash() {
  Record::line("executor " + id() + " crashes");
  end();
  std::lock_guard<std::mutex> Lock(Mutex_);
  for (const auto &[Task, Lost] : Runs_)
    Log_.ended(Lost.LogIndex_, "crashed");
  Runs_.clear();
}

void Executor::shutDown() {
  Record::line("executor " + id() + " is shut down");
  end();
  Platform_.remove("servers", id());
}

void Executor::drain() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  IsDraining_ = true;
  beat();
  Record::line("executor " + Id_ + " drains");
}

void Executor::end() {
  if (!IsUp_.exchange(false))
    return;
  Changed_.notify_all();
  Server_->stop();
  Worker_.join();
}

std::int64_t Executor::clockMs() const { return nowMs() - ClockBaseMs_; }

void Executor::beat() {
  Json Entry = {{"Service", Settings_.Service_},
                {"Address", Server_->address()},
                {"Zone", Settings_.Zone_},
                {"Version", "1"},
                {"Slots", 8},
                {"State", IsDraining_ ? "draining" : "ready"},
                {"ColdLeftMs", 0},
                {"Sequence", ++Sequence_},
                {"Capacity",
                 {{"Cpu", Settings_.MilliCpu_},
                  {"MemMb", Settings_.MemoryMb_},
                  {"Gpu", 0}}},
                {"Labels", {"a", Settings_.Rack_}},
                {"born", BornMs_}};
  if (IsDraining_)
    Entry["RemainingMs"] = 2000;
  Platform_.put("servers", Id_, Entry);
  LastBeatMs_ = nowMs();
}

void Executor::work() {
  std::int64_t NextBeatMs = Life_ > 1 ? nowMs() + Settings_.FirstBeatMs_ : 0;
  while (IsUp_) {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      std::int64_t Now = clockMs();
      while (!Expiring_.empty() && Expiring_.front().second <= nowMs()) {
        Platform_.remove("servers", Expiring_.front().first);
        Expiring_.pop_front();
      }
      if (nowMs() >= NextBeatMs) {
        NextBeatMs = nowMs() + Settings_.HeartbeatMs_;
        beat();
      }
      std::vector<std::pair<std::string, std::string>> Ended;
      for (const auto &[Task, Active] : Runs_)
        if (Now > LeaseEndMs_)
          Ended.emplace_back(Task, "lapsed");
        else if (Active.EndMs_ >= 0 && Now >= Active.EndMs_)
          Ended.emplace_back(Task, Active.Fails_ ? "failed" : "done");
      for (const auto &[Task, How] : Ended)
        endRun(Task, How);
    }
    sleepMs(5);
  }
}

/// The caller holds the mutex.
void Executor::endRun(const std::string &Task, const std::string &How) {
  const Run &Ended = Runs_.at(Task);
  Log_.ended(Ended.LogIndex_, How);
  HighestEnded_[Task] = std::max(HighestEnded_[Task], Ended.Number_);
  Ends_.push_back({++LastEnd_, Task, Ended.Number_, How});
  Runs_.erase(Task);
  Changed_.notify_all();
}

Response Executor::answer(int Status, Json Body) const {
  Body["ClockMs"] = clockMs();
  Body["born"] = BornMs_;
  return {Status, Body.dump()};
}

Response Executor::reject(const char *Reason) const {
  return answer(409, {{"Reason", Reason}});
}

void Executor::extendLease(const Json &Body) {
  if (!Body.contains("DeadlineMs"))
    return;
  std::int64_t Until =
      std::min<std::int64_t>(Body.at("DeadlineMs").get<std::int64_t>(),
                             clockMs() + Settings_.MaxHoldMs_);
  LeaseEndMs_ = std::max(LeaseEndMs_, Until);
}

void Executor::holdBack(std::function<bool(const Request &)> Matches) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  HoldsBack_ = std::move(Matches);
}

bool Executor::hasHeld() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return !Held_.empty();
}

void Executor::executeHeld() {
  std::vector<Request> Late;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Late = std::exchange(Held_, {});
    HoldsBack_ = nullptr;
  }
  for (const Request &Each : Late) {
    std::optional<Response> Answer = execute(Each);
    Record::line("executor " + id() + " executes late " + Each.Path_ + " " +
                 Each.Body_ + ": " + (Answer ? Answer->Body_ : "-"));
  }
}

std::optional<Response> Executor::handle(const Request &Asked) {
  {
    std::unique_lock<std::mutex> Lock(Mutex_);
    if (HoldsBack_ && HoldsBack_(Asked)) {
      Held_.push_back(Asked);
      Record::line("executor " + Id_ + " gets " + Asked.Path_ + " " +
                   Asked.Body_ + ", which is late");
      Server_->goSilent();
      Lock.unlock();
      sleepMs(3000);
      return std::nullopt;
    }
  }
  return execute(Asked);
}

std::optional<Response> Executor::execute(const Request &Asked) {
  Json Body = Json::parse(Asked.Body_);
  std::unique_lock<std::mutex> Lock(Mutex_);
  auto Expected = Asked.Headers_.find("x-filbertspring-expected-instance");
  if (Expected != Asked.Headers_.end() && Expected->second != Id_)
    return Response{421, "{}"};
  std::uint64_t Token = Body.value("FencingToken", std::uint64_t{0});
  if (Token < Token_)
    return reject("fence");
  Token_ = Token;
  if (Asked.Path_ == "/run-start")
    return startRun(Body);
  if (Asked.Path_ == "/run-stop")
    return stopRun(Body);
  if (Asked.Path_ == "/pace")
    return answer(200, Json::object());
  if (Asked.Path_ != "/hold")
    return Response{404, "{}"};
  std::uint64_t LastSeen = Body.value("LastSeen", std::uint64_t{0});
  std::erase_if(Ends_,
                [&](const End &Each) { return Each.Number_ <= LastSeen; });
  extendLease(Body);
  auto Until = Clock::now() + std::chrono::milliseconds(
                                  std::min(2000, Body.value("WaitMs", 0)));
  while (Ends_.empty() && IsUp_ && Clock::now() < Until)
    Changed_.wait_until(Lock, Until);
  if (!IsUp_)
    return std::nullopt;
  return report();
}

Response Executor::report() {
  Json Running = Json::array();
  for (const auto &[Task, Active] : Runs_)
    Running.push_back({Task, Active.Number_, "", 100, 500});
  Json Finished = Json::array();
  for (const End &Each : Ends_)
    if (Finished.size() < 500)
      Finished.push_back({Each.Number_, Each.Task_, Each.Run_, Each.How_, ""});
  return answer(200, {{"Running", Running}, {"Finished", Finished}});
}

Response Executor::startRun(const Json &Body) {
  std::string Task = Body.at("Task");
  std::uint64_t Number = Body.at("Run");
  if (Body.at("DeadlineMs").get<std::int64_t>() < clockMs())
    return reject("late");
  extendLease(Body);
  auto Present = Runs_.find(Task);
  if (Present != Runs_.end() && Present->second.Number_ == Number)
    return answer(200, Json::object());
  if (Present != Runs_.end() || Number <= HighestEnded_[Task])
    return reject("old");
  Run Started;
  Started.Number_ = Number;
  std::istringstream Spec(Body.value("Spec", std::string()));
  std::string Word;
  while (Spec >> Word) {
    if (Word.starts_with("work="))
      Started.EndMs_ = clockMs() + std::stol(Word.substr(5));
    if (!Word.starts_with("fail="))
      continue;
    std::lock_guard<std::mutex> Lock(FailuresMutex_);
    Started.Fails_ = ++Failures_[Task] <= std::stoi(Word.substr(5));
  }
  Started.LogIndex_ = Log_.started(Task, Number, Id_);
  Runs_[Task] = Started;
  return answer(200, Json::object());
}

Response Executor::stopRun(const Json &Body) {
  std::string Task = Body.at("Task");
  std::uint64_t Number = Body.at("Run");
  HighestEnded_[Task] = std::max(HighestEnded_[Task], Number);
  auto Present = Runs_.find(Task);
  if (Present != Runs_.end() && Present->second.Number_ <= Number)
    endRun(Task, "stopped");
  return answer(200, Json::object());
}

Node::Node(std::string Name, std::string Zone, const std::string &StoreAddress,
           const std::string &Folder)
    : Name_(std::move(Name)), Folder_(Folder),
      Settings_(Folder + "/" + Name_ + ".json") {
  auto Local = [] { return "127.0.0.1:" + std::to_string(freePort()); };
  Front_ = Local();
  Readiness_ = Local();
  std::string Peers = Local();
  std::map<std::string, std::string> Values = {
      {"{{NodeName|json}}", Json(Name_).dump()},
      {"{{Zone|json}}", Json(Zone).dump()},
      {"{{Listen.Front|json}}", Json(Front_).dump()},
      {"{{Listen.Readiness|json}}", Json(Readiness_).dump()},
      {"{{Ip}}:{{PortRange.0}}", Peers},
      {"{{Ip}}:9464", Local()},
      {"{{platform.Address|json}}", Json(StoreAddress).dump()},
      {"{{Limits.CpuShare|json}}", "0.1"},
      {"{{Limits.CpuCores|json}}", "1"},
      {"{{Limits|json}}",
       R"({"CpuShare":0.1,"CpuCores":1,"MemoryMb":260,"MaxFds":4100,)"
       R"("LinkMbps":1000.0,"DiskMb":0})"},
      {"{{Bounds.MaxHoldMs|json}}", "6000"},
      {"{{Bounds.KillTimeoutMs|json}}", "200"},
      {"{{Bounds.GraceS|json}}", "6"},
      {"{{Bounds.status_s|json}}", "120"},
      {"{{Bounds.FarFactor|json}}", "3"}};
  std::ifstream Template("deploy/settings.json.tmpl");
  std::ostringstream Text;
  Text << Template.rdbuf();
  std::string Filled = Text.str();
  for (const auto &[Placeholder, Value] : Values) {
    std::size_t Position = Filled.find(Placeholder);
    if (Position != std::string::npos)
      Filled.replace(Position, Placeholder.size(), Value);
  }
  if (Filled.empty() || Filled.find("{{") != std::string::npos)
    throw std::runtime_error("the settings template has other placeholders");
  std::ofstream(Settings_) << Filled;
}

Node::~Node() { kill(); }

void Node::start() {
  std::string Log = Folder_ + "/" + Name_ + ".log";
  Record::line("process " + Name_ + " starts");
  Pid_ = ::fork();
  if (Pid_ < 0)
    throw std::runtime_error("cannot fork");
  if (Pid_ > 0)
    return;
  // It must not outlive the case.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::setenv("FILBERTSPRING_BOOT", Settings_.c_str(), 1);
  int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Output, 1);
  ::dup2(Output, 2);
  ::execl("target/bin/filbertspring", "target/bin/filbertspring", "node",
          nullptr);
  ::_exit(127);
}

void Node::kill() {
  if (Pid_ <= 0)
    return;
  ::kill(Pid_, SIGKILL);
  ::waitpid(Pid_, nullptr, 0);
  Pid_ = -1;
}

bool Node::waitUntilReady(int TimeoutMs) {
  for (std::int64_t End = nowMs() + TimeoutMs; nowMs() < End; sleepMs(50))
    if (call(Readiness_, "GET", "/ready", "x", "", 500).Status_ == 200)
      return true;
  return false;
}

Response Node::send(const std::string &Method, const std::string &Path,
                    const std::string &Body, int TimeoutMs) {
  Response Answer = call(Front_, Method, Path, QueueHost, Body, TimeoutMs);
  Record::line("client " + Method + " " + Path + " at " + Name_ + ": " +
               std::to_string(Answer.Status_) + " " + Answer.Body_);
  return Answer;
}

Json makeConfiguration(int Version, bool HasQueue, int Attempts) {
  auto Route = [&](const char *Name, const char *Prefix) {
    return Json{{"Name", Name},         {"Host", QueueHost},
                {"PathPrefix", Prefix}, {"Type", "non_idempotent"},
                {"TimeoutMs", 3000},    {"TargetLatencyMs", 250},
                {"Priority", 0},        {"Service", "desk"},
                {"Attempts", Attempts}, {"SlackFactor", 1.5}};
  };
  Json Routes = Json::array({Route("idle", "/idle/")});
  if (HasQueue)
    Routes.push_back(Route("requests", "/q/"));
  return {{"Version", Version},
          {"Routes", Routes},
          {"Services", {{{"Name", "desk"}, {"EnforceCapacity", false}}}},
          {"Limits", {{"MaxBodyBytes", 262'144}}}};
}

} // namespace review
