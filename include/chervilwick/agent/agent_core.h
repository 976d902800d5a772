// Decision logic of an agent, the process that runs next to one backend server.
// Deterministic: uses no sockets, clock, threads or randomness.

#ifndef CHERVILWICK_AGENT_AGENT_CORE_H_
#define CHERVILWICK_AGENT_AGENT_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "chervilwick/agent/engine_reconciler.h"
#include "chervilwick/agent/place_calendar.h"
#include "chervilwick/config/config_replica.h"
#include "chervilwick/engine/engine_types.h"
#include "chervilwick/ledger/attempt_ledger.h"
#include "chervilwick/ledger/crash_ledger.h"
#include "chervilwick/support/ids.h"
#include "chervilwick/telemetry/span.h"
#include "chervilwick/wire/messages.h"

namespace chervilwick {

struct AgentOptions {
  NodeName name;
  Incarnation incarnation;
  ZoneName zone;
  BackendName backend;
  uint32_t decode_places = 20;
  uint32_t prefill_places = 1;
  uint32_t plain_places = 16;
  uint32_t pieces = 64;  // units of engine memory
  uint32_t max_queued = 64;
  absl::Duration lease_timeout = absl::Seconds(3);
  absl::Duration stale_version_grace = absl::Seconds(2);
  // Maximum wait of a queued decode for the place reserved for it.
  absl::Duration max_place_wait = absl::Milliseconds(700);
  absl::Duration heartbeat_interval = absl::Seconds(1);
  AttemptLedgerOptions ledger;
};

// Events that AgentCore handles.

struct AgentMessageReceived {
  Envelope envelope;
};
struct EngineStatusChanged {
  EngineStatus status;
};
struct EngineOrderDone {
  bool ok = false;
};
// Graceful stop on SIGTERM: accepted work is finished, new work is refused.
struct AgentStopRequested {};
struct AgentTick {};

using AgentEvent = std::variant<AgentMessageReceived, EngineTokens,
                                EngineFinished, EngineStatusChanged,
                                EngineOrderDone, AgentStopRequested, AgentTick>;

// Actions that AgentCore requests.

struct SendMessage {
  NodeName to;
  Message message;
};
struct RunWork {
  StartWork start;
};
struct CancelWork {
  AttemptId attempt;
};
struct SendEngineOrder {
  EngineOrder order;
};
// All accepted work has ended.
struct AgentDrained {};

using AgentAction = std::variant<SendMessage, RunWork, CancelWork,
                                 SendEngineOrder, SpanEnded, AgentDrained>;

struct AgentStats {
  uint64_t started = 0;
  uint64_t finished = 0;
  uint64_t refused = 0;
  uint64_t refused_stale_version = 0;
  uint64_t cancelled = 0;
  uint64_t lease_expired = 0;
  uint64_t reservations_expired = 0;
  uint64_t crashes = 0;
  uint64_t preempted = 0;
};

class AgentCore {
 public:
  explicit AgentCore(AgentOptions options);

  // Handles one event and returns the resulting actions.
  std::vector<AgentAction> Handle(const AgentEvent& event, absl::Time now);

  const ConfigReplica& config() const { return config_; }
  const CrashLedger& crashes() const { return crashes_; }
  const AgentStats& stats() const { return stats_; }
  const AgentOptions& options() const { return options_; }
  LoadReport Load(absl::Time now);
  bool IsLeaving() const;
  // Whether an urgent request could preempt a running attempt.
  bool HasPreemptibleAttempt();
  size_t live_attempts() const { return ledger_.live_count(); }
  // Units of engine memory held by reservations and running attempts.
  uint32_t pieces_held() const { return running_pieces_ + reserved_pieces_; }

 private:
  struct Peer {
    absl::Time last_heard;
    Incarnation incarnation;
  };

  // Messages (agent_core.cc).
  void OnMessage(const Envelope& envelope, absl::Time now);
  void On(const Envelope& envelope, const Hello& message, absl::Time now);
  void On(const Envelope& envelope, const Heartbeat& message, absl::Time now);
  void On(const Envelope& envelope, const Reserve& message, absl::Time now);
  void On(const Envelope& envelope, const StartWork& message, absl::Time now);
  void On(const Envelope& envelope, const Resume& message, absl::Time now);
  void On(const Envelope& envelope, const Release& message, absl::Time now);
  void On(const Envelope& envelope, const Fence& message, absl::Time now);
  void On(const Envelope& envelope, const ConfigPull& message, absl::Time now);
  void On(const Envelope& envelope, const ConfigPush& message, absl::Time now);
  template <typename Other>
  void On(const Envelope& /*envelope*/, const Other& /*message*/,
          absl::Time /*now*/) {}
  void AnswerReserve(const NodeName& to, const AttemptRecord& record,
                     absl::Time now);
  void FollowVersion(const Envelope& envelope, absl::Time now);
  void SendHeartbeats(absl::Time now);

