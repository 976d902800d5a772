// Relay for streams of server-sent events.

#ifndef CHERVILWICK_FRONT_STREAM_RELAY_H_
#define CHERVILWICK_FRONT_STREAM_RELAY_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chervilwick/dispatch/stream_lifecycle.h"
#include "chervilwick/front/event_splitter.h"
#include "chervilwick/front/relay.h"

namespace chervilwick {

// Forwards a streaming request through a prefill and a decode engine. Makes the
// prefill and decode calls that StreamLifecycle decides on and forwards events
// to the client as they arrive.
class StreamRelay : public Relay, private StreamPort {
 public:
  StreamRelay(FrontContext& context, AdmittedRequest admitted,
              Finished finished);
  ~StreamRelay() override;

  void Start() override;
  void OnClientGone() override;
  void OnPlaced(const StreamPlacement& placement);
  void OnRefused(const StreamRefusal& refusal);
  // Called when the record of a server has changed.
  void OnRecordChanged(const BackendName& engine) {
    lifecycle_.OnRecordChanged(engine, Now());
  }
  // Called when the request is quarantined because servers crashed while
  // running it. Ends the stream if it still waits for placement.
  void OnQuarantined();
  bool IsEndPending() const override;
  void OnShutdownLimit() override { EndAsOpen("shutdown_limit"); }
  bool MayHaveRun() const override { return lifecycle_.runs() > 0; }
  // Whether no engine has been asked to run the stream yet.
  bool IsWaiting() const;
  // Ends a waiting stream that the front has no time to run.
  void OnTooLateToStart(absl::Duration retry_after);

 protected:
  void OnTimeout() override { EndAsOpen("timeout"); }
  void OnKeyRevoked() override;
  void OnKeyRestored() override;

 private:
  using Phase = StreamLifecycle::Phase;

  absl::Duration EventTimeout() const override;
  absl::Duration HandleLifetime() const override;
  bool TakeRepeat() override;
  void ReturnRepeat() override;
  bool HasRepeats(uint32_t repeats) override;
  void ReservePlace(const BackendName& engine, int64_t memory_tokens) override;
  void DropReservation() override;
  void SendPrompt(const BackendName& engine) override;
  void SendDecode(const BackendName& engine, bool with_handle) override;
  void AskStart(const BackendName& engine) override;
  void OnSoftwareKnown() override;
  bool CancelPrompt(absl::string_view sign) override;
  bool CancelDecode(absl::string_view sign) override;
  void ArmTimer(absl::Duration delay) override;
  void FreeHandle() override;
  void OnSilent(StreamStage stage, const BackendName& engine) override;
  void OnReplacement(ReplacementStep step, absl::string_view reason) override;
  void OnResumed() override;
  void End(const StreamEnding& ending) override;
  void WakeScheduler() override;

  // An open call to an engine and the part of its response received so far.
  struct EngineCall {
    CallId id;
    absl::Time started;
    HttpHead head;
    std::string body;  // of a response that is not a stream
    // What follows the head is kept until the run is certain to be of the
    // version that began the stream.
    bool is_held = false;
    bool has_ended_held = false;
    std::string held;
  };

  // A question to the decode engine about its start. Outlives the relay, so
  // that a stream whose client leaves before the answer is recorded.
  struct StartQuery {
    StreamRelay* relay = nullptr;
    // Set once the relay has ended: recorded if the engine started then.
    std::optional<StreamOrigin> origin;
    int64_t born_unix_ms = 0;
  };

  void Call(EngineCall& call, const BackendState& engine,
            const ForwardOptions& forward, size_t max_body_bytes,
            CallHandler handler);
  void OnReservationEvent(const BackendName& engine, CallEvent event);
  void OnReservationEnd(const BackendName& engine);
  void OnReservationFailed(const BackendName& engine, ReservationFailure why);
  void OnPromptEvent(CallEvent event);
  void OnPromptEnd();
  void OnPromptFailed(absl::string_view why, PromptFailure kind);
  void OnDecodeEvent(CallEvent event);
  void OnDecodeHead(HttpHead head);
  // Passes the response on, from its head.
  void BeginOutput();
  void HoldDecodeEvent(const CallEvent& event);
  void ReleaseDecodeEvents();
  void OnStartStated(const BackendName& engine,
                     std::optional<int64_t> born_unix_ms);
  void DropStartQuery();
  // Leaves the open question to record the stream once it is answered.
  void DetachStartQuery();
  StreamOrigin OriginOf(const SoftwareVersion& software) const;
  void OnDecodeBytes(absl::string_view bytes);
  // Whether the head of a resumed run's answer is that of the same stream.
  bool ContinuesStream(const HttpHead& head) const;
  // Why the bytes of an answer that has ended are not those of a whole stream;
  // empty if they are.
  absl::string_view FindBreak(const HttpHead& head) const;
  // Counts what is held of the answers; `engine` sends the last part.
  void CountHeld(const BackendName& engine);
  // Ends the call for whose answer there is no memory left.
  void GiveUpAnswer();
  // Ends the call whose response is not one that may be forwarded.
  void OnInvalidAnswer(absl::string_view why);
  void OnDecodeEnd();
  void OnDecodeBroken(const CallFailure& failure);
  bool WasSent(const EngineCall& call) const;
  // Reports the open calls that have been sent as lost runs. The caller cancels
  // them. `sign` says why their complete responses will not be received.
  void AbandonCalls(absl::string_view sign);
  // Ends the stream wherever it stands.
  void EndAsOpen(absl::string_view reason);
  void Cancel(EngineCall& call);
  void CancelCalls() override;
  // Closes the client's connection so that the response can't appear complete.
  void AbortStream(absl::string_view reason);

  // Reference to the KV cache of the last prompt that was prefilled.
  struct PromptHandle {
    BackendName backend;  // engine that holds it
    KvSource source;
  };

  // A place that an engine keeps for this stream.
  struct Reservation {
    BackendName engine;
    std::string id;
  };

  StreamLifecycle lifecycle_;
  EngineCall reservation_call_;
  std::optional<Reservation> reservation_;
  EngineCall prompt_call_;
  EngineCall decode_call_;
  std::shared_ptr<StartQuery> start_query_;
  HttpHead stream_head_;  // sent to the client
  std::optional<PromptHandle> handle_;
  std::vector<absl::Time> repeats_taken_;
  EventSplitter events_;
  AnswerMemory::Answer held_;
  Timer timer_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_STREAM_RELAY_H_
