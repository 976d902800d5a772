// Which parts of prompts are to blame for crashes of servers.

#ifndef CHERVILWICK_DISPATCH_CRASH_BLAME_H_
#define CHERVILWICK_DISPATCH_CRASH_BLAME_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// A run during which its server ended, and the parts of its prompt for which
// nothing shows yet that they are sound.
struct SuspectRun {
  uint64_t server = 0;  // hash of the server's name and start
  absl::Time at;        // when it ended
  Fingerprint request;
  std::vector<Fingerprint> parts;
  // Read from the store, where only runs under a blamed part are recorded. The
  // time is that of the reading.
  bool is_recorded = false;
};

// Parts that are blamed together: all the runs that crashed had all of them, so
// that the one to blame is not known yet. Requests without one of them may run.
struct BlamedParts {
  std::set<Fingerprint> parts;
  bool is_trusted = false;  // all of them
  uint32_t crashes = 0;     // at separate moments
  // Those after the verdict was known everywhere: requests that were let
  // through to see whether it still holds.
  uint32_t later_crashes = 0;
  absl::Time last_crash;
  std::vector<size_t> runs;  // indices of the runs with these parts
};

// Crashes after which parts are blamed, and after which they are if requests
// with each of them have been served meanwhile.
inline constexpr uint32_t kBlamedCrashes = 3;
inline constexpr uint32_t kCertainCrashes = 5;

// Finds the parts that explain the crashes. The end of a server makes all parts
// of all runs there suspects, though most are sound. Parts are blamed if runs
// with them crashed at several separate moments, under unlike requests; those
// that explain most crashes come first, and what they explain is no evidence
// against others. `is_trusted` tells whether a part has been served lately.
std::vector<BlamedParts> FindBlamedParts(
    const std::vector<SuspectRun>& runs,
    absl::FunctionRef<bool(Fingerprint)> is_trusted);

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_CRASH_BLAME_H_
