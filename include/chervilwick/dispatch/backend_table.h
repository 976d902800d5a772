// Backend servers as one front knows them: discovery, use, and trust.

#ifndef CHERVILWICK_DISPATCH_BACKEND_TABLE_H_
#define CHERVILWICK_DISPATCH_BACKEND_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_record.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// What requests in flight take of a backend server.
struct BackendUse {
  int64_t requests = 0;
  // Model engines: tokens of memory that running requests will need.
  int64_t memory_tokens = 0;
  // Engines that read prompts: tokens not read yet.
  int64_t prompt_tokens = 0;

  BackendUse& operator+=(const BackendUse& other);
  BackendUse& operator-=(const BackendUse& other);
  friend bool operator==(const BackendUse& a, const BackendUse& b) {
    return a.requests == b.requests && a.memory_tokens == b.memory_tokens &&
           a.prompt_tokens == b.prompt_tokens;
  }
};

struct BackendState {
  BackendRecord record;
  BackendUse own;    // by this front
  BackendUse peers;  // by the other fronts, as they last said
  // Host slowness that the server told last; 100 is the usual time.
  uint32_t time_percent = 100;
  // No requests until then: the last ones failed.
  absl::Time suspect_until = absl::InfinitePast();
  // The same by the word of another front.
  absl::Time hearsay_until = absl::InfinitePast();
  // Last sign of life, here: the head of an answer, or bytes of one that went
  // on.
  absl::Time alive_at = absl::InfinitePast();
  // This front found out by itself that it can't be reached.
  absl::Time found_unreachable = absl::InfinitePast();
  int failures_in_a_row = 0;
  // No requests until then: it said that it is full.
  absl::Time full_until = absl::InfinitePast();
  int refusals_in_a_row = 0;
  // No requests until then: it asked for none.
  absl::Time quiet_until = absl::InfinitePast();
  // It said in an answer that it is leaving; its entry may not say so yet.
  bool announced_leaving = false;
  // No requests until then: its stage is being changed.
  absl::Time changing_until = absl::InfinitePast();
  // Discovery's word of its removal is not believed until then.
  std::optional<absl::Time> lapses_at;

  // Moving share of requests that broke off, timed out or failed there, as of
  // `failure_rate_at`; it fades, so that the server is tried again.
  double failure_rate = 0;
  absl::Time failure_rate_at = absl::InfinitePast();

  double FailureRate(absl::Time now) const;
  void NoteOutcome(bool failed, absl::Time now);
  BackendUse Total() const;
  bool IsSuspect(absl::Time now) const {
    return suspect_until > now || hearsay_until > now;
  }
  bool IsLeaving() const { return record.draining || announced_leaving; }
};

// What a front knows of one start of a backend server at first hand, as fronts
// tell it to each other. The discovery list lags behind it.
struct BackendNotice {
  enum class Kind : uint8_t {
    kLeaving,      // it takes no new requests any more
    kQuiet,        // it asked the sender for no requests for a while
    kUnreachable,  // the sender can't reach it, and avoids it for a while
  };
  static constexpr Kind kLastKind = Kind::kUnreachable;

  BackendName backend;
  int64_t born_unix_ms = 0;  // the start that said it
  Kind kind = Kind::kLeaving;
  absl::Duration left = absl::ZeroDuration();  // of a pause or avoidance

  friend bool operator==(const BackendNotice& a, const BackendNotice& b) {
    return a.backend == b.backend && a.born_unix_ms == b.born_unix_ms &&
           a.kind == b.kind && a.left == b.left;
  }
};

enum class BackendChange { kNone, kNew, kUpdated, kRestarted };

class BackendTable {
 public:
  // Takes discovery's word. An older start of the same id changes nothing; a
  // later one forgets all that was known, but for use that is still open.
  BackendChange Upsert(const BackendRecord& record);
  // Removes at once. False if there is none of that id.
  bool Remove(const BackendName& id);
  // Removes at `at` unless it comes back before.
  void RemoveLater(const BackendName& id, absl::Time at);
  // Removes those whose time has come, and returns them.
  std::vector<BackendName> ExpireLapsed(absl::Time now);

