// Streaming requests to models: admission, choice of a prefill and a decode
// backend server, token delivery, and recovery from failed attempts.

#ifndef CHERVILWICK_ENTRY_STREAM_FLOW_H_
#define CHERVILWICK_ENTRY_STREAM_FLOW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "chervilwick/entry/entry_context.h"
#include "chervilwick/entry/stream_request.h"
#include "chervilwick/limits/admission_queue.h"
#include "chervilwick/routing/prefix_index.h"

namespace chervilwick {

class StreamFlow {
 public:
  explicit StreamFlow(EntryContext& context) : context_(context) {}

  void OnClient(const ClientStream& client_request, absl::Time now);
  void OnClientGone(const RequestId& id, absl::Time now);
  void Tick(absl::Time now);
  // Assigns queued requests to backend servers with free capacity.
  void Dispatch(absl::Time now);

  // Handle messages about attempts. Each returns false if the attempt belongs
  // to no stream.
  bool On(const Reserved& message, absl::Time now);
  bool On(const Refused& message, absl::Time now);
  bool On(const Accepted& message, absl::Time now);
  bool On(const Piece& message, absl::Time now);
  bool On(const Done& message, absl::Time now);
  bool On(const UnknownAttempt& message, absl::Time now);

  // Destroys ended requests. Called between events, when no references to them
  // are held.
  void ReapEnded() { ended_.clear(); }
  // Appends the agent's active attempts, whose leases the heartbeat renews.
  void AppendActive(const NodeName& agent, List<AttemptId>& active) const;
  size_t active_count() const { return requests_.size(); }
  size_t waiting_count() const;

 private:
  using RequestPtr = std::unique_ptr<StreamRequest>;

  // Admission (stream_admission.cc).
  std::optional<RequestOutcome> ValidateRequest(
      const ClientStream& client_request) const;
  void Enqueue(StreamRequest& request, bool at_front, absl::Time now);
  absl::Duration EstimateWait(const ModelName& model, Priority priority,
                              absl::Time now);
  void RefuseOverdueRequests(absl::Time now);
  // Whether any batch request is queued, running or preemptible on a backend
  // server.
  bool ServesBatch(absl::Time now) const;
  void RecordDispatch(const ModelName& model, absl::Time now);
  void RecordFirstToken(const StreamRequest& request, absl::Time now);
  // Estimated time from dispatch to first token: moving mean plus deviation,
  // capped at two thirds of the request's first-token budget.
  absl::Duration ServiceTime(const StreamRequest& request);

  // Dispatch (stream_dispatch.cc).
  bool DispatchOne(StreamRequest& request, absl::Time now);
  bool ChooseRoute(StreamRequest& request);
  bool KeepsPinnedPair(const StreamRequest& request) const;
  bool MayPreempt(const StreamRequest& request, absl::Time now);
  RoutingRequest MakeRoutingRequest(const StreamRequest& request,
                                    absl::Time now);
  void SendReserve(StreamRequest& request, absl::Time now);
  bool StartPrefill(StreamRequest& request, absl::Time now);
  BackendAttempt SendPrefill(StreamRequest& request,
                             const RoutingChoice& choice, absl::Time now);
  void SendPrefillOrder(StreamRequest& request, const BackendAttempt& attempt,
                        absl::Time now);
  void StartDecode(StreamRequest& request, std::string kv_params,
                   absl::Time now);
  void SendDecodeOrder(StreamRequest& request, absl::Time now);
  void OnPrefillDone(StreamRequest& request, const Done& message,
                     absl::Time now);

  // Delivery (stream_delivery.cc).
  void Deliver(StreamRequest& request, const Piece& piece, absl::Time now);
  void DeliverBufferedPieces(StreamRequest& request, absl::Time now);
  void ObserveTokens(StreamRequest& request, size_t tokens, absl::Time now);
  void TryComplete(StreamRequest& request, absl::Time now);

  // Recovery (stream_recovery.cc).
  void CheckProgress(StreamRequest& request, absl::Time now);
  void CheckReserving(StreamRequest& request, absl::Time now);
  void CheckPrefilling(StreamRequest& request, absl::Time now);
  void CheckDecoding(StreamRequest& request, absl::Time now);
  void MaybeHedge(StreamRequest& request, absl::Time now);
  bool IsLost(const BackendAttempt& attempt, absl::Time now);
  void OnDecodeEnded(StreamRequest& request, const Done& message,
                     absl::Time now);
  void OnAttemptRefused(StreamRequest& request, const Refused& message,
                        absl::Time now);
  void OnPrefillFailed(StreamRequest& request, const AttemptId& id,
                       absl::Time now);
  // Requeues the request to resume after the delivered tokens. Finishes it if
  // no tokens are left or the retry budget is exhausted.
  void Restart(StreamRequest& request, bool charge_budget,
               const std::string& cause, absl::Time now);

  // Emits the trace span of a step that ends now.
  void RecordSpan(const StreamRequest& request, const char* name,
                  const BackendName& target, const char* result,
                  absl::Time start, absl::Time now);
  StreamRequest* Find(const AttemptId& id);
  void Track(const AttemptId& id, const RequestId& request);
  void EndAttempt(std::optional<BackendAttempt>& attempt, bool release);
  void EndAllAttempts(StreamRequest& request);
  void Finish(StreamRequest& request, RequestOutcome outcome);
  // Removes the request from the table; it stays valid until ReapEnded.
  void Retire(StreamRequest& request);

  EntryContext& context_;
  PrefixIndex prefixes_;
  absl::btree_map<RequestId, RequestPtr> requests_;
  std::vector<RequestPtr> ended_;
  absl::flat_hash_map<AttemptId, RequestId> by_attempt_;
  struct ModelQueue {
    AdmissionQueue waiting;
    double dispatch_per_second = 0;  // measured while requests were queued
    uint64_t window_dispatches = 0;
    // Time from dispatch to first token: moving mean and mean deviation.
    double service_ms = 0;
    double service_deviation_ms = 0;
    absl::Time window_start = absl::InfinitePast();
  };
  std::map<ModelName, ModelQueue> queues_;
  absl::Time next_check_ = absl::InfinitePast();
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_STREAM_FLOW_H_
