// Requests that were running when backend servers broke off.

#ifndef CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_
#define CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// A run that its server did not survive. Fronts tell each other of it many
// times; by its id it counts once.
struct BrokenRun {
  Fingerprint fingerprint;
  AttemptId run;
  absl::Duration age;
};

// A request of that fingerprint ran to its end: breaks before had other causes.
struct Exoneration {
  Fingerprint fingerprint;
  absl::Duration age;
};

struct CrashNews {
  std::vector<BrokenRun> broken;
  std::vector<Exoneration> exonerations;

  bool empty() const { return broken.empty() && exonerations.empty(); }
};

// A run that ended here without its server's whole answer.
struct LostRun {
  Fingerprint fingerprint;
  BackendName backend;
  absl::Time sent;
  // The server closed the connection under it, as one that ends does.
  // Otherwise nothing more was heard, or waited for.
  bool is_closed = false;
};

// Counts, by what makes two requests the same work, the runs that ended with
// the server breaking off. The client sends such a request again, at any front,
// so that each front may see one end alone: a front keeps the set of all
// broken runs that it has seen or heard of, and the size of the set is the
// count. Sets are merged, in any order and any number of times.
class CrashSuspects {
 public:
  // Breaks after which a request is not run again.
  static constexpr uint32_t kQuarantineBreaks = 3;

  // `front`: drawn anew at each start of the process.
  explicit CrashSuspects(Incarnation front) : front_(front) {}

  // Called with each break that this front adds.
  using CountedHandler =
      std::function<void(Fingerprint, const BackendName&, absl::Time)>;
  void SetCountedHandler(CountedHandler handler) {
    on_counted_ = std::move(handler);
  }

  // A closed connection is a break unless the server is heard soon after: then
  // it has only lost an answer. Silence is one if the server is found to have
  // ended, before or after.
  void ReportLost(const LostRun& run, absl::Time now);
  // Decides on closed connections whose time has come. `last_heard`: when a
  // server was last heard here.
  using LastHeard = absl::FunctionRef<absl::Time(const BackendName&)>;
  void Settle(LastHeard last_heard, absl::Time now);
  // The server is gone without notice, has started anew or can't be reached.
  void ReportServerEnd(const BackendName& backend, absl::Time now);
  // It ran to its end.
  void ReportWhole(Fingerprint fingerprint, absl::Time now);
  // Merges what another front tells. Returns the fingerprints of which one more
  // break is known now.
  std::vector<Fingerprint> Take(const CrashNews& news, absl::Time now);

  // For how much longer it must not run; zero if it may. After that it may run
  // once more: another break extends the quarantine to twice the time.
  absl::Duration QuarantineLeft(Fingerprint fingerprint, absl::Time now) const;
  bool IsQuarantined(Fingerprint fingerprint, absl::Time now) const {
    return QuarantineLeft(fingerprint, now) > absl::ZeroDuration();
  }
  // In the whole fleet, as far as this front knows.
  uint32_t Breaks(Fingerprint fingerprint) const;

  // What this front has seen since the last call.
  CrashNews TakeUntold(absl::Time now);
  // What makes good news that were lost: this front's of the last seconds, and
  // all of fingerprints with several breaks, whoever saw them.
  CrashNews Recent(absl::Time now) const;
  // All that is known, for a front that has just been found.
  CrashNews All(absl::Time now) const;

  // What this front saw of fingerprints with several breaks and that is not
  // known to be recorded outside of the fronts.
  std::vector<BrokenRun> Unrecorded(absl::Time now) const;
  void MarkRecorded(const std::vector<BrokenRun>& runs);

  // Drops what is past its retention period.
  void Prune(absl::Time now);

 private:
  struct Entry {
    std::map<AttemptId, absl::Time> breaks;
    absl::Time exonerated = absl::InfinitePast();

    absl::Time LastChange() const;
    absl::Time QuarantineEnd() const;
    // When it no longer tells anything.
    absl::Time Expiry() const;
  };
  using EntryMap = std::map<Fingerprint, Entry>;
  using Filter = absl::FunctionRef<bool(const Entry&, const AttemptId& run,
                                        absl::Time at)>;

  // Not known yet to have ended with its server.
  struct OpenRun {
    BackendName backend;
    absl::Time lost;
    bool is_closed = false;
  };

  // Of a run that was lost at that time.
  void Count(Fingerprint fingerprint, const BackendName& backend,
             absl::Time lost, absl::Time now);
  // The entry of a fingerprint, made if there is none.
  Entry& EntryOf(Fingerprint fingerprint, absl::Time now);
  // Forgets those that tell least: of few breaks, and old.
  void MakeRoom(absl::Time now);
  CrashNews Select(Filter is_told, absl::Time exonerated_since,
                   absl::Time now) const;

  Incarnation front_;
  uint64_t sequence_ = 0;
  CountedHandler on_counted_;
  EntryMap entries_;
  std::multimap<Fingerprint, OpenRun> open_runs_;
  std::map<BackendName, absl::Time> server_ends_;
  std::vector<std::pair<Fingerprint, AttemptId>> untold_breaks_;
  std::vector<Fingerprint> untold_exonerations_;
  // By this front, while they are kept.
  std::map<AttemptId, Fingerprint> unrecorded_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_
