#include "api.h"

#include "handlers.h"
#include "json_answer.h"

namespace filbertspring {
namespace {

HttpAnswer answerMetrics(ApiContext &Context) {
  routing::RouterCounts Counts = Context.Routing_.counts();
  CounterRegistry &Counters = Context.Counters_;
  Counters.gauge("filbertspring_requests_queued")
      .set(static_cast<std::int64_t>(Counts.Queued_));
  Counters.gauge("filbertspring_requests_in_flight")
      .set(static_cast<std::int64_t>(Counts.InFlight_));
  Counters.gauge("filbertspring_endpoints_usable")
      .set(static_cast<std::int64_t>(Counts.UsableEndpoints_));
  Counters.gauge("filbertspring_ready").set(isReady(Context) ? 1 : 0);
  HttpAnswer Answer;
  Answer.ContentType_ = "text/plain; version=0.0.4";
  Answer.Body_ = Counters.toPrometheusText();
  return Answer;
}

HttpAnswer answerVersion1(ApiContext &Context, const HttpRequest &Request,
                          PathParts Path) {
  constexpr std::size_t GroupDepth = 2;
  if (Path.size() < GroupDepth)
    return errorAnswer(404, "no such path");
  std::string Group = Path[1];
  Path.erase(Path.begin(), Path.begin() + GroupDepth);
  if (Group == "requests")
    return answerRequest(Context, Request, Path);
  if (Group == "jobs")
    return answerJobCall(Context, Request, Path);
  if (Group == "watches")
    return answerWatchCall(Context, Request, Path);
  if (Group == "admin")
    return answerAdminCall(Context, Request, Path);
  return errorAnswer(404, "no such path");
}

} // namespace

bool isReady(const ApiContext &Context) {
  return !Context.DrainStarted_ && Context.Snapshots_.current()->Configured_;
}

HttpAnswer answerCall(ApiContext &Context, const HttpRequest &Request) {
  PathParts Path = splitPath(Request.Path_);
  if (Path.empty())
    return errorAnswer(404, "no such path");
  if (Path[0] == "v1")
    return answerVersion1(Context, Request, std::move(Path));
  if (Path[0] == "healthz")
    return jsonAnswer(200, {{"healthy", true}});
  if (Path[0] == "readyz")
    return jsonAnswer(isReady(Context) ? 200 : 503,
                      {{"ready", isReady(Context)}});
  if (Path[0] == "metrics")
    return answerMetrics(Context);
  return errorAnswer(404, "no such path");
}

} // namespace filbertspring
