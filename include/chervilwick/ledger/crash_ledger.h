// Attributes crashes of backend servers to the requests that cause them.

#ifndef CHERVILWICK_LEDGER_CRASH_LEDGER_H_
#define CHERVILWICK_LEDGER_CRASH_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/support/ids.h"
#include "chervilwick/wire/messages.h"

namespace chervilwick {

// Keeps recent crash reports of all agents. A fingerprint that was running at a
// crash is a suspect. It is quarantined once it was running at two crashes and
// no other fingerprint was running at all of its crashes. This includes a
// fingerprint that ran alone at one of its crashes.
class CrashLedger {
 public:
  // Adds a report unless it is known or expired, or older than all reports of a
  // full ledger. Returns whether it was added.
  bool Add(const CrashReport& report, absl::Time now);
  // Removes a fingerprint that has completed without a crash from all reports,
  // on the assumption that a crashing request crashes each server that runs it.
  void ClearSuspect(Fingerprint fingerprint);
  // Removes reports past the retention period.
  void Prune(absl::Time now);

  bool IsSuspect(Fingerprint fingerprint) const;
  bool IsQuarantined(Fingerprint fingerprint) const;
  // Returns the latest reports with their ages, for heartbeats.
  List<CrashReport> LatestReports(absl::Time now) const;
  size_t size() const { return crashes_.size(); }

 private:
  struct Crash {
    absl::Time at;
    std::vector<Fingerprint> running;
  };

  // Evicts the oldest crash if it is older than `before`. Returns whether it
  // did.
  bool EvictOldest(absl::Time before);
  std::vector<const Crash*> CrashesWith(Fingerprint fingerprint) const;

  std::map<uint64_t, Crash> crashes_;  // by crash id
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LEDGER_CRASH_LEDGER_H_
