// What is tried for one stream, from its arrival to its end.

#ifndef CHERVILWICK_DISPATCH_STREAM_LIFECYCLE_H_
#define CHERVILWICK_DISPATCH_STREAM_LIFECYCLE_H_

#include <cstdint>
#include <optional>
#include <set>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "chervilwick/dispatch/backend_table.h"
#include "chervilwick/dispatch/crash_suspects.h"
#include "chervilwick/dispatch/route_table.h"
#include "chervilwick/dispatch/stream_scheduler.h"
#include "chervilwick/support/ids.h"

namespace chervilwick {

// A stream's request with the terms of the route that it was admitted under.
struct StreamTerms {
  ExchangeId id;
  ServiceName service;
  Fingerprint fingerprint;
  absl::Time arrived;
  absl::Duration objective;        // from the arrival to the first event
  absl::Duration pause_objective;  // between events
  // A stream without a new event for so long has stalled for good.
  absl::Duration stall_limit = absl::InfiniteDuration();
  int priority = 0;
  uint32_t attempts = 1;
  bool resumable = false;
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  std::optional<uint32_t> output_hint;  // the client's estimate
};

// How a stream ends that no engine finished.
struct StreamEnding {
  enum class Kind {
    kRefused,  // it has not run and won't
    kFailed,   // it ran, or may have run, and the client has nothing of it
    kCut,      // the client has a part
  };
  Kind kind = Kind::kRefused;
  absl::string_view reason;
  absl::Duration retry_after = absl::ZeroDuration();
};

// Carries out what the lifecycle decides.
class StreamPort {
 public:
  virtual ~StreamPort() = default;

  // How long the client waits for an event, from its arrival on.
  virtual absl::Duration Patience() const = 0;
  // How long a prompt's KV cache is kept for the decoding engine.
  virtual absl::Duration HandleLifetime() const = 0;
  // Takes one repeated send out of the fleet's budget.
  virtual bool TakeRepeat() = 0;
  // Sends the prompt to an engine that reads prompts, for at most `patience`.
  virtual void SendPrompt(const BackendName& engine,
                          absl::Duration patience) = 0;
  // Sends the stream to a decoding engine, with the KV cache of the prompt read
  // last or for the engine to read it.
  virtual void SendDecode(const BackendName& engine, bool with_handle) = 0;
  // Lets go of the KV cache of the prompt read last.
  virtual void FreeHandle() = 0;
  // The stream goes on at another engine.
  virtual void OnResumed() = 0;
  // The last call for a stream.
  virtual void End(const StreamEnding& ending) = 0;
  // Places have become free.
  virtual void WakeScheduler() = 0;
};

// Why a prompt was not read.
enum class PromptFailure {
  kRefused,      // the engine said that it did not
  kUnreachable,  // the call did not arrive
  kClosed,       // the engine closed the connection, as one that crashes does
  kBroken,       // it answered badly or too late
};

// Why a stream was not generated to its end.
enum class DecodeFailure {
  kUnreachable,  // the call did not arrive
  kClosed,       // the engine closed the connection, as one that crashes does
  kBroken,       // it answered badly or fell silent
};

// Waits for a place, has the prompt read, then the stream generated. What an
// engine refuses is tried elsewhere; what broke off goes on at another engine
// only where the route says that it may.
class StreamLifecycle {
 public:
  // What the fleet shares.
  struct Services {
    BackendTable& backends;
    StreamScheduler& scheduler;
    CrashSuspects& suspects;
  };

  enum class Phase { kWaiting, kPrompt, kDecode };
  enum class SilenceVerdict {
    kIgnore,  // nothing better can be done for StallLeft() more
    kEnd,     // it has stalled: the call must be cancelled, the client cut
    kWait,    // for LongSilence() more
    kResume,  // the call must be cancelled and reported as broken off
  };

  StreamLifecycle(const Services& services, const StreamTerms& terms,
                  StreamPort& port);
  StreamLifecycle(const StreamLifecycle&) = delete;
  StreamLifecycle& operator=(const StreamLifecycle&) = delete;

