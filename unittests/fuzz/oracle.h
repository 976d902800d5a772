// Simple oracle of what must always hold, checked on a world from outside.

#ifndef CHERVILWICK_UNITTESTS_FUZZ_ORACLE_H_
#define CHERVILWICK_UNITTESTS_FUZZ_ORACLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chervilwick/testbed/world.h"

namespace chervilwick {

class Oracle {
 public:
  explicit Oracle(World& world) : world_(world) {}

  // Notes what the harness did, for bounds that depend on it.
  void NoteAgentPause(size_t agent, absl::Time until);
  void NoteEntryPause(size_t entry) { entry_paused_[entry] = true; }
  void NoteAgentRestart(size_t agent) { leaving_since_.erase(agent); }

  // Checks the invariants that hold at all times. Returns a violation or "".
  std::string CheckStep();
  // Checks what holds once all faults are over and all deadlines have passed.
  std::string CheckEnd();

 private:
  std::string CheckClient(const ClientRecord& client);
  std::string CheckStream(const ClientRecord& client);
  std::string CheckCall(const ClientRecord& client);
  std::string CheckVersions();
  std::string CheckOrphans();
  std::string CheckDrains();
  std::string CheckVerdicts();
  uint64_t PlainRuns(const std::string& body);
  uint64_t ModelRuns(const std::string& prompt);
  uint64_t RequestsWithBody(const std::string& body);

  World& world_;
  std::map<uint64_t, size_t> tokens_at_end_;  // by client number
  std::map<Incarnation, uint64_t> versions_;  // by process
  std::map<size_t, absl::Time> agent_paused_until_;
  std::map<size_t, bool> entry_paused_;
  // Since when agents have known that they take no new work.
  std::map<size_t, absl::Time> leaving_since_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_UNITTESTS_FUZZ_ORACLE_H_
