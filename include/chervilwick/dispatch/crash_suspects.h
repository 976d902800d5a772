// Detection of requests that crash the backend servers that run them.

#ifndef CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_
#define CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// Identifies one end of a backend server, within one fingerprint. All copies of
// the request that ran there have the same id, whichever fronts sent them.
struct ServerEndId {
  uint64_t server = 0;  // hash of the server's name and start
  // Ends counted before for the same start; above 0 if the server was restarted
  // and its new start was not known yet.
  uint64_t number = 0;

  friend bool operator==(const ServerEndId& a, const ServerEndId& b) {
    return a.server == b.server && a.number == b.number;
  }
  friend bool operator<(const ServerEndId& a, const ServerEndId& b) {
    return std::tie(a.server, a.number) < std::tie(b.server, b.number);
  }
};

// A run during which its server ended. Fronts repeat it to each other; it is
// counted once per end of the server.
struct CrashedRun {
  Fingerprint fingerprint;
  ServerEndId end;
  absl::Duration age;
};

// A request of that fingerprint completed, so that earlier crashes under it had
// other causes.
struct Exoneration {
  Fingerprint fingerprint;
  absl::Duration age;
};

struct CrashUpdate {
  std::vector<CrashedRun> crashed_runs;
  std::vector<Exoneration> exonerations;

  bool empty() const { return crashed_runs.empty() && exonerations.empty(); }
};

// A run that ended at this front without a complete answer.
struct LostRun {
  Fingerprint fingerprint;
  BackendName backend;
  int64_t born_unix_ms = 0;  // the server's start that the request was sent to
  absl::Time sent;
  // The server closed the connection during the run, as a crashing one does.
  // Otherwise the run timed out or was abandoned.
  bool is_closed = false;
};

// Counts, for each request fingerprint, the servers that crashed while running
// it. Clients retry such a request at any front, so that each front may see one
// crash only. Each front therefore keeps the set of all crashes that it saw or
// was told of; the size of the set is the count. Merging sets is idempotent and
// independent of the order.
class CrashSuspects {
 public:
  // Crashes after which a request is quarantined.
  static constexpr uint32_t kQuarantineCrashes = 3;

  // Called with each crash that this front counts itself.
  using CrashHandler =
      std::function<void(Fingerprint, const BackendName&, absl::Time)>;
  void SetCrashHandler(CrashHandler handler) {
    on_counted_ = std::move(handler);
  }

  // A closed connection counts as a crash unless the server sends anything soon
  // after, which shows that only the answer was lost. A silent run counts if
  // the server is found to have ended, before or after the report.
  void ReportLost(const LostRun& run, absl::Time now);
  // Decides on closed connections whose waiting time is over. `last_heard`
  // returns when this front last received anything from a server.
  using LastHeard = absl::FunctionRef<absl::Time(const BackendName&)>;
  void Settle(LastHeard last_heard, absl::Time now);
  // The server vanished without notice, was restarted or can't be reached.
  void ReportServerEnd(const BackendName& backend, absl::Time now);
  // A run of that fingerprint completed.
  void ReportCompleted(Fingerprint fingerprint, absl::Time now);
  // Merges the sets of another front. Returns a fingerprint for each crash that
  // was not known before.
  std::vector<Fingerprint> MergeUpdate(const CrashUpdate& news, absl::Time now);

  // Remaining quarantine; zero if the request may run. When it is over the
  // request may run again: another crash starts one of twice the length.
  absl::Duration QuarantineLeft(Fingerprint fingerprint, absl::Time now) const;
  bool IsQuarantined(Fingerprint fingerprint, absl::Time now) const {
    return QuarantineLeft(fingerprint, now) > absl::ZeroDuration();
  }
  // Number of crashes in the whole fleet, as far as this front knows.
  uint32_t CrashCount(Fingerprint fingerprint) const;

  // What this front has counted since the last call.
  CrashUpdate TakeUnsent(absl::Time now);
  // Repeats what lost datagrams may have carried: what this front counted in
  // the last seconds, and all crashes of quarantined fingerprints, whichever
  // front counted them. Limited to one datagram, most crashes first.
  CrashUpdate RecentUpdate(absl::Time now) const;
  // All that is known, for a newly discovered front. Limited likewise.
  CrashUpdate FullUpdate(absl::Time now) const;

  // Crashes that this front counted, of fingerprints with several, that are not
  // yet known to be recorded outside the fronts.
  std::vector<CrashedRun> Unrecorded(absl::Time now) const;
  void MarkRecorded(const std::vector<CrashedRun>& runs);

  // Drops what is past its retention period.
  void Prune(absl::Time now);

 private:
  struct Entry {
    std::map<ServerEndId, absl::Time> crashes;
    absl::Time exonerated = absl::InfinitePast();

    // Id for the end of the run's server at about that time; none if that end
    // is counted already.
    std::optional<ServerEndId> NewEnd(const LostRun& run,
                                      absl::Time ended) const;
    absl::Time LastChange() const;
    absl::Time QuarantineEnd() const;
    // When the entry no longer affects any decision.
    absl::Time Expiry() const;
  };
  using EntryMap = std::map<Fingerprint, Entry>;
  using CrashId = std::pair<Fingerprint, ServerEndId>;
  using Filter =
      absl::FunctionRef<bool(const CrashId&, const Entry&, absl::Time at)>;

  // A lost run whose server is not known yet to have ended.
  struct PendingRun {
    LostRun run;
    absl::Time lost;
  };

  // Counts a crash: the run's server ended at that time, or shortly before.
  void CountCrash(const LostRun& run, absl::Time ended, absl::Time now);
  Entry& FindOrCreateEntry(Fingerprint fingerprint, absl::Time now);
  // Drops expired entries and, if the table is still full, those with the
  // fewest crashes, oldest first.
  void EvictEntries(absl::Time now);
  CrashUpdate Select(Filter is_selected, absl::Time exonerated_since,
                     absl::Time now) const;

  CrashHandler on_counted_;
  EntryMap entries_;
  std::multimap<Fingerprint, PendingRun> pending_runs_;
  std::map<BackendName, absl::Time> server_ends_;
  std::vector<CrashId> unsent_crashes_;
  std::vector<Fingerprint> unsent_exonerations_;
  // Crashes that this front counted, and whether they are recorded.
  std::map<CrashId, bool> own_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_
