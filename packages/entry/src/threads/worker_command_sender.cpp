#include "worker_command_sender.h"

namespace filbertspring {
namespace {

constexpr Duration WorkerTimeout = std::chrono::milliseconds(1500);

placement::PlacementEvent
makeFailureEvent(const placement::SendCommands &Commands,
                 bool KnownNotReceived) {
  return placement::WorkerUnreachable{Commands.Worker_, Commands.Exchange_,
                                      KnownNotReceived};
}

placement::PlacementEvent perform(const placement::SendCommands &Commands,
                                  WorkerClient &Client) {
  Result<WorkerAnswer> Answer = Client.send(Commands.Commands_);
  if (!Answer)
    return makeFailureEvent(Commands, Answer.error() != Errc::OutcomeUnknown);
  return placement::WorkerAnswered{Commands.Worker_, Commands.Exchange_,
                                   std::move(*Answer)};
}

} // namespace

WorkerCommandSender::WorkerCommandSender(const Settings &Values,
                                         std::size_t Threads,
                                         AnswerCallback OnAnswered)
    : Settings_(Values), OnAnswered_(std::move(OnAnswered)),
      Commands_(RingCapacity) {
  Threads_.reserve(Threads);
  for (std::size_t Index = 0; Index < Threads; ++Index)
    Threads_.emplace_back([this] { run(); });
}

WorkerCommandSender::~WorkerCommandSender() { stop(); }

void WorkerCommandSender::send(const placement::SendCommands &Commands) {
  if (!Commands_.tryPush(Commands))
    OnAnswered_(makeFailureEvent(Commands, true));
}

WorkerClient WorkerCommandSender::acquireClient(const Address &Worker) {
  std::scoped_lock Lock(Mutex_);
  auto IdleClient = IdleClients_.extract(Worker.toString());
  if (!IdleClient.empty())
    return std::move(IdleClient.mapped());
  return WorkerClient(Worker, Settings_.Zone_, WorkerTimeout);
}

void WorkerCommandSender::releaseClient(const Address &Worker,
                                        WorkerClient Client) {
  std::scoped_lock Lock(Mutex_);
  IdleClients_.insert_or_assign(Worker.toString(), std::move(Client));
}

void WorkerCommandSender::run() {
  while (std::optional<placement::SendCommands> Commands = Commands_.pop()) {
    WorkerClient Client = acquireClient(Commands->Address_);
    OnAnswered_(perform(*Commands, Client));
    releaseClient(Commands->Address_, std::move(Client));
  }
}

void WorkerCommandSender::stop() {
  Commands_.close();
  for (std::thread &Thread : Threads_)
    Thread.join();
  Threads_.clear();
}

} // namespace filbertspring
