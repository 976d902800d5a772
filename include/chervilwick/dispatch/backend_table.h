// Backend servers as one front knows them: discovery records, load and health.

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

// Capacity of a backend server that requests in flight take up.
struct BackendUse {
  int64_t requests = 0;
  // Model engines: tokens of memory that running requests will need.
  int64_t memory_tokens = 0;
  // Engines that run prefill: prompt tokens not processed yet.
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
  BackendUse peers;  // by the other fronts, as of their last reports
  // Host slowness in the server's last report; 100 is the normal speed.
  uint32_t time_percent = 100;
  // Used only if no trusted server is left until then: requests to it failed.
  absl::Time suspect_until = absl::InfinitePast();
  // The same, as reported by another front.
  absl::Time peer_suspect_until = absl::InfinitePast();
  // When this front last received an answer's head, or more bytes of an answer
  // in progress.
  absl::Time last_alive = absl::InfinitePast();
  // When this front itself last failed to reach the server.
  absl::Time unreachable_at = absl::InfinitePast();
  // Since when each attempt of this front to reach it has failed.
  std::optional<absl::Time> unreachable_since;
  // When the server was last asked whether it is back.
  absl::Time last_asked = absl::InfinitePast();
  int failures_in_a_row = 0;
  // Until then the server counts as full: it refused a request.
  absl::Time full_until = absl::InfinitePast();
  int refusals_in_a_row = 0;
  // No requests until then: the server asked for a pause.
  absl::Time pause_ends_at = absl::InfinitePast();
  // The server has announced that it is leaving; its discovery record may not
  // say so yet.
  bool announced_leaving = false;
  // No requests until then: the engine's stage is being changed.
  absl::Time changing_until = absl::InfinitePast();
  // Latest start that the server itself has stated, in Unix milliseconds.
  int64_t stated_start_ms = 0;
  // When the entry is removed, unless discovery lists the server again.
  std::optional<absl::Time> removal_due;

  // Moving average of the share of requests that broke off, timed out or
  // failed, as of `failure_rate_at`. It decays, so that the server is tried
  // again.
  double failure_rate = 0;
  absl::Time failure_rate_at = absl::InfinitePast();

  double FailureRate(absl::Time now) const;
  void RecordOutcome(bool failed, absl::Time now);
  BackendUse Total() const;
  bool IsSuspect(absl::Time now) const {
    return suspect_until > now || peer_suspect_until > now;
  }
  // Whether the server may be gone: it could not be reached, and has given no
  // sign of life since.
  bool IsInDoubt() const { return unreachable_since.has_value(); }
  bool IsLeaving() const { return record.draining || announced_leaving; }
  // Whether it is a model engine that generates streams.
  bool GeneratesStreams() const {
    return record.stage != EngineStage::kPrefill;
  }
  // Whether the server is known to have that version now.
  bool IsOfVersion(const SoftwareVersion& software) const {
    return record.software == software && !HasOutdatedRecord();
  }
  // Whether the server has started again since its record was written, so that
  // its software version is not known.
  bool HasOutdatedRecord() const {
    return stated_start_ms > record.born_unix_ms;
  }
};

// What a front has learned directly about one start of a backend server, as
// sent to the other fronts. Discovery reports it later.
struct BackendNotice {
  enum class Kind : uint8_t {
    kLeaving,         // the server accepts no new requests
    kPauseRequested,  // the server asked the sender for a pause
    kUnreachable,     // the sender can't reach the server and avoids it for now
  };
  static constexpr Kind kLastKind = Kind::kUnreachable;

  BackendName backend;
  int64_t born_unix_ms = 0;  // the start that the notice is about
  Kind kind = Kind::kLeaving;
  absl::Duration left = absl::ZeroDuration();  // of the pause or avoidance

  friend bool operator==(const BackendNotice& a, const BackendNotice& b) {
    return a.backend == b.backend && a.born_unix_ms == b.born_unix_ms &&
           a.kind == b.kind && a.left == b.left;
  }
};

enum class BackendChange { kNone, kNew, kUpdated, kRestarted };

class BackendTable {
 public:
  // Applies a discovery record. A record of an older start is ignored; one of a
  // later start resets the server's state, except for requests still in flight.
  BackendChange Upsert(const BackendRecord& record);
  // Removes the server at once. False if there is none of that id.
  bool Remove(const BackendName& id);
  // Removes the server at `at` unless it is listed again before.
  void ScheduleRemoval(const BackendName& id, absl::Time at);
  // Removes the servers whose removal is due, and returns their names.
  std::vector<BackendName> RemoveExpired(absl::Time now);

