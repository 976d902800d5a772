// Requests that were running when backend servers broke off.

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

// One end of a backend server, under one request: the same id for all copies of
// the request that ran there, whichever fronts sent them.
struct ServerEndId {
  uint64_t server = 0;  // hash of its name and start
  uint64_t number = 0;  // ends before, if its new start was not known

  friend bool operator==(const ServerEndId& a, const ServerEndId& b) {
    return a.server == b.server && a.number == b.number;
  }
  friend bool operator<(const ServerEndId& a, const ServerEndId& b) {
    return std::tie(a.server, a.number) < std::tie(b.server, b.number);
  }
};

// A run that its server did not survive. Fronts tell each other of it many
// times; by the server's end it counts once.
struct BrokenRun {
  Fingerprint fingerprint;
  ServerEndId end;
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
  int64_t born_unix_ms = 0;  // the start of it that was meant
  absl::Time sent;
  // The server closed the connection under it, as one that ends does.
  // Otherwise nothing more was heard, or waited for.
  bool is_closed = false;
};

// Counts, by what makes two requests the same work, the servers that ended
// under it. The client sends such a request again, at any front, so that each
// front may see one end alone: a front keeps the set of all ends that it has
// seen or heard of, and the size of the set is the count. Sets are merged, in
// any order and any number of times.
class CrashSuspects {
 public:
  // Breaks after which a request is not run again.
  static constexpr uint32_t kQuarantineBreaks = 3;

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
  // all of fingerprints in quarantine, whoever saw them. As much as a datagram
  // takes, most breaks first.
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
    std::map<ServerEndId, absl::Time> breaks;
    absl::Time exonerated = absl::InfinitePast();

    // The end of a run's server about that time; none if it is known already.
    std::optional<ServerEndId> NewEnd(const LostRun& run,
                                      absl::Time ended) const;
    absl::Time LastChange() const;
    absl::Time QuarantineEnd() const;
    // When it no longer tells anything.
    absl::Time Expiry() const;
  };
  using EntryMap = std::map<Fingerprint, Entry>;
  using BreakId = std::pair<Fingerprint, ServerEndId>;
  using Filter =
      absl::FunctionRef<bool(const BreakId&, const Entry&, absl::Time at)>;

  // Not known yet to have ended with its server.
  struct OpenRun {
    LostRun run;
    absl::Time lost;
  };

  // The server of that run ended at that time, or a little before.
  void Count(const LostRun& run, absl::Time ended, absl::Time now);
  // The entry of a fingerprint, made if there is none.
  Entry& EntryOf(Fingerprint fingerprint, absl::Time now);
  // Forgets those that tell least: of few breaks, and old.
  void MakeRoom(absl::Time now);
  CrashNews Select(Filter is_told, absl::Time exonerated_since,
                   absl::Time now) const;

  CountedHandler on_counted_;
  EntryMap entries_;
  std::multimap<Fingerprint, OpenRun> open_runs_;
  std::map<BackendName, absl::Time> server_ends_;
  std::vector<BreakId> untold_breaks_;
  std::vector<Fingerprint> untold_exonerations_;
  // Seen by this front itself, while they are kept, and whether recorded.
  std::map<BreakId, bool> own_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_
