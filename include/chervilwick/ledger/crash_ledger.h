// Attribution of crashes of backend servers to the requests that cause them.

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

// Keeps the crash reports of the fleet for a while. A fingerprint that was
// running at a crash is a suspect. It is quarantined once it was at two
// crashes, unless another fingerprint was at all of the same crashes, or once
// it was the only one at a crash and was at another one.
class CrashLedger {
 public:
  // Adds a report, once. Returns whether it was new.
  bool Add(const CrashReport& report, absl::Time now);
  // Clears a fingerprint that has run to its end without a crash. A request
  // that crashes backend servers crashes each one that runs it.
  void Exonerate(Fingerprint fingerprint);
  // Drops reports past the retention period.
  void Prune(absl::Time now);

  bool IsSuspect(Fingerprint fingerprint) const;
  bool IsQuarantined(Fingerprint fingerprint) const;
  // Latest reports with their ages, for heartbeats.
  List<CrashReport> Latest(absl::Time now) const;
  size_t size() const { return crashes_.size(); }

 private:
  struct Crash {
    absl::Time at;
    std::vector<Fingerprint> running;
  };

  // Makes room for a crash at `before`, if there is an older one.
  bool ForgetOldest(absl::Time before);
  std::vector<const Crash*> CrashesWith(Fingerprint fingerprint) const;

  std::map<uint64_t, Crash> crashes_;  // by crash id
};

}  // namespace chervilwick

#endif  // CHERVILWICK_LEDGER_CRASH_LEDGER_H_