  BackendState* Find(const BackendName& id);
  const BackendState* Find(const BackendName& id) const;
  using Filter = absl::FunctionRef<bool(const BackendState&)>;
  // Those of a service that may get new requests, are usable and not excluded;
  // trusted ones only unless there is none.
  std::vector<BackendState*> Candidates(const ServiceName& service,
                                        Filter is_usable,
                                        const std::set<BackendName>& excluded,
                                        absl::Time now);

  // A request broke off or got no answer there. Distrust doubles each time.
  void ReportFailure(const BackendName& id, absl::Time now);
  // The server can't be reached, or another one has its address: no request is
  // the cause, so it is distrusted at once.
  void ReportUnreachable(const BackendName& id, absl::Time now);
  // The server answered with a failure of its own.
  void ReportError(const BackendName& id, absl::Time now);
  // Bytes of a request that goes on came from it.
  void ReportAlive(const BackendName& id, absl::Time now);
  // A request ended well there.
  void ReportSuccess(const BackendName& id, absl::Time now);
  // It refused a request. The pause doubles with each refusal in a row.
  void ReportFull(const BackendName& id, absl::Time now);
  // It said that it is leaving. Holds for this start of it, also when its
  // entry lapses and comes back. False if that was known.
  bool ReportLeaving(const BackendName& id, absl::Time now);
  // It wants no requests of this front until then. False if it has asked for
  // at least as much.
  bool ReportQuiet(const BackendName& id, absl::Time until, absl::Time now);
  // What servers have lately told this front itself, for the other fronts.
  std::vector<BackendNotice> Notices(absl::Time now);
  // Another front says so. Servers that asked it for a pause, or that it can't
  // reach, are used after the others, but for those that this front hears
  // itself; its word never sets more than half of a service aside, as a front
  // that is cut off reaches no server.
  // True if that is news.
  bool TakeNotice(const BackendNotice& notice, absl::Time now);
  // When the first server of a service that may get requests wants them again;
  // none if one wants them now, or there is no server.
  std::optional<absl::Time> QuietEnd(const ServiceName& service,
                                     Filter is_usable, absl::Time now) const;
  // Its stage is being changed until then.
  void SetChanging(const BackendName& id, absl::Time until);
  // Those whose stage is being changed.
  std::map<BackendName, absl::Time> Changing(absl::Time now) const;

  // Replaces what a peer uses by what it says now.
  void SetPeerUse(const std::string& peer,
                  const std::map<BackendName, BackendUse>& use);
  std::map<BackendName, BackendUse> OwnUse() const;

  const std::map<BackendName, BackendState>& all() const { return backends_; }

 private:
  // What a start of a server said; kept when its entry goes, as entries that
  // lapse in an outage of the store come back.
  struct Announcement {
    int64_t born_unix_ms = 0;
    bool leaving = false;
    absl::Time quiet_until = absl::InfinitePast();
    absl::Time noted;
    // First heard from the server itself; infinite past where only others were.
    absl::Time told_leaving = absl::InfinitePast();
  };

  void AddPeers(const std::map<BackendName, BackendUse>& use, bool add);
  bool SetAside(BackendState& backend, absl::Duration time, absl::Time now);
  // The announcement of that start, or a new one; null if a later start has
  // announced something, or if too many are kept for one of an unknown server.
  Announcement* Announced(const BackendName& id, int64_t born, absl::Time now);
  // Applies what this start of a server has announced.
  void ApplyAnnounced(BackendState& backend) const;
  void PruneAnnounced(absl::Time now);

  std::map<BackendName, BackendState> backends_;
  std::map<BackendName, Announcement> announced_;
  std::map<std::string, std::map<BackendName, BackendUse>> peer_use_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_BACKEND_TABLE_H_
