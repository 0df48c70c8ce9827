#include "filbertspring/platform/instance_list_client.h"

#include "http_channel.h"

#include <utility>

namespace filbertspring {

struct InstanceListClient::Impl {
  HttpChannel Channel_;
};

InstanceListClient::InstanceListClient(const Address &Platform, ZoneName Zone,
                                       Duration Timeout)
    : Impl_(new Impl{HttpChannel(Platform, Zone, Timeout)}) {}

InstanceListClient::~InstanceListClient() = default;
InstanceListClient::InstanceListClient(InstanceListClient &&) noexcept =
    default;
InstanceListClient &
InstanceListClient::operator=(InstanceListClient &&) noexcept = default;

Result<InstanceList> InstanceListClient::read() {
  HttpChannel &Channel = Impl_->Channel_;
  auto Answer = Channel.send({"GET", "/instances", ""}, Channel.deadline());
  if (!Answer)
    return fail(Answer.error());
  if (Answer->Status_ != StatusOk)
    return fail(Errc::Unavailable);
  return decodeInstanceList(Answer->Body_);
}

} // namespace filbertspring
