// Relay for streams of server-sent events.

#ifndef CHERVILWICK_FRONT_STREAM_RELAY_H_
#define CHERVILWICK_FRONT_STREAM_RELAY_H_

#include <optional>
#include <string>

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
  // Called when the request is quarantined because servers crashed while
  // running it. Ends the stream if it still waits for placement.
  void OnQuarantined();
  void OnShutdownLimit() override { EndAsOpen("shutdown_limit"); }
  // Whether no engine has been asked to run the stream yet.
  bool IsWaiting() const;
  // Ends a waiting stream that the front has no time to run.
  void OnTooLateToStart(absl::Duration retry_after);

 protected:
  void OnTimeout() override { EndAsOpen("timeout"); }

 private:
  using Phase = StreamLifecycle::Phase;

  absl::Duration EventTimeout() const override;
  absl::Duration HandleLifetime() const override;
  bool TakeRepeat() override;
  void SendPrompt(const BackendName& engine, absl::Duration patience) override;
  void SendDecode(const BackendName& engine, bool with_handle) override;
  void FreeHandle() override;
  void OnResumed() override;
  void End(const StreamEnding& ending) override;
  void WakeScheduler() override;

  void Call(const BackendState& engine, const ForwardOptions& forward,
            size_t max_body_bytes, CallHandler handler);
  void OnPromptEvent(CallEvent event);
  void OnPromptEnd();
  void OnPromptFailed(absl::string_view why, PromptFailure kind);
  void OnDecodeEvent(CallEvent event);
  void OnDecodeHead(HttpHead head);
  void OnDecodeBytes(absl::string_view bytes);
  // Whether the head of a resumed run's answer is that of the same stream.
  bool ContinuesStream(const HttpHead& head) const;
  // Ends the call whose response is not one that may be forwarded.
  void OnInvalidAnswer(absl::string_view why);
  void OnDecodeEnd();
  void OnDecodeBroken(const CallFailure& failure);
  void OnIdleTimeout();
  // Reports the open call, if it has been sent, as a lost run. The caller
  // cancels it. `sign` says why the complete response will not be received.
  void AbandonCall(absl::string_view sign);
  // Ends the stream wherever it stands.
  void EndAsOpen(absl::string_view reason);
  // Clears the state of a call that has ended.
  void EndCall();
  void CancelCall();
  // Closes the client's connection so that the response can't appear complete.
  void AbortStream(absl::string_view reason);

  // Reference to the KV cache of the last prompt that was prefilled.
  struct PromptHandle {
    BackendName backend;  // engine that holds it
    KvSource source;
  };

  StreamLifecycle lifecycle_;
  CallId call_;
  HttpHead head_;         // of the current call
  HttpHead stream_head_;  // sent to the client
  std::string body_;      // of a response that is not a stream
  std::optional<PromptHandle> handle_;
  absl::Time call_started_;
  EventSplitter events_;
  Timer idle_timer_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_STREAM_RELAY_H_
