/// \file
/// The part of CallerRequestHandler that examines requests without their
/// bodies.

#include "caller_answers.h"
#include "callers.h"
#include "filbertspring/base/log.h"
#include "platform/caller_codec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <random>
#include <utility>

namespace filbertspring::node {
namespace {

using scheduling::Queue;
using scheduling::WorkspaceProblem;

/// The maximum number of lines about the workspaces of one configuration. A
/// generated configuration may have the same fault in each entry.
constexpr std::size_t MaxProblemLines = 20;
/// The maximum size of a field of such a line. Names may have any length.
constexpr std::size_t MaxProblemBytes = 200;

/// The largest body whatever the configuration says; rows of the store are not
/// larger.
constexpr std::size_t LargestBodyBytes = 1U << 20U;
/// The number of hexadecimal digits in a job's id.
constexpr std::size_t JobIdDigits = 16;

bool isJobId(std::string_view Text) {
  return Text.size() == JobIdDigits &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Digit) {
           return std::isxdigit(Digit) != 0;
         });
}

/// Returns the value of the header Content-Length, or 0.
std::uint64_t contentLength(const HttpRequest &Head) {
  std::string_view Text = Head.header("Content-Length");
  std::uint64_t Length = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  // The server refuses a length that is not a number.
  return Error == std::errc() ? Length : 0;
}

/// Logs why workspaces are not wholly in force.
void logProblems(const std::vector<WorkspaceProblem> &Problems) {
  std::size_t Shown = std::min(Problems.size(), MaxProblemLines);
  for (std::size_t Position = 0; Position < Shown; ++Position)
    logEvent(
        LogEvent::WorkspaceMalformed,
        {{"workspace",
          Problems[Position].Workspace_.substr(0, MaxProblemBytes)},
         {"problem", Problems[Position].Problem_.substr(0, MaxProblemBytes)},
         {"unlisted", Position + 1 < Shown ? 0
                                           : static_cast<std::int64_t>(
                                                 Problems.size() - Shown)}});
}

} // namespace

void CallerRequestHandler::configure(
    std::shared_ptr<const scheduling::QueueTable> Queues) {
  Queues_ = std::move(Queues);
  std::random_device Random;
  Keys_ = WorkspaceKeys(Queues_, std::uint64_t{Random()} << 32U | Random());
  logProblems(Queues_->WorkspaceProblems_);
  logProblems(Keys_.problems());
}

void CallerRequestHandler::confirmConfiguration(TimePoint Time) {
  ConfirmedAt_ = Time;
}

std::variant<CallerScope, KeyRefusal>
CallerRequestHandler::checkKey(const HttpRequest &Head,
                               const Queue &Target) const {
  Duration Age =
      ConfirmedAt_ ? SchedulerClock::now() - *ConfirmedAt_ : Duration::max();
  return checkCallerKey(*Queues_, Keys_, Target,
                        Head.header(platform::KeyHeader), Age);
}

/// Returns the answer to a request whose key does not admit it.
HttpAnswer CallerRequestHandler::refuseKey(const HttpRequest &Head,
                                           const Queue &Target,
                                           KeyRefusal Reason) const {
  std::string_view Name = nameOf(KeyRefusalNames, Reason);
  Counters_
      .counter("caller_key_refusals_total",
               "reason=\"" + std::string(Name) + "\"")
      .add();
  if (auto Times = KeyRefusals_.noted(Reason, SchedulerClock::now())) {
    std::string_view Key = Head.header(platform::KeyHeader);
    logEvent(LogEvent::KeyRefused,
             {{"reason", Name},
              {"queue", Target.Name_},
              {"key", Key.empty() ? "(none)" : shownKey(Key)},
              {"version", static_cast<std::int64_t>(Queues_->Version_)},
              {"times", *Times}});
  }
  // The newest configuration may admit the key: the caller should come back.
  if (Reason == KeyRefusal::Outdated)
    return makeUnavailableAnswer();
  HttpAnswer Answer = makeAnswer(401);
  Answer.Headers_.push_back(
      {"WWW-Authenticate", std::string(platform::KeyChallenge)});
  return Answer;
}

std::optional<HttpAnswer>
CallerRequestHandler::refuseEarly(const HttpRequest &Head) const {
  if (!Queues_)
    return makeUnavailableAnswer();
  const Queue *Target = findQueue(*Queues_, Head);
  if (!Target)
    return makeAnswer(404);
  std::variant<CallerScope, KeyRefusal> Checked = checkKey(Head, *Target);
  if (const auto *Reason = std::get_if<KeyRefusal>(&Checked))
    return refuseKey(Head, *Target, *Reason);
  std::string_view Job =
      std::string_view(Head.Path_).substr(Target->PathPrefix_.size());
  if (Head.Method_ == "GET" && Job.empty())
    return std::nullopt;
  if (!isJobId(Job))
    return makeAnswer(404);
  if (Head.Method_ != "POST" && Head.Method_ != "GET" &&
      Head.Method_ != "DELETE")
    return makeAnswer(405);
  if (contentLength(Head) > maxBodyBytes())
    return makeAnswer(413);
  return std::nullopt;
}

std::size_t CallerRequestHandler::maxBodyBytes() const {
  return Queues_ ? std::min(Queues_->MaxBodyBytes_, LargestBodyBytes)
                 : scheduling::QueueTable().MaxBodyBytes_;
}

} // namespace filbertspring::node
