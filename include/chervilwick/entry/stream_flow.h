// Streaming requests to models: admission, a pair of backend servers, prefill,
// decode, delivery, and recovery when a step is lost.

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

  void OnClient(const ClientStream& ask, absl::Time now);
  void OnClientGone(const RequestId& id, absl::Time now);
  void Tick(absl::Time now);
  // Gives waiting requests to backend servers that have room.
  void Dispatch(absl::Time now);

  // Messages about attempts. Each returns whether the attempt is a stream's.
  bool On(const Reserved& message, absl::Time now);
  bool On(const Refused& message, absl::Time now);
  bool On(const Accepted& message, absl::Time now);
  bool On(const Piece& message, absl::Time now);
  bool On(const Done& message, absl::Time now);
  bool On(const UnknownAttempt& message, absl::Time now);

  // Destroys requests that have ended. Called between events, when no caller
  // holds a reference to one.
  void ReapEnded() { ended_.clear(); }
  // Attempts at an agent whose leases are to be renewed.
  void AppendActive(const NodeName& agent, List<AttemptId>& active) const;
  size_t active_count() const { return requests_.size(); }
  size_t waiting_count() const;

 private:
  using RequestPtr = std::unique_ptr<StreamRequest>;

  // Admission (stream_admission.cc).
  std::optional<RequestOutcome> CheckAsk(const ClientStream& ask) const;
  void Enqueue(StreamRequest& request, bool at_front, absl::Time now);
  absl::Duration EstimateWait(const ModelName& model, Priority priority,
                              absl::Time now);
  void RefuseWaiting(absl::Time now);
  // Whether batch requests are being served or wait to be.
  bool ServesBatch(absl::Time now) const;
  void NoteDispatch(const ModelName& model, absl::Time now);
  void NoteFirstToken(const StreamRequest& request, absl::Time now);
  // Time from dispatch to first token that most requests keep to.
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
  Leg SendPrefill(StreamRequest& request, const RoutingChoice& choice,
                  absl::Time now);
  void SendPrefillOrder(StreamRequest& request, const Leg& leg, absl::Time now);
  void StartDecode(StreamRequest& request, std::string kv_params,
                   absl::Time now);
  void SendDecodeOrder(StreamRequest& request, absl::Time now);
  void OnPrefillDone(StreamRequest& request, const Done& message,
                     absl::Time now);

  // Delivery (stream_delivery.cc).
  void Deliver(StreamRequest& request, const Piece& piece, absl::Time now);
  void DeliverHeldBack(StreamRequest& request, absl::Time now);
  void ObserveTokens(StreamRequest& request, size_t tokens, absl::Time now);
  void TryComplete(StreamRequest& request, absl::Time now);

  // Recovery (stream_recovery.cc).
  void CheckOne(StreamRequest& request, absl::Time now);
  void CheckReserving(StreamRequest& request, absl::Time now);
  void CheckPrefilling(StreamRequest& request, absl::Time now);
  void CheckDecoding(StreamRequest& request, absl::Time now);
  void MaybeHedge(StreamRequest& request, absl::Time now);
  bool IsLost(const Leg& leg, absl::Time now);
  void OnDecodeEnded(StreamRequest& request, const Done& message,
                     absl::Time now);
  void OnLegRefused(StreamRequest& request, const Refused& message,
                    absl::Time now);
  void PrefillLost(StreamRequest& request, const AttemptId& id, absl::Time now);
  // Starts over from what was delivered, on other backend servers.
  void Restart(StreamRequest& request, bool charge_budget,
               const std::string& cause, absl::Time now);

  // Hands out the span of a step that ends now.
  void RecordSpan(const StreamRequest& request, const char* name,
                  const BackendName& target, const char* result,
                  absl::Time start, absl::Time now);
  StreamRequest* Find(const AttemptId& id);
  void Track(const AttemptId& id, const RequestId& request);
  void DropLeg(std::optional<Leg>& leg, bool release);
  void DropAllLegs(StreamRequest& request);
  void Finish(StreamRequest& request, RequestOutcome outcome);
  // Takes the request out of the table; it stays valid until ReapEnded.
  void Retire(StreamRequest& request);

  EntryContext& context_;
  PrefixIndex prefixes_;
  absl::btree_map<RequestId, RequestPtr> requests_;
  std::vector<RequestPtr> ended_;
  absl::flat_hash_map<AttemptId, RequestId> by_attempt_;
  struct ModelQueue {
    AdmissionQueue waiting;
    double dispatch_per_second = 0;  // while requests were waiting
    uint64_t window_dispatches = 0;
    // From dispatch to first token: moving mean and mean deviation.
    double service_ms = 0;
    double service_deviation_ms = 0;
    absl::Time window_start = absl::InfinitePast();
  };
  std::map<ModelName, ModelQueue> queues_;
  absl::Time next_check_ = absl::InfinitePast();
};

}  // namespace chervilwick

#endif  // CHERVILWICK_ENTRY_STREAM_FLOW_H_
