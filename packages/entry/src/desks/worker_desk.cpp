#include "worker_desk.h"

namespace filbertspring {
namespace {

constexpr Duration WorkerTimeout = std::chrono::milliseconds(1500);

placement::PlacementEvent failureOf(const placement::SendCommands &Commands,
                                    bool SurelyNotReceived) {
  return placement::WorkerUnreachable{Commands.Worker_, Commands.Exchange_,
                                      SurelyNotReceived};
}

placement::PlacementEvent perform(const placement::SendCommands &Commands,
                                  WorkerClient &Client) {
  Result<WorkerAnswer> Answer = Client.send(Commands.Commands_);
  if (!Answer)
    return failureOf(Commands, Answer.error() != Errc::OutcomeUnknown);
  return placement::WorkerAnswered{Commands.Worker_, Commands.Exchange_,
                                   std::move(*Answer)};
}

} // namespace

WorkerDesk::WorkerDesk(const Settings &Values, std::size_t Threads,
                       Answered OnAnswered)
    : Values_(Values), OnAnswered_(std::move(OnAnswered)),
      Commands_(RingCapacity) {
  Threads_.reserve(Threads);
  for (std::size_t Index = 0; Index < Threads; ++Index)
    Threads_.emplace_back([this] { run(); });
}

WorkerDesk::~WorkerDesk() { stop(); }

void WorkerDesk::send(const placement::SendCommands &Commands) {
  if (!Commands_.tryPush(Commands))
    OnAnswered_(failureOf(Commands, true));
}

WorkerClient WorkerDesk::takeClient(const Address &Worker) {
  std::scoped_lock Lock(Mutex_);
  auto Idle = Idle_.extract(Worker.toString());
  if (!Idle.empty())
    return std::move(Idle.mapped());
  return WorkerClient(Worker, Values_.Zone_, WorkerTimeout);
}

void WorkerDesk::giveBack(const Address &Worker, WorkerClient Client) {
  std::scoped_lock Lock(Mutex_);
  Idle_.insert_or_assign(Worker.toString(), std::move(Client));
}

void WorkerDesk::run() {
  while (std::optional<placement::SendCommands> Commands = Commands_.pop()) {
    WorkerClient Client = takeClient(Commands->Address_);
    OnAnswered_(perform(*Commands, Client));
    giveBack(Commands->Address_, std::move(Client));
  }
}

void WorkerDesk::stop() {
  Commands_.close();
  for (std::thread &Each : Threads_)
    Each.join();
  Threads_.clear();
}

} // namespace filbertspring
