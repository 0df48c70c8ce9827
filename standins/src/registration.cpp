#include "filbertspring/standins/registration.h"

#include "filbertspring/platform/instance_codec.h"

#include <chrono>
#include <httplib.h>
#include <string>
#include <thread>

namespace filbertspring {
namespace {

constexpr int MaxTries = 50;
constexpr std::chrono::milliseconds RetryInterval{100};

} // namespace

Status registerInstance(const Address &Platform,
                        const ListedInstance &Instance) {
  Result<std::string> Entry = encodeInstance(Instance);
  if (!Entry)
    return fail(Entry.error());
  httplib::Client Client(Platform.Host_, Platform.Port_);
  Client.set_connection_timeout(RetryInterval);
  for (int Try = 0; Try < MaxTries; ++Try) {
    auto Answer = Client.Post("/instances", *Entry, "application/json");
    if (Answer && Answer->status == 200)
      return {};
    std::this_thread::sleep_for(RetryInterval);
  }
  return fail(Errc::Unavailable);
}

} // namespace filbertspring
