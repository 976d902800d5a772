// Detection of requests, and of parts of prompts, that crash the backend
// servers that run them.

#ifndef CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_
#define CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "chervilwick/dispatch/crash_blame.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// What a crash may be blamed on: a request, known by its content, and the parts
// of its prompt that other requests may share. Each has a fingerprint.
struct RequestContent {
  Fingerprint request;
  std::vector<Fingerprint> parts;
  bool is_trial = false;  // see CrashSuspects::BeginTrial
};

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
  Fingerprint fingerprint;  // of the request
  ServerEndId end;
  absl::Duration age;
  // Parts of the prompt, without those that are known to be sound.
  std::vector<Fingerprint> parts = {};
  // Read from the store, which does not keep the age.
  bool is_recorded = false;
};

// Evidence that earlier crashes had other causes than what the fingerprint
// stands for.
struct Exoneration {
  enum class Kind : uint8_t {
    kRequest,      // the request completed
    kPart,         // a request with that part completed
    kPartWritten,  // an answer on that part was written for some time: weaker
  };
  static constexpr Kind kLastKind = Kind::kPartWritten;

  Fingerprint fingerprint;
  absl::Duration age;
  Kind kind = Kind::kRequest;
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
  std::vector<Fingerprint> parts = {};
};

// Counts, for each request fingerprint, the servers that crashed while running
// it. Clients retry such a request at any front, so that each front may see one
// crash only. Each front therefore keeps the set of all crashes that it saw or
// was told of; the size of the set is the count. Merging sets is idempotent and
// independent of the order.
//
// Requests may also share a part of their prompt that crashes servers. Each
// crashed run therefore keeps the parts of its request, and FindBlamedParts()
// judges the same set of runs. A part that a later request with it was served
// with is struck out, at all fronts. So the verdict follows the evidence: it is
// withdrawn when a request with the part completes or when other parts explain
// the crashes, and it ends after the same time as that of a request. After that
// each front lets one request at a time try, and fronts begin at different
// times.
//
// A request that only ran beside a crashing one has the same crashes. While
// another request ran at all servers that ended under a quarantined one, fronts
// take turns to let the latter run once: if it completes it is cleared at all
// fronts, and if its server ends it is the one to blame.
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
  // Called with each request whose crashes are forgotten because it completed,
  // at this front or at another one.
  using ClearHandler = std::function<void(Fingerprint, absl::Time)>;
  void SetClearHandler(ClearHandler handler) {
    on_cleared_ = std::move(handler);
  }
  // Tells whether it is this front's turn to try a request. Turns have numbers,
  // and each belongs to one front.
  using TurnHolder = std::function<bool(Fingerprint, uint64_t turn)>;
  void SetTurnHolder(TurnHolder holder) { has_turn_ = std::move(holder); }
  // Called when the parts that are blamed have changed.
  using BlameHandler = std::function<void(const std::vector<BlamedParts>&)>;
  void SetBlameHandler(BlameHandler handler) { on_blame_ = std::move(handler); }
  // How much later than the end of the quarantine of parts this front tries a
  // request with them.
  void SetTrialDelay(absl::Duration delay) { trial_delay_ = delay; }

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
  // A run of that request completed.
  void ReportCompleted(const RequestContent& content, absl::Time now);
  void ReportCompleted(Fingerprint request, absl::Time now) {
    ReportCompleted(RequestContent{request, {}}, now);
  }
  // An answer on these parts has been written for kWrittenTime, so that they
  // hardly crash each server that begins to write.
  static constexpr absl::Duration kWrittenTime = absl::Seconds(1);
  void ReportWritten(const std::vector<Fingerprint>& parts, absl::Time now);
  // The request is sent to a server.
  void ReportSent(const RequestContent& content, absl::Time now);
  // Lets one run of a quarantined request through if another request may be to
  // blame and it is this front's turn. The caller sets `is_trial` in the
  // content of that run. It is refused again once a server of the run has
  // ended.
  bool BeginTrial(const RequestContent& content, absl::Time now);
  // Merges the sets of another front. Returns a fingerprint for each crash that
  // was not known before.
  std::vector<Fingerprint> MergeUpdate(const CrashUpdate& news, absl::Time now);

  // Remaining quarantine; zero if the request may run. When it is over the
  // request may run again: another crash starts one of twice the length.
  absl::Duration QuarantineLeft(Fingerprint request, absl::Time now) const;
  // The longest of the request and of the parts of its prompt.
  absl::Duration QuarantineLeft(const RequestContent& content,
                                absl::Time now) const;
  template <typename Content>
  bool IsQuarantined(const Content& content, absl::Time now) const {
    return QuarantineLeft(content, now) > absl::ZeroDuration();
  }
  // Until a client should come back: the quarantine, or the turn of a front
  // that may clear the request, whichever ends first.
  absl::Duration RetryAfter(const RequestContent& content,
                            absl::Time now) const;
  const std::vector<BlamedParts>& blamed() const { return blamed_; }
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

  // Crashes that this front counted, of requests with several and of those with
  // blamed parts, that are not yet known to be recorded outside the fronts.
  std::vector<CrashedRun> Unrecorded(absl::Time now) const;
  void MarkRecorded(const std::vector<CrashedRun>& runs);
  // What was recorded outside the fronts may be lost.
  void ForgetRecorded();

  // Drops what is past its retention period.
  void Prune(absl::Time now);

 private:
  struct Crash {
    absl::Time at;
    std::vector<Fingerprint> parts;
    bool is_recorded = false;
  };
  struct Entry {
    std::map<ServerEndId, Crash> crashes;
    absl::Time exonerated = absl::InfinitePast();
    // When this front last told the others of that.
    absl::Time told = absl::InfinitePast();
    // Until when the crashes are evidence against blamed parts.
    absl::Time evidence_until = absl::InfinitePast();

    // Id for the end of the run's server at about that time; none if that end
    // is counted already.
    std::optional<ServerEndId> NewEnd(const LostRun& run,
                                      absl::Time ended) const;
    absl::Time LastCrash() const;
    absl::Time LastChange() const;
    absl::Time QuarantineEnd() const;
    // When the entry no longer affects any decision.
    absl::Time Expiry() const;
  };
  using EntryMap = std::map<Fingerprint, Entry>;
  using CrashId = std::pair<Fingerprint, ServerEndId>;
  using Filter =
      absl::FunctionRef<bool(const CrashId&, const Entry&, absl::Time at)>;

  // When requests with a part were served last.
  struct ServedPart {
    absl::Time completed = absl::InfinitePast();
    absl::Time written = absl::InfinitePast();
    // When this front told the others, and when one of them told this one.
    absl::Time told = absl::InfinitePast();
    absl::Time heard = absl::InfinitePast();

    absl::Time Last() const { return std::max(completed, written); }
    bool IsTrusted() const { return Last() > absl::InfinitePast(); }
  };
  // A request with parts whose quarantine is over.
  struct Trial {
    Fingerprint request;
    absl::Time end;
  };

  // A run of a quarantined request.
  struct RequestTrial {
    size_t crashes = 0;  // when it began
    absl::Time end;
  };

  // A lost run whose server is not known yet to have ended.
  struct PendingRun {
    LostRun run;
    absl::Time lost;
  };

  // Crashes of the request, those that are not decided yet included.
  size_t CrashesAndPending(Fingerprint request) const;
  bool IsTrialOpen(Fingerprint request, absl::Time now) const;
  // Whether another request ran at all servers that ended under this one.
  bool HasOtherSuspect(const EntryMap::value_type& suspect) const;
  // Until a front may have cleared the request by a trial; nullopt if none will
  // try it.
  std::optional<absl::Duration> TrialLeft(const EntryMap::value_type& suspect,
                                          absl::Time now) const;
  // Counts a crash: the run's server ended at that time, or shortly before.
  void CountCrash(const LostRun& run, absl::Time ended, absl::Time now);
  void MergeExoneration(const Exoneration& it, absl::Time now);
  // Returns whether the crash was not known before.
  bool MergeCrash(const CrashedRun& run, absl::Time now);
  // Requests with that part completed then: strikes it out of earlier crashes.
  void StrikePart(Fingerprint part, absl::Time completed);
  // Strikes parts that were served since the crash, and tells other fronts what
  // is known in favour of the parts.
  void StrikeServedParts(Crash& crash, absl::Time now);
  ServedPart& FindOrCreateServed(Fingerprint part);
  void TellServed(Fingerprint part, absl::Time now);
  void UpdateBlamed();
  absl::Duration PartsQuarantineLeft(const RequestContent& content,
                                     absl::Time now) const;
  absl::Time QuarantineEnd(const BlamedParts& blamed) const;
  static bool HasParts(const RequestContent& content,
                       const BlamedParts& blamed);
  static CrashedRun Describe(const CrashId& id, const Crash& crash,
                             absl::Time now);
  // Adds what is known in favour of a part.
  void AddServed(Fingerprint part, absl::Time now,
                 std::vector<Exoneration>& out) const;
  // The latest crashes under blamed parts.
  std::set<CrashId> BlamedCrashes() const;
  Entry& FindOrCreateEntry(Fingerprint fingerprint, absl::Time now);
  // Drops expired entries and, if the table is still full, those with the
  // fewest crashes, oldest first.
  void EvictEntries(absl::Time now);
  CrashUpdate Select(Filter is_selected, absl::Time exonerated_since,
                     absl::Time now) const;

  CrashHandler on_counted_;
  ClearHandler on_cleared_;
  EntryMap entries_;
  std::multimap<Fingerprint, PendingRun> pending_runs_;
  std::map<BackendName, absl::Time> server_ends_;
  std::map<Fingerprint, ServedPart> served_parts_;
  std::vector<BlamedParts> blamed_;
  std::map<std::set<Fingerprint>, Trial> trials_;
  std::map<Fingerprint, RequestTrial> request_trials_;
  TurnHolder has_turn_;
  bool has_new_evidence_ = false;
  absl::Duration trial_delay_;
  BlameHandler on_blame_;
  std::vector<CrashId> unsent_crashes_;
  std::vector<Fingerprint> unsent_exonerations_;
  std::vector<Fingerprint> unsent_served_;  // parts
  // Crashes that this front counted, and whether they are recorded.
  std::map<CrashId, bool> own_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_CRASH_SUSPECTS_H_
