#include "filbertspring/platform/object_client.h"

#include "http_channel.h"

#include <algorithm>
#include <utility>

namespace filbertspring {
namespace {

constexpr std::string_view AllowedNameCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._/";

bool isObjectName(std::string_view Name) {
  return !Name.empty() && Name.find_first_not_of(AllowedNameCharacters) ==
                              std::string_view::npos;
}

std::string objectPath(std::string_view Name) {
  return "/objects/" + std::string(Name);
}

} // namespace

struct ObjectClient::Impl {
  HttpChannel Channel_;
};

ObjectClient::ObjectClient(const Address &Platform, const ZoneName &Zone,
                           Duration Timeout)
    : Impl_(new Impl{HttpChannel(Platform, Zone, Timeout)}) {}

ObjectClient::~ObjectClient() = default;
ObjectClient::ObjectClient(ObjectClient &&) noexcept = default;
ObjectClient &ObjectClient::operator=(ObjectClient &&) noexcept = default;

Result<std::string> ObjectClient::get(std::string_view Name) {
  if (!isObjectName(Name))
    return fail(Errc::InvalidInput);
  HttpChannel &Channel = Impl_->Channel_;
  auto Answer = Channel.send({"GET", objectPath(Name), ""}, Channel.deadline());
  if (!Answer)
    return fail(Answer.error());
  if (Answer->Status_ == StatusNotFound)
    return fail(Errc::NotFound);
  if (Answer->Status_ != StatusOk)
    return fail(Errc::Unavailable);
  return std::move(Answer->Body_);
}

Status ObjectClient::put(std::string_view Name, std::string_view Bytes) {
  if (!isObjectName(Name))
    return fail(Errc::InvalidInput);
  HttpChannel &Channel = Impl_->Channel_;
  auto Answer = Channel.send({"PUT", objectPath(Name), std::string(Bytes)},
                             Channel.deadline());
  if (!Answer)
    return fail(Answer.error() == Errc::ConnectFailed ? Errc::ConnectFailed
                                                      : Errc::OutcomeUnknown);
  if (Answer->Status_ == StatusUnavailable)
    return fail(Errc::Unavailable);
  if (Answer->Status_ != StatusOk)
    return fail(Errc::OutcomeUnknown);
  return {};
}

} // namespace filbertspring
