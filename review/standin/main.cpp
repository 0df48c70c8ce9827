#include "record.h"
#include "scenarios.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>

/// Usage: scenario NAME FOLDER RECORD. With TROUBLE=0 in the environment, the
/// scenario runs without its disruption.
int main(int Count, char **Arguments) {
  using review::Verdict;
  const std::map<std::string, std::function<Verdict(const std::string &, bool)>>
      Scenarios = {{"many-ends", review::manyEnds},
                   {"crash-loop", review::crashLoop},
                   {"cancelled-unseen", review::cancelledUnseen},
                   {"stale-start", review::staleStart},
                   {"queue-removed", review::queueRemoved}};
  if (Count != 4 || !Scenarios.contains(Arguments[1])) {
    std::fprintf(stderr, "usage: scenario NAME FOLDER RECORD\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char *Trouble = std::getenv("TROUBLE");
  bool HasTrouble = !Trouble || std::string(Trouble) != "0";
  review::openRecord(Arguments[3]);
  Verdict Found = Scenarios.at(Arguments[1])(Arguments[2], HasTrouble);
  const char *Text = Found == Verdict::Held     ? "the rule held"
                     : Found == Verdict::Broken ? "the rule is broken"
                                                : "the case could not run";
  review::record(std::string("verdict ") + Text);
  std::printf("%s: %s\n", Arguments[1], Text);
  return static_cast<int>(Found);
}
