// Relay of a stream of events through a prefill and a decode engine.

#ifndef CHERVILWICK_FRONT_STREAM_RELAY_H_
#define CHERVILWICK_FRONT_STREAM_RELAY_H_

#include <optional>
#include <string>

#include "chervilwick/dispatch/stream_lifecycle.h"
#include "chervilwick/front/event_splitter.h"
#include "chervilwick/front/relay.h"

namespace chervilwick {

// Carries out what the stream's lifecycle decides: prompt and decode calls, and
// events passed on as they come.
class StreamRelay : public Relay, private StreamPort {
 public:
  StreamRelay(FrontContext& context, AdmittedRequest admitted,
              Finished finished);
  ~StreamRelay() override;

  void Start() override;
  void OnClientGone() override;
  void OnPlaced(const StreamPlacement& placement);
  void OnRefused(const StreamRefusal& refusal);
  // Servers are known to end under such requests.
  void OnQuarantined();

 protected:
  void OnTimeout() override;

 private:
  using Phase = StreamLifecycle::Phase;

  absl::Duration Patience() const override;
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
  // The answer is longer than any can be.
  void OnEndlessAnswer();
  void OnDecodeEnd();
  void OnDecodeBroken(const CallFailure& failure);
  void OnSilence();
  // The call that is under way, if any, will not be heard to its end.
  void AbandonCall(absl::string_view sign);
  // Forgets the call that has ended.
  void EndCall();
  void CancelCall();
  // Cuts the client's connection, so that its answer can't look complete.
  void Cut(absl::string_view reason);

  // KV cache of the prompt that was read last.
  struct PromptHandle {
    BackendName backend;  // that read it
    KvSource source;
  };

  StreamLifecycle lifecycle_;
  CallId call_;
  HttpHead head_;
  std::string body_;  // of an answer that is not a stream
  std::optional<PromptHandle> handle_;
  absl::Time step_started_;
  EventSplitter events_;
  Timer silence_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_STREAM_RELAY_H_