  BackendState* Find(const BackendName& id);
  const BackendState* Find(const BackendName& id) const;
  using Filter = absl::FunctionRef<bool(const BackendState&)>;
  // Servers of a service that accept new requests, pass `is_usable` and are not
  // excluded. Suspect ones are returned only if there is no other.
  std::vector<BackendState*> Candidates(const ServiceName& service,
                                        Filter is_usable,
                                        const std::set<BackendName>& excluded,
                                        absl::Time now);

  // A request to the server broke off or was not answered. The avoidance
  // doubles with each failure in a row.
  void ReportFailure(const BackendName& id, absl::Time now);
  // The server can't be reached, or another one has its address. No request can
  // have caused this, so the first report makes the server suspect.
  void ReportUnreachable(const BackendName& id, absl::Time now);
  // The server answered with an error of its own.
  void ReportError(const BackendName& id, absl::Time now);
  // The server sent bytes of an answer that is still in progress.
  void ReportAlive(const BackendName& id, absl::Time now);
  // A request to the server completed.
  void ReportSuccess(const BackendName& id, absl::Time now);
  // The server refused a request. The pause doubles with each refusal in a row.
  void ReportFull(const BackendName& id, absl::Time now);
  // The server stated when its current start began. Returns whether its record
  // is of an earlier one, and that was not known.
  bool ReportStart(const BackendName& id, int64_t born_unix_ms);
  // Whether a server has started again since its record was written.
  bool HasOutdatedRecords() const;
  // The server announced that it is leaving. Holds for its current start, also
  // when its entry expires and is listed again. False if that was known.
  bool ReportLeaving(const BackendName& id, absl::Time now);
  // The server asked for no requests until then. False if it had already asked
  // for at least as long a pause.
  bool ReportPauseRequest(const BackendName& id, absl::Time until,
                          absl::Time now);
  // What this front has recently learned itself, for the other fronts.
  std::vector<BackendNotice> Notices(absl::Time now);
  // Applies a notice of another front. Servers that asked the sender for a
  // pause, or that it can't reach, become suspect, unless this front has just
  // received bytes from a server reported as unreachable. Notices make at most
  // half of a service suspect, as a partitioned front reaches no server at all.
  // True if the notice changed anything.
  bool ApplyNotice(const BackendNotice& notice, absl::Time now);
  // When the first pause among a service's usable servers ends; none if one of
  // them is not paused, or there is no such server.
  std::optional<absl::Time> FirstPauseEnd(const ServiceName& service,
                                          Filter is_usable,
                                          absl::Time now) const;
  // Marks the engine's stage as being changed until then.
  void SetChanging(const BackendName& id, absl::Time until);
  // Engines whose stage is being changed, and until when.
  std::map<BackendName, absl::Time> Changing(absl::Time now) const;

  // Replaces the use that a peer reported before.
  void SetPeerUse(const std::string& peer,
                  const std::map<BackendName, BackendUse>& use);
  std::map<BackendName, BackendUse> OwnUse() const;

  const std::map<BackendName, BackendState>& all() const { return backends_; }

 private:
  // What one start of a server announced. Kept when its entry is removed, as
  // entries that expire during a store outage come back.
  struct Announcement {
    int64_t born_unix_ms = 0;
    bool leaving = false;
    absl::Time pause_ends_at = absl::InfinitePast();
    absl::Time updated_at;
    // When the server itself first announced that it leaves; infinite past if
    // only other fronts have reported it.
    absl::Time leaving_heard_at = absl::InfinitePast();
  };

  void AdjustPeerUse(const std::map<BackendName, BackendUse>& use, bool add);
  // Makes the server suspect on behalf of another front. False if it already
  // was, or if too many servers of its service are.
  bool SetPeerSuspect(BackendState& backend, absl::Duration time,
                      absl::Time now);
  // Returns the announcement of that start, creating it if needed; null if a
  // later start has announced something, or if the table is full and the server
  // unknown.
  Announcement* FindOrCreateAnnouncement(const BackendName& id, int64_t born,
                                         absl::Time now);
  // Copies what the server's current start has announced to its state.
  void ApplyAnnouncement(BackendState& backend) const;
  void PruneAnnouncements(absl::Time now);

  std::map<BackendName, BackendState> backends_;
  std::map<BackendName, Announcement> announcements_;
  std::map<std::string, std::map<BackendName, BackendUse>> peer_use_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_BACKEND_TABLE_H_
