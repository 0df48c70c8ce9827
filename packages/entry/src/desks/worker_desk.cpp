#include "worker_desk.h"

#include "filbertspring/platform/worker_client.h"

#include <map>
#include <string>

namespace filbertspring {
namespace {

constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);
constexpr Duration WorkerTimeout = std::chrono::milliseconds(1500);

/// The connections of one thread, by address.
using Clients = std::map<std::string, WorkerClient>;

WorkerClient &clientOf(Clients &Open, const Address &Worker,
                       const ZoneName &Zone) {
  return Open.try_emplace(Worker.toString(), Worker, Zone, WorkerTimeout)
      .first->second;
}

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

void WorkerDesk::send(placement::SendCommands Commands) {
  if (!Commands_.tryPush(Commands))
    OnAnswered_(failureOf(Commands, true));
}

void WorkerDesk::run() {
  Clients Open;
  while (true) {
    std::optional<placement::SendCommands> Commands =
        Commands_.popFor(StopCheckInterval);
    if (Commands)
      OnAnswered_(perform(*Commands,
                          clientOf(Open, Commands->Address_, Values_.Zone_)));
    else if (Stopping_)
      return;
  }
}

void WorkerDesk::stop() {
  Stopping_ = true;
  for (std::thread &Each : Threads_)
    Each.join();
  Threads_.clear();
}

} // namespace filbertspring
