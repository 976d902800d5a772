// Requests that were running when backend servers broke off.

#ifndef CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_
#define CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

struct CrashCount {
  Fingerprint fingerprint;
  uint32_t breaks = 0;
};

// Counts, by what makes two requests the same work, the runs that ended with
// the server breaking off. Such a request comes again at any front, so the
// counts are shared; the highest one said by any front stands.
class CrashSuspects {
 public:
  // Breaks after which a request is not run again.
  static constexpr uint32_t kQuarantineBreaks = 3;

  void ReportBreak(Fingerprint fingerprint, absl::Time now);
  // It ran to its end: the breaks had other causes.
  void Clear(Fingerprint fingerprint);
  void Merge(const CrashCount& count, absl::Time now);
  bool IsQuarantined(Fingerprint fingerprint) const;
  // As far as this front knows.
  uint32_t Breaks(Fingerprint fingerprint) const;
  // The ones with two breaks or more, for the other fronts.
  std::vector<CrashCount> Notable() const;
  void Prune(absl::Time now);

 private:
  struct Entry {
    uint32_t breaks = 0;
    absl::Time last;
  };

  std::map<Fingerprint, Entry> entries_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_