  // Admission (agent_admission.cc).
  std::optional<RefusalReason> CheckNewWork(const Envelope& envelope,
                                            Fingerprint fingerprint,
                                            WorkKind kind, absl::Time now);
  std::optional<RefusalReason> CheckQueue(const StartWork& start,
                                          absl::Time now);
  std::optional<absl::Time> FindPlace(const Reserve& reserve, absl::Time now);
  static bool IsPreemptible(const AttemptRecord& record);
  // Cancels a running batch decode that holds enough memory for `reserve`.
  // Returns false if there is none.
  bool PreemptFor(const Reserve& reserve, absl::Time now);
  std::vector<PlaceUse> PlaceUses(absl::Time now);
  absl::Time PredictedEnd(const AttemptRecord& record, absl::Time from) const;
  absl::Duration PrefillTime(uint32_t tokens) const;
  // Predicted time until the running prefills and the queued ones of at least
  // `min_priority` have ended.
  absl::Duration PrefillBacklog(Priority min_priority, absl::Time now);
  void Refuse(const NodeName& to, const AttemptId& attempt,
              RefusalReason reason, absl::Time now);
  void RefuseAndFence(const NodeName& to, const AttemptId& attempt,
                      bool idempotent, RefusalReason reason, absl::Time now);
  PoolRole RoleInForce() const;
  bool IsRemovedOrDrained() const;

  // Work (agent_work.cc).
  void RunQueued(absl::Time now);
  bool CanRun(const AttemptRecord& record);
  void Run(AttemptRecord& record, absl::Time now);
  void OnTokens(const EngineTokens& event, absl::Time now);
  void OnFinished(const EngineFinished& event, absl::Time now);
  void Finish(AttemptRecord& record, Done done, absl::Time now);
  void RefuseLive(AttemptRecord& record, RefusalReason reason, absl::Time now);
  void Expire(absl::Time now);
  void ExpireOne(AttemptRecord& record, absl::Time now);
  void StopWork(AttemptRecord& record, WorkStatus status, absl::Time now);
  void OnCrash(absl::Time now);
  void Reconcile(absl::Time now);
  void UpdateTokenTime(AttemptRecord& record, size_t tokens, absl::Time now);
  void ReleaseReservation(const AttemptRecord& record);
  bool IsIsolated(Fingerprint fingerprint, bool includes_waiting);
  void CheckDrained(absl::Time now);
  void RecordSpans(const AttemptRecord& record, absl::Time now);
  uint32_t& RunningCount(WorkKind kind);
  uint32_t Places(WorkKind kind) const;

  void Send(const NodeName& to, Message message);

  const AgentOptions options_;
  ConfigReplica config_;
  AttemptLedger ledger_;
  CrashLedger crashes_;
  EngineReconciler reconciler_;
  AgentStats stats_;
  std::map<NodeName, Peer> peers_;
  std::vector<AgentAction> actions_;
  uint32_t running_decode_ = 0;
  uint32_t running_prefill_ = 0;
  uint32_t running_plain_ = 0;
  uint32_t running_pieces_ = 0;
  uint32_t reserved_pieces_ = 0;
  uint32_t reserved_places_ = 0;
  uint32_t queued_ = 0;
  double token_us_ = 25000;
  double prefill_ns_per_token_ = 100000;
  bool stopping_ = false;
  bool drained_sent_ = false;
  bool crash_in_progress_ = false;  // attempts of a crash are still ending
  bool announced_leaving_ = false;
  bool announced_ready_ = false;
  absl::Time idle_since_ = absl::InfinitePast();
  absl::Time last_confirmed_ = absl::InfinitePast();
  absl::Time next_heartbeat_ = absl::InfinitePast();
};

}  // namespace chervilwick

#endif  // CHERVILWICK_AGENT_AGENT_CORE_H_
