#include "successor_search.h"

#include "filbertspring/scheduling/owner_lease.h"

#include <algorithm>

namespace filbertspring::node {
namespace {

/// The timeout of the question. Several round trips between availability zones.
constexpr Duration QuestionTimeout = std::chrono::milliseconds(400);

} // namespace

std::vector<RelayCandidate>
selectSuccessors(std::vector<RelayCandidate> Instances, double OwnCores,
                 std::size_t MaxCount) {
  std::erase_if(Instances, [OwnCores](const RelayCandidate &Other) {
    return !scheduling::isTooWeak(OwnCores, Other.CapacityCores_);
  });
  std::stable_sort(Instances.begin(), Instances.end(),
                   [](const RelayCandidate &Left, const RelayCandidate &Right) {
                     return Left.CapacityCores_ > Right.CapacityCores_;
                   });
  if (Instances.size() > MaxCount)
    Instances.resize(MaxCount);
  return Instances;
}

SuccessorSearch::SuccessorSearch(EventLoop &Loop) : Client_(Loop, {}) {}

void SuccessorSearch::run(const std::vector<RelayCandidate> &Candidates,
                          const std::function<void()> &Found) {
  HttpRequest Question;
  Question.Method_ = "GET";
  Question.Path_ = CandidatePath;
  for (const RelayCandidate &Candidate : Candidates)
    Client_.send(Candidate.Address_, Question, QuestionTimeout,
                 [Found](const Result<HttpAnswer> &Answer) {
                   if (Answer && Answer->Status_ == 200)
                     Found();
                 });
}

} // namespace filbertspring::node
