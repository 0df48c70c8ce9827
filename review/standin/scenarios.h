#ifndef REVIEW_STANDIN_SCENARIOS_H
#define REVIEW_STANDIN_SCENARIOS_H

#include <string>

namespace review {

/// What a scenario found.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// The scenarios of the cases. \p Folder is a temporary one; without
/// \p HasTrouble there is no disruption.
Verdict manyEnds(const std::string &Folder, bool HasTrouble);
Verdict crashLoop(const std::string &Folder, bool HasTrouble);
Verdict cancelledUnseen(const std::string &Folder, bool HasTrouble);
Verdict staleStart(const std::string &Folder, bool HasTrouble);
Verdict queueRemoved(const std::string &Folder, bool HasTrouble);

} // namespace review

#endif // REVIEW_STANDIN_SCENARIOS_H
