// Calls of plain services. Idempotent calls may be retried and hedged. Any
// other call runs at most once; with an idempotency key, at most once across
// all entries.

#ifndef CHERVILWICK_ENTRY_CALL_FLOW_H_
#define CHERVILWICK_ENTRY_CALL_FLOW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "chervilwick/entry/entry_context.h"
#include "chervilwick/entry/stream_request.h"
#include "chervilwick/ledger/claim_log.h"

namespace chervilwick {

enum class CallPhase {
  kClaiming,   // waits for the store to grant its claim
  kRunning,    // sent to an agent
  kFencing,    // asks the agent whether this call's attempt ran
  kFollowing,  // asks the agent for the result of the attempt that holds
               // the claim
  kEnded,      // answered or abandoned; destroyed after the event
};

struct CallRequest {
  ClientCall call;
  PlainRoute route;
  std::string prefix;
  Fingerprint fingerprint;
  absl::Time arrived;
  absl::Time deadline;
  CallPhase phase = CallPhase::kRunning;
  std::optional<BackendAttempt> leg;
  std::optional<BackendAttempt> hedge;
  bool client_gone = false;
  uint32_t tries = 0;
  // Start requests that were neither refused nor fenced. While this is above
  // zero, the call may have run.
  uint32_t open_orders = 0;

  // Used for calls that are not idempotent and carry an idempotency key.
  std::string claim_key;       // empty if no claim is needed
  Claim claim;                 // requested, or held by this or another attempt
  int64_t claim_revision = 0;  // revision of the claim in the store
  // kRunning: when the agent was last contacted. kFencing and kFollowing: when
  // to send a fence again.
  absl::Time next_step;
};

class CallFlow {
 public:
  CallFlow(EntryContext& context, ClaimLogOptions claims)
      : context_(context), claims_(std::move(claims)) {}

  void OnClient(const ClientCall& call, absl::Time now);
  void OnClientGone(const RequestId& id);
  void OnStoreReply(const KvReply& reply, absl::Time now);
  void Tick(absl::Time now);

  // Messages about attempts. Each returns whether the attempt belongs to a
  // call.
  bool On(const Refused& message, absl::Time now);
  bool On(const Done& message, absl::Time now);
  bool On(const UnknownAttempt& message, absl::Time now);
  bool On(const FenceResult& message, absl::Time now);

  // Destroys requests that have ended. Called between events, when no caller
  // holds a reference to one.
  void ReapEnded() { ended_.clear(); }
  void AppendActive(const NodeName& agent, List<AttemptId>& active) const;
  size_t active_count() const { return requests_.size(); }
  size_t pending_claims() const { return claims_.pending(); }

 private:
  std::optional<RequestOutcome> CheckAdmission(const ClientCall& call) const;
  // Chooses a backend server and registers a new attempt there, without sending
  // it. Returns false if no backend server is available.
  bool ChooseLeg(CallRequest& request, std::optional<BackendAttempt>& leg,
                 absl::Time now);
  void Begin(CallRequest& request, absl::Time now);
  void RequestClaim(CallRequest& request, int64_t revision, absl::Time now);
  void OnClaimResult(const ClaimResult& result, absl::Time now);
  void OnClaimExists(CallRequest& request, const ClaimResult& result,
                     absl::Time now);
  void Follow(CallRequest& request, absl::Time now);
  void SendStart(CallRequest& request, const BackendAttempt& leg,
                 absl::Time now);
  void SendFence(CallRequest& request, absl::Time now);
  void RetryNotRun(CallRequest& request, absl::Time now);
  void RetryIdempotent(CallRequest& request, absl::Time now);
  void OnLegLost(CallRequest& request, absl::Time now);
  void OnNeverRan(CallRequest& request, absl::Time now);
  void Complete(CallRequest& request, const Done& message, absl::Time now);
  void CheckOne(CallRequest& request, absl::Time now);
  void CheckRunning(CallRequest& request, absl::Time now);
  void CheckDeadline(CallRequest& request, absl::Time now);
  void MaybeHedge(CallRequest& request, absl::Time now);
  void ObserveLatency(const std::string& prefix, absl::Duration latency);
  void FlushClaims(absl::Time now);
  void Finish(CallRequest& request, RequestOutcome outcome);
  // Removes the request from the table. It stays valid until ReapEnded.
  void Retire(CallRequest& request);
  void DropLeg(CallRequest& request, std::optional<BackendAttempt>& leg,
               bool release);
  void Track(const AttemptId& id, const RequestId& request);
  void Untrack(const AttemptId& id, const RequestId& request);
  // Requests that wait for messages about an attempt.
  std::vector<CallRequest*> Find(const AttemptId& id);
  bool IsLost(const BackendAttempt& leg, absl::Time now);
  static std::optional<BackendAttempt>& LegOf(CallRequest& request,
                                              const AttemptId& id);

  EntryContext& context_;
  ClaimLog claims_;
  absl::btree_map<RequestId, std::unique_ptr<CallRequest>> requests_;
  std::vector<std::unique_ptr<CallRequest>> ended_;
  absl::btree_map<AttemptId, std::vector<RequestId>> by_attempt_;
  std::map<std::string, double> p95_us_;  // 95th percentile by path prefix
  absl::Time next_check_ = absl::InfinitePast();
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_CALL_FLOW_H_
