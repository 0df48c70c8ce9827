#include "http_call.h"

#include <algorithm>
#include <cctype>
#include <httplib.h>

namespace filbertspring::tests {
namespace {

constexpr int ReadTimeoutSeconds = 40;

std::string toLower(std::string Text) {
  std::ranges::transform(Text, Text.begin(), [](unsigned char Character) {
    return static_cast<char>(std::tolower(Character));
  });
  return Text;
}

} // namespace

std::string Reply::header(const std::string &Name) const {
  auto Found = Headers_.find(Name);
  return Found == Headers_.end() ? std::string() : Found->second;
}

nlohmann::json Reply::json() const {
  return nlohmann::json::parse(Body_, nullptr, false);
}

Reply call(std::uint16_t Port, const std::string &Method,
           const std::string &Path, const std::string &Body,
           const std::map<std::string, std::string> &Headers) {
  httplib::Client Client("127.0.0.1", Port);
  Client.set_read_timeout(ReadTimeoutSeconds);
  httplib::Request Request;
  Request.method = Method;
  Request.path = Path;
  Request.body = Body;
  Request.headers.emplace("content-type", "application/json");
  for (const auto &[Name, Value] : Headers)
    Request.headers.emplace(Name, Value);
  httplib::Response Response;
  httplib::Error Error = httplib::Error::Success;
  Reply Result;
  if (!Client.send(Request, Response, Error))
    return Result;
  Result.Status_ = Response.status;
  Result.Body_ = Response.body;
  for (const auto &[Name, Value] : Response.headers)
    Result.Headers_[toLower(Name)] = Value;
  return Result;
}

} // namespace filbertspring::tests