  // How long a client waits for an event of a route.
  static absl::Duration ClientPatience(absl::Duration objective,
                                       absl::Duration pause_objective);
  // The part of it that may pass before the event leaves for the client.
  static absl::Duration PatienceOf(absl::Duration objective,
                                   absl::Duration pause_objective);
  // Silence of a decoding engine after which OnDecodeSilent is due.
  static absl::Duration NotedSilence();
  // Further silence after which a stream goes on elsewhere.
  static absl::Duration LongSilence();

  void Start(absl::Time now) { Submit(now); }
  void OnPlaced(const StreamPlacement& placement, absl::Time now);
  void OnRefused(const StreamRefusal& refusal);

  void OnPromptRead(absl::Time now);
  void OnPromptFailed(PromptFailure why, absl::Time now);

  // The decoding engine began to answer with success.
  void OnStreaming(absl::Time now);
  // It sent an event. Bytes that complete none are not progress: a stalled
  // engine may dribble them for ever.
  void OnProgress(absl::Time now);
  void OnWhole(absl::Time now);
  // The engine said that it did not run the stream; `is_wrong_server` if it is
  // another one than was meant.
  void OnDecodeNotRun(bool is_wrong_server, absl::Time now);
  void OnDecodeBroken(DecodeFailure why, absl::Time now);
  SilenceVerdict OnDecodeSilent(absl::Time now);
  // The call that is under way is given up: the client has left, or its time
  // is over.
  void OnAbandoned(absl::Time now);
  // Until a stream without a new event has stalled for good.
  absl::Duration StallLeft(absl::Time now) const;

  // Ends it if it still waits although it must not run any more.
  void RecheckWaiting(absl::Time now);

  // Gives all places back; the port hears nothing more.
  void Close();

  Phase phase() const { return phase_; }
  const StreamPlacement& placement() const { return *placement_; }
  bool is_streaming() const { return is_streaming_; }
  uint32_t runs() const { return runs_; }

 private:
  void Submit(absl::Time now);
  StreamJob MakeJob(absl::Time now) const;
  // Ends it if servers are known to end under such requests.
  bool RefuseIfQuarantined(absl::Time now);
  void StartPrompt(absl::Time now);
  void StartDecode(absl::Time now);
  // Takes a repeated send out of the budget if this is not the first send and
  // none that was taken is left; if there is none, ends the stream.
  bool PayForSend();
  // Ends it by what the client has of it and may have run.
  void End(absl::string_view reason, absl::Duration retry_after);
  // The run at the engine has no whole answer.
  void ReportLost(const BackendName& engine, bool is_closed, absl::Time now);
  void ReportUnreachable(const BackendName& engine, absl::Time now);
  bool HasFreshHandle(absl::Time now) const;
  bool MayResume() const;
  void DropHandle();
  void ReleasePrompt();
  void Release();

  Services services_;
  StreamTerms terms_;
  StreamPort& port_;
  Phase phase_ = Phase::kWaiting;
  std::optional<StreamPlacement> placement_;
  bool holds_prompt_place_ = false;
  bool holds_decode_place_ = false;
  std::optional<absl::Time> handle_made_;
  absl::Time step_started_;
  int64_t step_born_ = 0;  // start of the engine that is called
  absl::Time last_event_;  // or the head of the answer
  std::set<BackendName> excluded_;
  uint32_t arrivals_ = 0;       // sends that the retry budget counts
  uint32_t repeats_taken_ = 0;  // out of the budget
  uint32_t prompt_sends_ = 0;
  uint32_t decode_sends_ = 0;
  uint32_t runs_ = 0;  // decode sends that may have run
  uint32_t handle_refusals_ = 0;
  bool is_streaming_ = false;  // the client has the head
  bool reads_at_decode_ = false;
  bool was_silent_ = false;
  bool placed_on_suspect_ = false;  // there was no other decoding engine
};

// Name of a reason in logs and metrics.
absl::string_view ReasonText(StreamRefusalReason reason);

}  // namespace chervilwick

#endif  // CHERVILWICK_DISPATCH_STREAM_LIFECYCLE_H_
